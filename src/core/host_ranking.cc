#include "harecrank/core/host_ranking.h"

namespace harecrank {

HostRanking::FreshnessKey HostRanking::FreshnessKeyOf(
    const HostAddress& host, const HostRankingEntry& entry) {
  return {RevisionKey{entry.known_up_to.value, entry.rank.first},
          entry.tie_break_hash, host};
}

void HostRanking::Set(const HostAddress& host, const HostRankingEntry& entry) {
  const auto [found, is_new] = entries_.try_emplace(host, entry);
  if (!is_new) {
    if (found->second == entry) {
      return;
    }
    RemoveFromIndexes(host, found->second);
    found->second = entry;
  }
  by_rank_.emplace(entry.rank, host);
  if (entry.claims_planner) {
    planner_claimants_.emplace(entry.rank, host);
  }
  if (entry.answered_by_store) {
    answered_by_store_.emplace(entry.rank, host);
  }
  if (entry.store_data_fresh) {
    fresh_by_revision_.insert(FreshnessKeyOf(host, entry));
  }
  by_routing_version_.emplace(entry.routing.value, FreshnessKeyOf(host, entry));
  alive_hosts_.insert(entry.alive_hosts);
}

void HostRanking::Remove(const HostAddress& host) {
  const auto found = entries_.find(host);
  if (found != entries_.end()) {
    RemoveFromIndexes(host, found->second);
    entries_.erase(found);
  }
}

void HostRanking::RemoveFromIndexes(const HostAddress& host,
                                    const HostRankingEntry& entry) {
  by_rank_.erase({entry.rank, host});
  planner_claimants_.erase({entry.rank, host});
  answered_by_store_.erase({entry.rank, host});
  fresh_by_revision_.erase(FreshnessKeyOf(host, entry));
  by_routing_version_.erase({entry.routing.value, FreshnessKeyOf(host, entry)});
  alive_hosts_.erase(alive_hosts_.find(entry.alive_hosts));
}

std::optional<HostAddress> HostRanking::FindMoreUpToDate(
    RoutingVersion routing, StoreRevision known_up_to,
    std::uint64_t random) const {
  if (!fresh_by_revision_.empty()) {
    const RevisionKey best = std::get<0>(*fresh_by_revision_.rbegin());
    if (known_up_to.value < best.first) {
      auto chosen =
          fresh_by_revision_.lower_bound({best, random, HostAddress{}});
      if (chosen == fresh_by_revision_.end()) {
        chosen = fresh_by_revision_.lower_bound({best, 0, HostAddress{}});
      }
      return std::get<HostAddress>(*chosen);
    }
  }
  if (by_routing_version_.empty() ||
      by_routing_version_.rbegin()->first <= routing.value) {
    return std::nullopt;
  }
  const std::uint64_t newest = by_routing_version_.rbegin()->first;
  const RevisionKey best = std::get<0>(by_routing_version_.rbegin()->second);
  auto chosen =
      by_routing_version_.lower_bound({newest, {best, random, HostAddress{}}});
  if (chosen == by_routing_version_.end()) {
    chosen =
        by_routing_version_.lower_bound({newest, {best, 0, HostAddress{}}});
  }
  return std::get<HostAddress>(chosen->second);
}

int HostRanking::MaxReportedAliveHosts() const {
  return alive_hosts_.empty() ? 0 : *alive_hosts_.rbegin();
}

}  // namespace harecrank
