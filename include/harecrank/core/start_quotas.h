// Bounds the requests that all hosts together begin at an endpoint.
//
// The load that it answers: endpoints that have just started, or have turned
// cold while they served, take a few requests a second and fall over above
// that; endpoints in need name how many they take. No host sees what all hosts
// send: links are cut, two planners each take themselves for the only one, a
// new one does not know what its predecessor gave. So each host keeps to a part
// of the bound that is its own, whoever chose the endpoint, and the parts add
// up to the bound at max_starts:
//
//   bound 53 requests a second, 24 hosts: 2 from each, 48 in all
//   bound 53, 300 hosts: 1 from each of about 27 hosts, whom a hash of host and
//   endpoint names
//
// The planner counts what it gives to each host by the same rule, so that
// places are seldom given in vain.
//
// An endpoint that has asked one host for rest binds that host alone, and then
// bounds its return in the same way.

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

// Remembers what hosts have begun at endpoints lately. Not thread-safe.
class StartHistory {
 public:
  explicit StartHistory(MonotonicClock clock);

  void Add(const HostAddress& host, const EndpointId& endpoint);

  // Returns how many `host` has begun at `endpoint` within `window`, at
  // max_starts kWindow.
  std::size_t CountWithin(const HostAddress& host, const EndpointId& endpoint,
                          Millis window) const;

  // Returns when `host` began the one there that `others` more have followed;
  // nothing if so many are not remembered.
  std::optional<TimePoint> NthLatest(const HostAddress& host,
                                     const EndpointId& endpoint,
                                     std::size_t others) const;

  // All of this time are remembered: the longest window of any bound.
  static constexpr Millis kWindow = EndpointRateLimits::kWindow;
  // The last one is remembered for this long.
  static constexpr Millis kLastRemembered{60000};

 private:
  using Key = std::pair<HostAddress, EndpointId>;

  // Drops what no longer counts.
  void Sweep();

  MonotonicClock clock_;
  TimePoint swept_;
  // The oldest first.
  std::map<Key, std::deque<TimePoint>> starts_;
};

// What a host may begin of a service's requests.
struct StartAvailability {
  // When it may begin one, at the earliest of the endpoints that were looked
  // at; now or earlier if it may at once.
  TimePoint next{};
  // Requests a second at all of them together.
  double per_second = 0;
  // Until when all of them rest; in the past if one does not.
  TimePoint backoff_until{};
};

// The rests that endpoints have asked of one host.
struct HostBackoffs {
  HostAddress host;
  const EndpointBackoffs* rests = nullptr;
};

// The parts of the bounds. Not thread-safe.
class StartQuotas {
 public:
  // `cold_endpoints`, `limits` and the rests of `own_rests`, if there are any,
  // must outlive this. `hosts` returns how many hosts the fleet may have, or
  // nothing while that is not known.
  StartQuotas(ColdLimit cold_limit, const ColdEndpoints* cold_endpoints,
              const EndpointRateLimits* limits, HostBackoffs own_rests,
              std::function<std::optional<int>()> hosts, MonotonicClock clock);

  // Returns how many requests `host` may begin at `endpoint` within the window
  // of the bound that leaves it the fewest, a whole number until the bound's
  // cause is over; nothing where there is no bound now.
  std::optional<double> QuotaOf(const HostAddress& host,
                                const EndpointId& endpoint,
                                const ServiceProfile& service) const;

  // Returns when `host`, which has begun `starts`, may begin one more. They are
  // begun evenly, and each host begins at a time of its own: a window's part
  // taken at once, by all hosts together, is a wave and then a pause. Where it
  // may not begin any, the time at which to look again.
  TimePoint NextStart(const StartHistory& starts, const HostAddress& host,
                      const EndpointId& endpoint, const ServiceProfile& service,
                      StartKind kind = StartKind::kRequest) const;

  // Returns whether `host` may begin one more now.
  bool MayStart(const StartHistory& starts, const HostAddress& host,
                const EndpointId& endpoint, const ServiceProfile& service,
                StartKind kind = StartKind::kRequest) const;

  // Likewise for all that `placement` begins, at its helpers too.
  bool MayStart(const StartHistory& starts, const HostAddress& host,
                const Placement& placement,
                const ServiceProfile& service) const;

  // Adds all that `placement` begins to `starts` that counts for a bound.
  void Add(const Placement& placement, const ServiceProfile& service,
           const HostAddress& host, StartHistory* starts) const;

  // Returns the endpoints at which `host` may begin nothing now.
  std::set<EndpointId> Withheld(const StartHistory& starts,
                                const HostAddress& host,
                                const ServiceProfile& service) const;

  // Returns when `host` may begin a request at one of `endpoints` that is not
  // among `tried`, and how many a second; nothing if one of them has no bound,
  // or if none is left.
  std::optional<StartAvailability> StartAvailabilityOf(
      const StartHistory& starts, const HostAddress& host,
      const std::vector<const EndpointRecord*>& endpoints,
      const std::set<EndpointId>& tried, const ServiceProfile& service) const;

 private:
  // What one host may begin by one bound.
  struct Part {
    // Within the bound's window.
    double max_starts = 0;
    // From one to the next, on average.
    FractionalMillis pause{0};
    // The first one.
    TimePoint first{};
  };

  std::optional<StartLimit> ColdLimitOf(const EndpointId& endpoint,
                                        const ServiceProfile& service) const;
  std::optional<StartLimit> BackoffLimitOf(const HostAddress& host,
                                           const EndpointId& endpoint) const;
  // Returns the bounds that hold for what `host` begins.
  std::vector<StartLimit> LimitsOf(const HostAddress& host,
                                   const EndpointId& endpoint,
                                   const ServiceProfile& service,
                                   StartKind kind) const;
  Part PartOf(const StartLimit& bound, const HostAddress& host,
              const EndpointId& endpoint) const;
  // Returns how many `host` may begin a second at `endpoint` under `bounds`.
  double PerSecond(const std::vector<StartLimit>& bounds,
                   const HostAddress& host, const EndpointId& endpoint) const;
  TimePoint NextStartUnder(const StartLimit& bound, const StartHistory& starts,
                           const HostAddress& host,
                           const EndpointId& endpoint) const;
  // Whether endpoints of `service` have a bound while they are cold.
  bool LimitsColdStarts(const ServiceProfile& service) const;
  // Whether what begins at `endpoint` counts for a bound, of now or of later.
  bool Counts(const HostAddress& host, const EndpointId& endpoint,
              const ServiceProfile& service, StartKind kind) const;

  ColdLimit cold_bound_;
  const ColdEndpoints* cold_endpoints_;
  const EndpointRateLimits* limits_;
  HostBackoffs own_rests_;
  std::function<std::optional<int>()> hosts_;
  MonotonicClock clock_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_START_QUOTAS_H_
