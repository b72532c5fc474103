// Limits the requests that all hosts together start at an endpoint.
//
// An endpoint that has just started, or has turned cold while it served, takes
// only a few requests per second and fails above that. An overloaded endpoint
// names the rate that it takes. No host sees what all hosts send: links fail,
// two planners may each take themselves for the only one, and a new planner
// does not know which placements its predecessor made. So each host keeps to a
// quota of its own, no matter who chose the endpoint, and the quotas add up to
// at most the limit:
//
//   limit of 53 requests per second, 24 hosts: 2 from each, 48 in all
//   limit of 53, 300 hosts: 1 from each of about 27 hosts, which are chosen by
//   a hash of host and endpoint
//
// The planner applies the same rule to the placements that it makes for each
// host, so that a host seldom has to refuse one.
//
// A back-off hint from an endpoint applies only to the host that received it,
// and limits the return of that host in the same way.

#ifndef HARECRANK_CORE_START_QUOTAS_H_
#define HARECRANK_CORE_START_QUOTAS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/cold_endpoints.h"
#include "harecrank/core/cold_limit.h"
#include "harecrank/core/endpoint_backoffs.h"
#include "harecrank/core/endpoint_rate_limits.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/placement.h"
#include "harecrank/core/routing_table.h"
#include "harecrank/core/start_limit.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Recent request starts by host and endpoint. Not thread-safe.
class StartHistory {
 public:
  explicit StartHistory(MonotonicClock clock);

  void Add(const HostAddress& host, const EndpointId& endpoint);

  // Returns how many requests `host` has started at `endpoint` within `window`,
  // which must not exceed kWindow.
  std::size_t CountWithin(const HostAddress& host, const EndpointId& endpoint,
                          Millis window) const;

  // Returns the time of the n-th latest start of `host` at `endpoint`, counted
  // from zero, or nothing if it is not remembered.
  std::optional<TimePoint> NthLatest(const HostAddress& host,
                                     const EndpointId& endpoint,
                                     std::size_t n) const;

  // All starts within this time are remembered. It is the longest window of any
  // limit.
  static constexpr Millis kWindow = EndpointRateLimits::kWindow;
  // The latest start of a host at an endpoint is remembered for this long.
  static constexpr Millis kLastRemembered{60000};

 private:
  using Key = std::pair<HostAddress, EndpointId>;

  // Drops the starts that no longer need to be remembered.
  void Sweep();

  MonotonicClock clock_;
  TimePoint last_sweep_;
  // Oldest first.
  std::map<Key, std::deque<TimePoint>> starts_;
};

// When and how fast a host may start requests of a service.
struct StartAvailability {
  // Earliest time at which any of the endpoints admits a request; not in the
  // future if one admits it at once.
  TimePoint next{};
  // Requests per second, summed over the endpoints.
  double per_second = 0;
  // Time until which all endpoints have asked the host to back off; in the past
  // if one of them has not.
  TimePoint backoff_until{};
};

// The back-off hints that one host has received.
struct HostBackoffs {
  HostAddress host;
  const EndpointBackoffs* backoffs = nullptr;
};

// Computes each host's quotas under the limits of all endpoints. Not
// thread-safe.
class StartQuotas {
 public:
  // `cold_endpoints`, `rate_limits` and the `backoffs` of `own_backoffs`, which
  // may be null, must outlive this object. `hosts` returns the largest number
  // of hosts that the fleet may have, or nothing while that is unknown.
  StartQuotas(ColdLimit cold_limit, const ColdEndpoints* cold_endpoints,
              const EndpointRateLimits* rate_limits, HostBackoffs own_backoffs,
              std::function<std::optional<int>()> hosts, MonotonicClock clock);

  // Returns the smallest quota of `host` under the limits that apply at
  // `endpoint`: the number of requests that it may start within the window of
  // that limit. It is a whole number unless the limit is being lifted. Returns
  // nothing if no limit applies now.
  std::optional<double> QuotaOf(const HostAddress& host,
                                const EndpointId& endpoint,
                                const ServiceProfile& service) const;

  // Returns when `host`, with the history `starts`, may start its next request.
  // The starts are spread evenly over time, with a different phase for each
  // host: if all hosts used their quotas at the start of a window, the endpoint
  // would get a burst and then nothing. If the quota is zero, returns the time
  // at which to check again.
  TimePoint NextStart(const StartHistory& starts, const HostAddress& host,
                      const EndpointId& endpoint, const ServiceProfile& service,
                      StartKind kind = StartKind::kRequest) const;

  // Returns whether `host` may start one more request now.
  bool MayStart(const StartHistory& starts, const HostAddress& host,
                const EndpointId& endpoint, const ServiceProfile& service,
                StartKind kind = StartKind::kRequest) const;

  // Likewise for all parts of `placement`, including those at its helpers.
  bool MayStart(const StartHistory& starts, const HostAddress& host,
                const Placement& placement,
                const ServiceProfile& service) const;

  // Adds the parts of `placement` that count toward a limit to `starts`.
  void Add(const Placement& placement, const ServiceProfile& service,
           const HostAddress& host, StartHistory* starts) const;

  // Returns the endpoints at which `host` may not start a request now.
  std::set<EndpointId> Withheld(const StartHistory& starts,
                                const HostAddress& host,
                                const ServiceProfile& service) const;

  // Returns when and how fast `host` may start requests at those of `endpoints`
  // that are not in `tried`. Returns nothing if one of them has no limit, or if
  // all have been tried.
  std::optional<StartAvailability> StartAvailabilityOf(
      const StartHistory& starts, const HostAddress& host,
      const std::vector<const EndpointRecord*>& endpoints,
      const std::set<EndpointId>& tried, const ServiceProfile& service) const;

 private:
  // The quota of one host under one limit.
  struct HostQuota {
    // Maximum number of starts within the limit's window.
    double max_starts = 0;
    // Average time between two starts.
    FractionalMillis interval{0};
    // Time of the first start.
    TimePoint first{};
  };

  std::optional<StartLimit> ColdLimitOf(const EndpointId& endpoint,
                                        const ServiceProfile& service) const;
  std::optional<StartLimit> BackoffLimitOf(const HostAddress& host,
                                           const EndpointId& endpoint) const;
  // Returns the limits that apply to the starts of `host` at `endpoint`.
  std::vector<StartLimit> LimitsOf(const HostAddress& host,
                                   const EndpointId& endpoint,
                                   const ServiceProfile& service,
                                   StartKind kind) const;
  HostQuota HostQuotaOf(const StartLimit& limit, const HostAddress& host,
                        const EndpointId& endpoint) const;
  // Returns how many requests `host` may start per second at `endpoint` under
  // `limits`.
  double RatePerSecond(const std::vector<StartLimit>& limits,
                       const HostAddress& host,
                       const EndpointId& endpoint) const;
  TimePoint NextStartUnder(const StartLimit& limit, const StartHistory& starts,
                           const HostAddress& host,
                           const EndpointId& endpoint) const;
  // Returns whether cold endpoints of `service` have a limit.
  bool LimitsColdStarts(const ServiceProfile& service) const;
  // Returns whether starts at `endpoint` count toward a limit that applies now
  // or may apply soon.
  bool CountsTowardLimit(const HostAddress& host, const EndpointId& endpoint,
                         const ServiceProfile& service, StartKind kind) const;

  ColdLimit cold_limit_;
  const ColdEndpoints* cold_endpoints_;
  const EndpointRateLimits* rate_limits_;
  HostBackoffs own_backoffs_;
  std::function<std::optional<int>()> hosts_;
  MonotonicClock clock_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_START_QUOTAS_H_
