// Bounds the requests that all hosts together begin at a cold endpoint.
//
// The load that it answers: endpoints that have just started, or have turned
// cold while they served, take a few requests a second and fall over above
// that. No host sees what all hosts send: links are cut, two planners each take
// themselves for the only one, a new one does not know what its predecessor
// gave. So each host keeps to a part of the bound that is its own, whoever
// chose the endpoint, and the parts add up to the bound at most:
//
//   bound 53 requests a second, 24 hosts: 2 from each, 48 in all
//   bound 53, 300 hosts: 1 from each of about 27 hosts, whom a hash of host and
//   endpoint names
//
// The planner counts what it gives to each host by the same rule, so that
// places are seldom given in vain.

#ifndef HARECRANK_CORE_COLD_STARTS_H_
#define HARECRANK_CORE_COLD_STARTS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/cold_bound.h"
#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/routing_table.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What news of an endpoint changed.
enum class ColdChange { kNone, kTurnedCold, kTurnedWarm };

// Knows which endpoints are cold, by this host's clock. Not thread-safe.
class ColdEndpoints {
 public:
  explicit ColdEndpoints(MonotonicClock clock);

  // Takes an entry. What it tells of cold counts from now, since it cannot have
  // been written later: an endpoint that was heard of late counts as cold for
  // a little too long and never for too short. An entry that was taken before,
  // or an older one, changes nothing. Where the entry does not tell, a new life
  // counts as cold for `after_start`.
  ColdChange OnRecord(const EndpointRecord& record, Millis after_start);

  // The entry has vanished. The endpoint may be used for a little longer, and
  // stays as cold as it was.
  void OnGone(const EndpointId& id);

  bool IsCold(const EndpointId& id) const;

  // Returns by what factor the bound of `id` is raised: 1 while it is cold,
  // rising afterwards, and nothing where there is no bound.
  std::optional<double> Factor(const EndpointId& id) const;

  // Returns since when `id` has had a bound; the clock's beginning if it has
  // none.
  TimePoint BoundSince(const EndpointId& id) const;

  // Returns those whose cold time has passed since the last call.
  std::vector<EndpointId> TakeWarmed();

  // Returns those that have a bound now.
  std::vector<EndpointId> Bounded() const;

  // Returns how many are cold.
  std::size_t Count() const;

  // After the cold time the bound doubles in each of these, so that what other
  // endpoints have taken meanwhile does not return as one wave.
  static constexpr Millis kDoubles{1000};
  // How often it doubles before it is lifted.
  static constexpr int kMostDoublings = 5;

 private:
  struct Entry {
    bool IsCold(TimePoint now) const;

    std::optional<EndpointLife> life;
    StoreRevision revision;
    // Since when it has had a bound, if it has one.
    TimePoint bound_since{};
    // The end of its last cold time; unset if it was never cold.
    std::optional<TimePoint> cold_until;
    // Whether that end has been passed on by TakeWarmed.
    bool end_told = true;
    bool gone = false;
  };

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
  // Those that have a bound, and some whose bound was lifted since the last
  // TakeWarmed.
  std::set<EndpointId> bounded_;
};

// Counts what hosts begin at endpoints within the last moments. Not
// thread-safe.
class StartCounts {
 public:
  explicit StartCounts(MonotonicClock clock);

  void Add(const HostAddress& host, const EndpointId& endpoint);

  // Returns how many `host` has begun at `endpoint` within kWindow.
  std::size_t Of(const HostAddress& host, const EndpointId& endpoint) const;

  // Returns how long ago `host` began the last one there that is remembered.
  FractionalMillis SinceLast(const HostAddress& host,
                             const EndpointId& endpoint) const;

  // A second, and what a request may take from here to the endpoint: two that
  // are decided on further apart never arrive in the same second.
  static constexpr Millis kWindow =
      Millis(1000) + EndpointDirectory::kSendingTime;

 private:
  using Key = std::pair<HostAddress, EndpointId>;

  // Drops what no longer counts.
  void Sweep();

  MonotonicClock clock_;
  TimePoint swept_;
  // The oldest first.
  std::map<Key, std::deque<TimePoint>> starts_;
};

// The parts of the bound. Not thread-safe.
class ColdShares {
 public:
  // `endpoints` must outlive this. `hosts` returns how many hosts the fleet may
  // have, or nothing while that is not known.
  ColdShares(ColdBound bound, const ColdEndpoints* endpoints,
             std::function<std::optional<int>()> hosts, MonotonicClock clock);

  // Returns whether endpoints of `service` have a bound while they are cold.
  bool IsBounded(const ServiceProfile& service) const;

  // Returns how many requests `host` may begin at `endpoint` within
  // StartCounts::kWindow, a whole number while the endpoint is cold; nothing
  // where there is no bound now.
  std::optional<double> ShareOf(const HostAddress& host,
                                const EndpointId& endpoint,
                                const ServiceProfile& service) const;

  // Returns whether `host`, which has begun `starts`, may begin one more. They
  // are begun evenly, and each host begins at a time of its own: a window's
  // part taken at once, by all hosts together, is a wave and then a pause.
  bool MayStart(const StartCounts& starts, const HostAddress& host,
                const EndpointId& endpoint,
                const ServiceProfile& service) const;

  // Returns the endpoints at which `host` may begin nothing now.
  std::set<EndpointId> Withheld(const StartCounts& starts,
                                const HostAddress& host,
                                const ServiceProfile& service) const;

 private:
  ColdBound bound_;
  const ColdEndpoints* endpoints_;
  std::function<std::optional<int>()> hosts_;
  MonotonicClock clock_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_COLD_STARTS_H_
