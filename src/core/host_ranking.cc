#include "harecrank/core/host_ranking.h"

namespace harecrank {

HostRanking::FreshnessKey HostRanking::FreshnessKeyOf(
    const HostAddress& host, const HostRankingEntry& entry) {
  return {RevisionKey{entry.known_up_to.value, entry.rank.first},
          entry.tie_break_hash, host};
}

void HostRanking::Set(const HostAddress& host, const HostRankingEntry& entry) {
  const auto [held, is_new] = entries_.try_emplace(host, entry);
  if (!is_new) {
    if (held->second == entry) {
      return;
    }
    RemoveFromIndexes(host, held->second);
    held->second = entry;
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
  const auto held = entries_.find(host);
  if (held != entries_.end()) {
    RemoveFromIndexes(host, held->second);
    entries_.erase(held);
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
    const RevisionKey most = std::get<0>(*fresh_by_revision_.rbegin());
    if (known_up_to.value < most.first) {
      auto drawn =
          fresh_by_revision_.lower_bound({most, random, HostAddress{}});
      if (drawn == fresh_by_revision_.end()) {
        drawn = fresh_by_revision_.lower_bound({most, 0, HostAddress{}});
      }
      return std::get<HostAddress>(*drawn);
    }
  }
  if (by_routing_version_.empty() ||
      by_routing_version_.rbegin()->first <= routing.value) {
    return std::nullopt;
  }
  const std::uint64_t newest = by_routing_version_.rbegin()->first;
  const RevisionKey most = std::get<0>(by_routing_version_.rbegin()->second);
  auto drawn =
      by_routing_version_.lower_bound({newest, {most, random, HostAddress{}}});
  if (drawn == by_routing_version_.end()) {
    drawn = by_routing_version_.lower_bound({newest, {most, 0, HostAddress{}}});
  }
  return std::get<HostAddress>(drawn->second);
}

int HostRanking::MaxReportedAliveHosts() const {
  return alive_hosts_.empty() ? 0 : *alive_hosts_.rbegin();
}

}  // namespace harecrank
