#include "harecrank/core/membership.h"

#include <algorithm>
#include <utility>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

// A host is forgotten if for this long no message from it has arrived and no
// heartbeat has named it. The time is long enough that a host finds its fleet
// again after a network partition of several minutes.
constexpr std::chrono::minutes kForgetAfter{10};
// Pollers are chosen from the hosts whose polls the store already answers and,
// if these are too few, from the kPollerCandidates hosts of highest rank. If
// the store answers none of them, the remaining hosts poll for themselves.
constexpr std::size_t kPollerCandidates = 16;
// Rendezvous key of the hash that decides between hosts of equal CPU share in
// HostRank.
constexpr char kPlannerKey[] = "planner";
// Rendezvous key of HostRankingEntry::tie_break_hash.
constexpr char kTieBreakKey[] = "draw";

}  // namespace

Membership::Membership(KnownHost self, std::vector<HostAddress> seeds,
                       MonotonicClock clock, RandomSource random)
    : self_(std::move(self)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      started_at_(clock_()),
      size_(clock_) {
  SetSeeds(std::move(seeds));
}

void Membership::SetSeeds(std::vector<HostAddress> seeds) {
  seeds_ = std::move(seeds);
  size_.SetHasOtherSeeds(std::any_of(
      seeds_.begin(), seeds_.end(),
      [this](const HostAddress& seed) { return seed != self_.address; }));
}

bool Membership::OnHeartbeat(const Heartbeat& heartbeat) {
  if (heartbeat.address == self_.address) {
    return false;
  }
  Expire();
  const bool is_new = !heard_hosts_.Contains(heartbeat.address);
  if (hosts_.count(heartbeat.address) == 0) {
    MakeRoom();
  }
  Hosts::value_type* known = FindOrAdd(heartbeat.address, heartbeat.cpu_share);
  if (known == nullptr) {
    return false;
  }
  Host& host = known->second;
  host.ranking_entry.routing = heartbeat.routing;
  host.ranking_entry.known_up_to = heartbeat.known_up_to;
  host.ranking_entry.store_data_fresh = heartbeat.store_data_fresh;
  host.ranking_entry.answered_by_store =
      heartbeat.poll_state == PollState::kAnswered;
  host.ranking_entry.alive_hosts = heartbeat.alive_hosts;
  host.leaving = heartbeat.leaving;
  host.planner = heartbeat.planner;
  size_.OnReported(std::max(heartbeat.alive_hosts, heartbeat.peak_hosts));
  told_of_lost_hosts_ =
      told_of_lost_hosts_ || heartbeat.peak_hosts > heartbeat.alive_hosts;
  if (heartbeat.poll_state == PollState::kFailed) {
    host.poll_failed_at = clock_();
  }
  RecordHeard(known);
  for (const KnownHost& other : heartbeat.hosts) {
    if (other.address != self_.address) {
      Hosts::value_type* reported = FindOrAdd(other.address, other.cpu_share);
      if (reported == nullptr) {
        continue;
      }
      reported->second.last_reported_at = clock_();
      alive_hosts_.Extend(reported->first, clock_() + kHeartbeatTimeout);
      alive_by_rank_.emplace(reported->second.ranking_entry.rank,
                             reported->first);
    }
  }
  expected_to_plan_ = expected_to_plan_ || heartbeat.planner == self_.address;
  ForgetSilentHosts();
  return is_new;
}

Membership::Hosts::value_type* Membership::FindOrAdd(const HostAddress& address,
                                                     CpuShare cpu_share) {
  if (hosts_.size() >= kMaxHosts && hosts_.count(address) == 0) {
    return nullptr;
  }
  const auto [known, is_new] = hosts_.try_emplace(address);
  Host& host = known->second;
  if (is_new) {
    host.address_index = addresses_.size();
    host.ranking_entry.tie_break_hash =
        RendezvousWeight(kTieBreakKey, address.value);
    addresses_.push_back(address);
  }
  if (is_new || host.cpu_share != cpu_share) {
    alive_by_rank_.erase({host.ranking_entry.rank, address});
    host.cpu_share = cpu_share;
    host.ranking_entry.rank = RankOf(address, cpu_share);
    if (alive_hosts_.Contains(address)) {
      alive_by_rank_.emplace(host.ranking_entry.rank, address);
    }
    if (heard_hosts_.Contains(address)) {
      UpdateRanking(&*known);
    }
  }
  return &*known;
}

void Membership::RecordHeard(Hosts::value_type* host) {
  const TimePoint now = clock_();
  last_heard_any_at_ = now;
  host->second.last_heard_at = now;
  host->second.suspect_until = TimePoint{};
  heard_hosts_.Extend(host->first, now + kHeartbeatTimeout);
  alive_hosts_.Extend(host->first, now + kHeartbeatTimeout);
  alive_by_rank_.emplace(host->second.ranking_entry.rank, host->first);
  UpdateRanking(host);
}

void Membership::UpdateRanking(Hosts::value_type* host) {
  host->second.ranking_entry.claims_planner =
      host->second.planner == host->first;
  ranking_.Set(host->first, host->second.ranking_entry);
}

void Membership::Expire() const {
  const TimePoint now = clock_();
  heard_hosts_.Expire(
      now, [this](const HostAddress& host) { ranking_.Remove(host); });
  alive_hosts_.Expire(now, [this](const HostAddress& host) {
    const auto known = hosts_.find(host);
    if (known != hosts_.end()) {
      alive_by_rank_.erase({known->second.ranking_entry.rank, host});
    }
  });
}

void Membership::OnMessageReceived(const HostAddress& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    RecordHeard(&*found);
  }
}

