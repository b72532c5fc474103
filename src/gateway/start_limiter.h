// Keeps this host to its part of what endpoints take from all hosts together,
// and to the rests that they ask it for.

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

// Follows which endpoints are cold, as the platform tells, which have named a
// limit, as their answers and other hosts tell, and which have asked this host
// for rest; counts what this host begins there. Each change of an endpoint's
// state leaves a line in the log. Not thread-safe.
class StartLimiter {
 public:
  // All pointers must outlive this. `hosts` returns how many hosts the fleet
  // may have, or nothing while that is not known.
  StartLimiter(HostAddress self, ColdLimit cold_limit,
               std::function<std::optional<int>()> hosts,
               RoutingTableProvider routing, EventLog* log, Metrics* metrics,
               MonotonicClock clock);

  // Takes what was published.
  void OnListing(const std::vector<EndpointRecord>& records);
  void OnEndpoint(const EndpointRecord& record);
  void OnGone(const EndpointId& id) { cold_endpoints_.OnGone(id); }

  // Takes what the answer to a request that was sent at `sent_at` says of its
  // endpoint's limit. Returns whether other hosts should hear of it soon.
  bool OnAnswer(const EndpointId& endpoint, const RateLimitHint& hint,
                TimePoint sent_at);

  // Takes what an answer says of when this host may come again.
  void OnBackoffHint(const EndpointRecord& endpoint, const BackoffHint& hint);

  // The endpoint runs in `incarnation`: it owes nothing of an earlier one.
  void OnIncarnation(const EndpointId& id,
                     const std::optional<EndpointIncarnation>& incarnation) {
    backoffs_.OnIncarnation(id, incarnation);
  }

  // Takes what another host tells of limits.
  void MergeFromPeer(const std::vector<RateLimitReport>& reports);

  // Returns what other hosts should hear of limits.
  std::vector<RateLimitReport> Reports() const {
    return rate_limits_.Reports();
  }

  // Looks which bounds are over. To be called several times a second.
  void Tick();

  // Returns where this host may begin nothing now, and counts that a choice is
  // made without those.
  std::set<EndpointId> Withheld(const ServiceProfile& service);

  // Returns whether this host may begin all that `placement` begins now, and
  // counts it if not.
  bool MayStart(const Placement& placement, const ServiceProfile& service);

  // Notes that it begins that.
  void OnStart(const Placement& placement, const ServiceProfile& service);

  // Returns when this host may begin a request at one of `endpoints` that is
  // not among `tried`; nothing if no bound stands against one of them, or if
  // none is left.
  std::optional<StartAvailability> StartAvailabilityOf(
      const std::vector<const EndpointRecord*>& endpoints,
      const std::set<EndpointId>& tried, const ServiceProfile& service) const {
    return quotas_.StartAvailabilityOf(history_, self_, endpoints, tried,
                                       service);
  }

  // Returns after which time a caller may come again whom the bounds of all
  // endpoints of `service` leave out, at most kMaxRetryAfter unless all rest
  // for longer. Each is told a later time than the one before, as far apart as
  // requests may be begun.
  Millis NextRetryAfter(const ServiceName& service,
                        const StartAvailability& availability);

  // The parts of all hosts, for the planner.
  const StartQuotas* Quotas() const { return &quotas_; }

  std::size_t ColdCount() const { return cold_endpoints_.Count(); }
  std::size_t LimitedCount() const { return rate_limits_.Count(); }
  bool IsBackingOff(const EndpointId& id) const {
    return backoffs_.RemainingBackoff(id).has_value();
  }
  std::size_t BackoffCount() const { return backoffs_.Count(); }

  // Returns all bounds, and what this host has begun under them, for operators.
  nlohmann::json Describe() const;

  // Callers honour a pause up to a third of the time that they have left; after
  // this long most bounds are others.
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
  // When the last caller whom a service's bounds left out may come again.
  std::map<ServiceName, TimePoint> retry_times_;
  // Endpoints that were there when this host came are no new lives.
  bool has_listing_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_START_LIMITER_H_
