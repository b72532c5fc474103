// The hosts that were heard lately, in the orders in which one of them is
// chosen. Kept up to date when a host changes, so that no choice looks at all
// hosts.

#ifndef HARECRANK_CORE_HOST_RANKING_H_
#define HARECRANK_CORE_HOST_RANKING_H_

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"

namespace harecrank {

// Sorts before another if it is the better planner.
using HostRank = std::pair<double, std::uint64_t>;

// What a host is chosen by.
struct HostRankingEntry {
  HostRank rank;
  // It says that it plans.
  bool claims = false;
  RoutingVersion routing;
  StoreRevision known_up_to;
  bool store_data_fresh = false;
  // The platform answers it.
  bool is_answered = false;
  int alive_hosts = 0;
  // Sorts hosts that know the same.
  std::uint64_t draw = 0;

  friend bool operator==(const HostRankingEntry& a, const HostRankingEntry& b) {
    return a.Key() == b.Key();
  }

 private:
  std::tuple<HostRank, bool, std::uint64_t, std::uint64_t, bool, bool, int>
  Key() const {
    return {rank,
            claims,
            routing.value,
            known_up_to.value,
            store_data_fresh,
            is_answered,
            alive_hosts};
  }
};

// Hosts by rank, the best first.
using HostsByRank = std::set<std::pair<HostRank, HostAddress>, std::greater<>>;

// Not thread-safe.
class HostRanking {
 public:
  void Set(const HostAddress& host, const HostRankingEntry& standing);
  void Remove(const HostAddress& host);

  const HostsByRank& ByRank() const { return by_rank_; }
  const HostsByRank& Claimants() const { return claimants_; }
  const HostsByRank& Answered() const { return answered_; }

  // Returns one of the hosts that know the most: first of those that the
  // platform answers and that know more than `known_up_to`, then of those in
  // which a newer routing table than `routing` is in force. Nothing if there is
  // none. `draw` is a random number.
  std::optional<HostAddress> FindMoreUpToDate(RoutingVersion routing,
                                              StoreRevision known_up_to,
                                              std::uint64_t draw) const;

  // Returns the most hosts that any of these counts as alive, or zero.
  int MostAliveHosts() const;

 private:
  // Up to which revision, and the power: all that is published can be a tenth
  // of a megabyte, which weak hosts send slowly.
  using Knowledge = std::pair<std::uint64_t, double>;
  using Informed = std::tuple<Knowledge, std::uint64_t, HostAddress>;
  // By the routing table in force before that.
  using Routed = std::pair<std::uint64_t, Informed>;

  static Informed InformedOf(const HostAddress& host,
                             const HostRankingEntry& standing);
  void Unlist(const HostAddress& host, const HostRankingEntry& standing);

  std::map<HostAddress, HostRankingEntry> standings_;
  HostsByRank by_rank_;
  HostsByRank claimants_;
  HostsByRank answered_;
  std::set<Informed> informed_;
  std::set<Routed> routed_;
  std::multiset<int> alive_hosts_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_HOST_RANKING_H_
