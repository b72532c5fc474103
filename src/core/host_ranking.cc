#include "harecrank/core/host_ranking.h"

namespace harecrank {

HostRanking::Informed HostRanking::InformedOf(
    const HostAddress& host, const HostRankingEntry& standing) {
  return {Knowledge{standing.known_up_to.value, standing.rank.first},
          standing.draw, host};
}

void HostRanking::Set(const HostAddress& host,
                      const HostRankingEntry& standing) {
  const auto [held, is_new] = standings_.try_emplace(host, standing);
  if (!is_new) {
    if (held->second == standing) {
      return;
    }
    Unlist(host, held->second);
    held->second = standing;
  }
  by_rank_.emplace(standing.rank, host);
  if (standing.claims) {
    claimants_.emplace(standing.rank, host);
  }
  if (standing.is_answered) {
    answered_.emplace(standing.rank, host);
  }
  if (standing.store_data_fresh) {
    informed_.insert(InformedOf(host, standing));
  }
  routed_.emplace(standing.routing.value, InformedOf(host, standing));
  alive_hosts_.insert(standing.alive_hosts);
}

void HostRanking::Remove(const HostAddress& host) {
  const auto held = standings_.find(host);
  if (held != standings_.end()) {
    Unlist(host, held->second);
    standings_.erase(held);
  }
}

void HostRanking::Unlist(const HostAddress& host,
                         const HostRankingEntry& standing) {
  by_rank_.erase({standing.rank, host});
  claimants_.erase({standing.rank, host});
  answered_.erase({standing.rank, host});
  informed_.erase(InformedOf(host, standing));
  routed_.erase({standing.routing.value, InformedOf(host, standing)});
  alive_hosts_.erase(alive_hosts_.find(standing.alive_hosts));
}

std::optional<HostAddress> HostRanking::FindMoreUpToDate(
    RoutingVersion routing, StoreRevision known_up_to,
    std::uint64_t draw) const {
  if (!informed_.empty()) {
    const Knowledge most = std::get<0>(*informed_.rbegin());
    if (known_up_to.value < most.first) {
      auto drawn = informed_.lower_bound({most, draw, HostAddress{}});
      if (drawn == informed_.end()) {
        drawn = informed_.lower_bound({most, 0, HostAddress{}});
      }
      return std::get<HostAddress>(*drawn);
    }
  }
  if (routed_.empty() || routed_.rbegin()->first <= routing.value) {
    return std::nullopt;
  }
  const std::uint64_t newest = routed_.rbegin()->first;
  const Knowledge most = std::get<0>(routed_.rbegin()->second);
  auto drawn = routed_.lower_bound({newest, {most, draw, HostAddress{}}});
  if (drawn == routed_.end()) {
    drawn = routed_.lower_bound({newest, {most, 0, HostAddress{}}});
  }
  return std::get<HostAddress>(drawn->second);
}

int HostRanking::MostAliveHosts() const {
  return alive_hosts_.empty() ? 0 : *alive_hosts_.rbegin();
}

}  // namespace harecrank