void Membership::OnUnresponsive(const HostAddress& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.suspect_until = clock_() + kSuspectFor;
  }
}

bool Membership::IsSuspect(const HostAddress& host) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && clock_() < found->second.suspect_until;
}

void Membership::OnRedirect(const HostAddress& host,
                            const HostAddress& planner) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.planner = planner;
    RecordHeard(&*found);
  }
}

void Membership::Leave() {
  leaving_ = true;
  claims_planner_ = false;
}

std::optional<HostAddress> Membership::Planner() {
  Expire();
  std::optional<HostAddress> claimant =
      BestPlanner(ranking_.PlannerClaimants(), claims_planner_);
  if (claimant.has_value()) {
    claims_planner_ = *claimant == self_.address;
    return claimant;
  }
  if (!IsPastStartupGrace()) {
    return std::nullopt;
  }
  std::optional<HostAddress> candidate = BestPlanner(alive_by_rank_, !leaving_);
  claims_planner_ = candidate == self_.address;
  return candidate;
}

std::optional<HostAddress> Membership::BestPlanner(const HostsByRank& hosts,
                                                   bool self_eligible) const {
  const HostRank own_rank = RankOf(self_.address, self_.cpu_share);
  for (const auto& [rank, address] : hosts) {
    if (self_eligible && own_rank > rank) {
      break;
    }
    if (IsEligible(hosts_.at(address))) {
      return address;
    }
  }
  return self_eligible ? std::make_optional(self_.address) : std::nullopt;
}

std::vector<HostAddress> Membership::GossipTargets() const {
  std::vector<HostAddress> seeds;
  for (const HostAddress& seed : seeds_) {
    if (seed != self_.address) {
      seeds.push_back(seed);
    }
  }
  if (addresses_.empty() || seeds.empty()) {
    return seeds;
  }
  const std::size_t chosen = random_() % (seeds.size() + addresses_.size());
  return {chosen < seeds.size() ? seeds[chosen]
                                : addresses_[chosen - seeds.size()]};
}

std::vector<HostAddress> Membership::OtherAliveHosts() const {
  Expire();
  std::vector<HostAddress> alive;
  alive.reserve(alive_by_rank_.size());
  for (const auto& [rank, address] : alive_by_rank_) {
    alive.push_back(address);
  }
  return alive;
}

std::vector<KnownHost> Membership::TopAliveByRank(std::size_t limit) const {
  Expire();
  const HostRank own_rank = RankOf(self_.address, self_.cpu_share);
  bool self_eligible = !leaving_;
  std::vector<KnownHost> best;
  for (const auto& [rank, address] : ranking_.ByRank()) {
    if (self_eligible && own_rank > rank && best.size() < limit) {
      best.push_back(self_);
      self_eligible = false;
    }
    if (best.size() >= limit) {
      return best;
    }
    if (IsEligible(hosts_.at(address))) {
      best.push_back(KnownHost{address, CpuShare{rank.first}});
    }
  }
  if (self_eligible && best.size() < limit) {
    best.push_back(self_);
  }
  return best;
}

std::vector<HostAddress> Membership::Successors(std::size_t limit) const {
  std::vector<HostAddress> successors;
  for (const KnownHost& host : TopAliveByRank(limit + 1)) {
    if (host.address != self_.address && successors.size() < limit) {
      successors.push_back(host.address);
    }
  }
  return successors;
}

