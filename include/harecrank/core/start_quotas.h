// Limits the requests that all hosts together start at an endpoint.
//
// A cold endpoint, one that has recently started or has reported that it is
// cold again, accepts only a few requests per second and fails above this rate.
// An overloaded endpoint advertises the rate that it accepts. No host sees what
// all hosts send: links fail, two planners may each act as the only one, and a
// new planner does not know which placements its predecessor made. So each host
// keeps to its own quota, whether it or a planner chose the endpoint, and the
// quotas add up to at most the limit:
//
//   limit of 53 requests per second, 24 hosts: 2 from each, 48 in all
//   limit of 53, 300 hosts: 1 from each of about 27 hosts, which are chosen by
//   a hash of host and endpoint
//
// The planner applies the same rule to the placements that it makes for each
// host, so that a host seldom has to refuse a placement.
//
// A back-off hint from an endpoint applies only to the host that received it,
// and limits the requests that this host starts after the back-off in the same
// way.

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

// Remembers when each host recently started requests at each endpoint. Not
// thread-safe.
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

  // How long every start is remembered: the longest window of any start limit.
  static constexpr Millis kWindow = EndpointRateLimits::kWindow;
  // How long the latest start of a host at an endpoint is remembered.
  static constexpr Millis kLastRemembered{60000};

 private:
  // The host that started requests, and the endpoint at which it did.
  using Key = std::pair<HostAddress, EndpointId>;

  // Drops the starts that no longer need to be remembered.
  void Sweep();

  MonotonicClock clock_;
  TimePoint last_sweep_;
  // Times of the remembered starts, oldest first.
  std::map<Key, std::deque<TimePoint>> starts_;
};

// When and how fast a host may start requests at a set of endpoints of a
// service.
struct StartAvailability {
  // Earliest time at which any of the endpoints admits a request; the present
  // or a past time if one admits it now.
  TimePoint next{};
  // Requests per second, summed over the endpoints.
  double per_second = 0;
  // Time until which all of the endpoints have asked the host to back off; in
  // the past if at least one endpoint has not asked for a back-off.
  TimePoint backoff_until{};
};

// The back-offs that endpoints have asked one host for.
struct HostBackoffs {
  HostAddress host;
  const EndpointBackoffs* backoffs = nullptr;
};

// Decides when each host may start requests at the endpoints that have a start
// limit, so that all hosts together keep to the limit. Not thread-safe.
class StartQuotas {
 public:
  // `cold_endpoints`, `rate_limits` and the `backoffs` of `own_backoffs`, which
  // may be null, must outlive this object. `hosts` returns the largest number
  // of hosts that the fleet may have, or nothing while that is unknown.
  StartQuotas(ColdLimit cold_limit, const ColdEndpoints* cold_endpoints,
              const EndpointRateLimits* rate_limits, HostBackoffs own_backoffs,
              std::function<std::optional<int>()> hosts, MonotonicClock clock);

  // Returns the smallest quota of `host` under the limits that apply at
  // `endpoint`: the number of requests that the host may start within the
  // window of the limit with the smallest quota. The quota is a whole number
  // unless the limit is being lifted. Returns nothing if no limit applies now.
  std::optional<double> QuotaOf(const HostAddress& host,
                                const EndpointId& endpoint,
                                const ServiceProfile& service) const;

  // Returns when `host`, with the history `starts`, may start its next request.
  // The starts are spread evenly over time, with a different phase for each
  // host: if all hosts used their quotas at the start of a window, the endpoint
  // would get a burst and then nothing. If the quota is zero, returns the time
  // at which the caller should check again.
  TimePoint NextStart(const StartHistory& starts, const HostAddress& host,
                      const EndpointId& endpoint, const ServiceProfile& service,
                      StartKind kind = StartKind::kRequest) const;

  // Returns whether `host` may start one more request now.
  bool MayStart(const StartHistory& starts, const HostAddress& host,
                const EndpointId& endpoint, const ServiceProfile& service,
                StartKind kind = StartKind::kRequest) const;

  // Returns whether `host` may start all requests of `placement` now: the one
  // at its endpoint, and the prefill of prompt parts at its helpers.
  bool MayStart(const StartHistory& starts, const HostAddress& host,
                const Placement& placement,
                const ServiceProfile& service) const;

  // Records in `starts` that `host` starts `placement`: the start at its
  // endpoint and those at its helpers, as far as they count toward a limit.
  void Add(const Placement& placement, const ServiceProfile& service,
           const HostAddress& host, StartHistory* starts) const;

  // Returns the endpoints with a start limit at which `host` may not start a
  // request now.
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
    // Earliest time of the host's first start under the limit.
    TimePoint first{};
  };

  // Returns the start limit of a cold or recently cold endpoint, or nothing if
  // there is none.
  std::optional<StartLimit> ColdLimitOf(const EndpointId& endpoint,
                                        const ServiceProfile& service) const;
  // Returns the start limit from a back-off that `endpoint` has asked `host`
  // for. Returns nothing if there is none, or if `host` is not the host of
  // `own_backoffs_`.
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
  // Returns whether cold endpoints of `service` have a start limit.
  bool LimitsColdStarts(const ServiceProfile& service) const;
  // Returns whether starts at `endpoint` count toward a limit that applies now
  // or may apply soon.
  bool CountsTowardLimit(const HostAddress& host, const EndpointId& endpoint,
                         const ServiceProfile& service, StartKind kind) const;

  ColdLimit cold_limit_;
  const ColdEndpoints* cold_endpoints_;
  const EndpointRateLimits* rate_limits_;
  HostBackoffs own_backoffs_;
  // Returns the largest number of hosts that the fleet may have, or nothing
  // while that is unknown.
  std::function<std::optional<int>()> hosts_;
  MonotonicClock clock_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_START_QUOTAS_H_
