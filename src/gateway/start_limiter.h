// Decides at which endpoints this host may start requests now. Considers this
// host's quotas of the endpoints' start limits, and the back-offs that
// endpoints have asked of this host.

#ifndef HARECRANK_SRC_GATEWAY_START_LIMITER_H_
#define HARECRANK_SRC_GATEWAY_START_LIMITER_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

#include "harecrank/core/planner.h"
#include "harecrank/core/start_quotas.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"

namespace harecrank {

// Decides where this host may start requests now. Tracks which endpoints are
// cold according to the store (recently started, so that they accept few
// requests per second), which have advertised a rate limit in a response to
// this or another host, and which have asked this host to back off. Counts the
// requests that this host starts at such endpoints, and logs each change of an
// endpoint's state. Not thread-safe.
class StartLimiter {
 public:
  // All pointers must outlive this. `hosts` returns the largest number of hosts
  // that the fleet may have, or nothing while that is unknown.
  StartLimiter(HostAddress self, ColdLimit cold_limit,
               std::function<std::optional<int>()> hosts,
               RoutingTableProvider routing, EventLog* log, Metrics* metrics,
               MonotonicClock clock);

  // OnListing handles the complete list of the endpoint records in the store,
  // OnEndpoint a new or changed record, and OnGone the removal of a record.
  void OnListing(const std::vector<EndpointRecord>& records);
  void OnEndpoint(const EndpointRecord& record);
  void OnGone(const EndpointId& id) { cold_endpoints_.OnGone(id); }

  // Applies the rate limit in the response to a request that was sent at
  // `sent_at`. Returns whether other hosts should be informed soon.
  bool OnAnswer(const EndpointId& endpoint, const RateLimitHint& hint,
                TimePoint sent_at);

  // Applies the back-off that `endpoint` has asked for in a response to this
  // host.
  void OnBackoffHint(const EndpointRecord& endpoint, const BackoffHint& hint);

  // Records that the endpoint `id` runs as `incarnation`. A back-off that
  // another incarnation has asked for is removed.
  void OnIncarnation(const EndpointId& id,
                     const std::optional<EndpointIncarnation>& incarnation) {
    backoffs_.OnIncarnation(id, incarnation);
  }

  // Merges the rate limits that another host has reported.
  void MergeFromPeer(const std::vector<RateLimitReport>& reports);

  // Returns the rate limits to report to other hosts.
  std::vector<RateLimitReport> Reports() const {
    return rate_limits_.Reports();
  }

  // Removes limits that have expired. To be called several times a second.
  void Tick();

  // Returns the endpoints at which this host may not start a request now
  // because of a start limit or a back-off. If there are any, increments the
  // metric that counts such cases.
  std::set<EndpointId> Withheld(const ServiceProfile& service);

  // Returns whether this host may start `placement` now, at its endpoint and at
  // all helpers. If not, increments the metric that counts such cases.
  bool MayStart(const Placement& placement, const ServiceProfile& service);

  // Adds the starts at the endpoint and the helpers of `placement` to the start
  // history, by which quotas are checked.
  void OnStart(const Placement& placement, const ServiceProfile& service);

  // Returns when and how fast this host may start requests at those of
  // `endpoints` that are not in `tried`. Returns nothing if one of them has no
  // limit, or if all have been tried.
  std::optional<StartAvailability> StartAvailabilityOf(
      const std::vector<const EndpointRecord*>& endpoints,
      const std::set<EndpointId>& tried, const ServiceProfile& service) const {
    return quotas_.StartAvailabilityOf(history_, self_, endpoints, tried,
                                       service);
  }

  // Returns the Retry-After time for a caller that is rejected because of the
  // limits of all endpoints of `service`. The times of successive callers are
  // spaced by the rate at which this host may start requests. The maximum is
  // kMaxRetryAfter or, if all endpoints have asked for a longer back-off, the
  // time to the end of the back-offs.
  Millis NextRetryAfter(const ServiceName& service,
                        const StartAvailability& availability);

  // Returns the start quotas of all hosts, which the planner applies to the
  // placements of each host.
  const StartQuotas* Quotas() const { return &quotas_; }

  std::size_t ColdCount() const { return cold_endpoints_.Count(); }
  std::size_t LimitedCount() const { return rate_limits_.Count(); }
  bool IsBackingOff(const EndpointId& id) const {
    return backoffs_.RemainingBackoff(id).has_value();
  }
  std::size_t BackoffCount() const { return backoffs_.Count(); }

  // Returns as JSON, for operators, the limits of all endpoints and how much of
  // its quotas this host has used.
  nlohmann::json Describe() const;

  // Maximum Retry-After time while no back-off is longer. Callers honour a
  // Retry-After of up to a third of their remaining time, and after this time
  // most limits have changed.
  static constexpr Millis kMaxRetryAfter{10000};

 private:
  nlohmann::json DescribeRateLimit(const EndpointId& id) const;
  nlohmann::json DescribeBackoff(const EndpointId& id) const;
  void CountWithheld();
  void UpdateColdState(const EndpointRecord& record, Millis after_start);
  void LogRateLimitChange(const EndpointId& endpoint, RateLimitChange change,
                          const char* source);

  HostAddress self_;
  RoutingTableProvider routing_;
  EventLog* log_;
  Metrics* metrics_;
  MonotonicClock clock_;
  ColdEndpoints cold_endpoints_;
  EndpointRateLimits rate_limits_;
  EndpointBackoffs backoffs_;
  StartQuotas quotas_;
  StartHistory history_;
  // For each service, the time at which its last rejected caller may retry.
  std::map<ServiceName, TimePoint> retry_times_;
  // Whether a list of all endpoints has been received. Endpoints in the first
  // list are not treated as newly started, since they may have run for long.
  bool has_listing_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_START_LIMITER_H_