std::vector<KnownHost> Membership::PartialViewFor(
    const HostAddress& recipient) {
  std::vector<KnownHost> view = TopAliveByRank(kSuccessors + 1);
  const bool may_plan_next = std::any_of(view.begin(), view.end(),
                                         [&recipient](const KnownHost& host) {
                                           return host.address == recipient;
                                         });
  if (may_plan_next) {
    if (hosts_.size() < kMaxMembersPerHeartbeat) {
      return TopAliveByRank(hosts_.size() + 1);
    }
    AddNextHosts(kMaxMembersPerHeartbeat - view.size(), &view);
    return view;
  }
  for (std::size_t i = 0; i < kRandomMembersPerHeartbeat && !addresses_.empty();
       ++i) {
    const HostAddress& chosen = addresses_[random_() % addresses_.size()];
    if (heard_hosts_.Contains(chosen)) {
      view.push_back(KnownHost{chosen, hosts_.at(chosen).cpu_share});
    }
  }
  return view;
}

void Membership::AddNextHosts(std::size_t limit, std::vector<KnownHost>* view) {
  for (std::size_t i = 0; i < limit; ++i) {
    last_visited_index_ = (last_visited_index_ + 1) % addresses_.size();
    const HostAddress& host = addresses_[last_visited_index_];
    if (heard_hosts_.Contains(host)) {
      view->push_back(KnownHost{host, hosts_.at(host).cpu_share});
    }
  }
}

std::vector<HostAddress> Membership::StorePollers() const {
  const TimePoint now = clock_();
  const std::vector<KnownHost> best = TopAliveByRank(kPollerCandidates);
  std::vector<HostAddress> pollers;
  for (const auto& [rank, address] : ranking_.AnsweredByStore()) {
    if (pollers.size() < kPollersBesidePlanner &&
        IsEligible(hosts_.at(address))) {
      pollers.push_back(address);
    }
  }
  for (const KnownHost& known : best) {
    if (known.address == self_.address ||
        pollers.size() >= kPollersBesidePlanner) {
      continue;
    }
    const Host& host = hosts_.at(known.address);
    const bool in_cooldown = host.poll_failed_at != TimePoint{} &&
                             now - host.poll_failed_at <= kFailedPollerCooldown;
    if (!in_cooldown && !host.ranking_entry.answered_by_store) {
      pollers.push_back(known.address);
    }
  }
  return pollers;
}

std::optional<HostAddress> Membership::FindMoreUpToDate(
    RoutingVersion routing, StoreRevision known_up_to) const {
  Expire();
  return ranking_.FindMoreUpToDate(routing, known_up_to, random_());
}

CpuShare Membership::CpuShareOf(const HostAddress& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? CpuShare{} : found->second.cpu_share;
}

HostRank Membership::RankOf(const HostAddress& address, CpuShare cpu_share) {
  return {cpu_share.value, RendezvousWeight(kPlannerKey, address.value)};
}

bool Membership::IsPastStartupGrace() const {
  const bool has_seeds =
      std::any_of(seeds_.begin(), seeds_.end(),
                  [this](const HostAddress& s) { return s != self_.address; });
  const bool hears_no_host = has_seeds && hosts_.empty();
  const Millis needed = hears_no_host ? kIsolatedStartupGrace : kStartupGrace;
  return expected_to_plan_ || clock_() - started_at_ >= needed;
}

bool Membership::IsEligible(const Host& host) const {
  return !host.leaving && clock_() >= host.suspect_until;
}

void Membership::ForgetSilentHosts() {
  const TimePoint now = clock_();
  if (now - last_forget_at_ < kHeartbeatTimeout) {
    return;
  }
  last_forget_at_ = now;
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const Host& host = it->second;
    const TimePoint last_sign_of_life =
        std::max(host.last_heard_at, host.last_reported_at);
    const auto next = std::next(it);
    if (now - last_sign_of_life > kForgetAfter) {
      Forget(it);
    }
    it = next;
  }
}

void Membership::MakeRoom() {
  if (hosts_.size() < kMaxHosts) {
    return;
  }
  const auto silent =
      std::find_if(hosts_.begin(), hosts_.end(), [this](const auto& entry) {
        return !heard_hosts_.Contains(entry.first);
      });
  if (silent != hosts_.end()) {
    Forget(silent);
  }
}

void Membership::Forget(Hosts::iterator host) {
  alive_by_rank_.erase({host->second.ranking_entry.rank, host->first});
  const std::size_t address_index = host->second.address_index;
  addresses_[address_index] = addresses_.back();
  hosts_.at(addresses_[address_index]).address_index = address_index;
  addresses_.pop_back();
  hosts_.erase(host);
}

}  // namespace harecrank
