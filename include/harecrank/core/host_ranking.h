// Sorted indexes of the hosts from which a message was received recently, one
// for each criterion by which a host is chosen. The indexes are updated when
// the entry of a host changes, so that choosing a host requires no scan of all
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

// Rank of a host: its CPU share, then a hash of its address, which breaks ties.
// The host with the greatest rank is the preferred planner.
using HostRank = std::pair<double, std::uint64_t>;

// The attributes by which a host is chosen.
struct HostRankingEntry {
  HostRank rank;
  // Whether the host declares itself the planner.
  bool claims_planner = false;
  RoutingVersion routing;
  // The store revision up to which the host knows all changes.
  StoreRevision known_up_to;
  // Whether the host's data from the store are fresh.
  bool store_data_fresh = false;
  // Whether the store answers the host's own polls.
  bool answered_by_store = false;
  // Number of alive hosts that the host reports.
  int alive_hosts = 0;
  // Hash of the address. Determines the sort order of hosts that are equally up
  // to date. Not compared by operator==, since it never changes for a given
  // address.
  std::uint64_t tie_break_hash = 0;

  friend bool operator==(const HostRankingEntry& a, const HostRankingEntry& b) {
    return a.Key() == b.Key();
  }

 private:
  std::tuple<HostRank, bool, std::uint64_t, std::uint64_t, bool, bool, int>
  Key() const {
    return {rank,
            claims_planner,
            routing.value,
            known_up_to.value,
            store_data_fresh,
            answered_by_store,
            alive_hosts};
  }
};

// Hosts sorted by rank, highest first.
using HostsByRank = std::set<std::pair<HostRank, HostAddress>, std::greater<>>;

// Finds the hosts of highest rank, the declared planners and the most
// up-to-date hosts for Membership. Not thread-safe.
class HostRanking {
 public:
  // Adds `host` or replaces its entry.
  void Set(const HostAddress& host, const HostRankingEntry& entry);
  void Remove(const HostAddress& host);

  // Return, in this order: all hosts, the hosts that declare themselves the
  // planner, and the hosts whose own polls the store answers.
  const HostsByRank& ByRank() const { return by_rank_; }
  const HostsByRank& PlannerClaimants() const { return planner_claimants_; }
  const HostsByRank& AnsweredByStore() const { return answered_by_store_; }

  // Returns a host that is more up to date than the caller, or nothing if there
  // is none. Prefers hosts with fresh data that know store revisions after
  // `known_up_to`, then hosts that use a newer routing table than `routing`. If
  // several hosts are equally up to date, the uniformly distributed number
  // `random` decides between them.
  std::optional<HostAddress> FindMoreUpToDate(RoutingVersion routing,
                                              StoreRevision known_up_to,
                                              std::uint64_t random) const;

  // Returns the largest number of alive hosts that any host reports; zero if
  // there are no hosts.
  int MaxReportedAliveHosts() const;

 private:
  // Sort key: store revision, then CPU share. The CPU share counts because a
  // snapshot can be about 100 kB, which hosts with a small CPU share send
  // slowly.
  using RevisionKey = std::pair<std::uint64_t, double>;
  // Sort key: RevisionKey, then the tie-break hash and the address.
  using FreshnessKey = std::tuple<RevisionKey, std::uint64_t, HostAddress>;
  // Sort key: version of the routing table in use, then FreshnessKey.
  using RoutingKey = std::pair<std::uint64_t, FreshnessKey>;

  static FreshnessKey FreshnessKeyOf(const HostAddress& host,
                                     const HostRankingEntry& entry);
  void RemoveFromIndexes(const HostAddress& host,
                         const HostRankingEntry& entry);

  std::map<HostAddress, HostRankingEntry> entries_;
  HostsByRank by_rank_;
  HostsByRank planner_claimants_;
  HostsByRank answered_by_store_;
  std::set<FreshnessKey> fresh_by_revision_;
  std::set<RoutingKey> by_routing_version_;
  std::multiset<int> alive_hosts_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_HOST_RANKING_H_
