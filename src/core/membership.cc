#include "harecrank/core/membership.h"

#include <algorithm>
#include <utility>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

// Hosts forgotten after this long without a word. Long, so that a host finds
// its fleet again after minutes of being cut off.
constexpr std::chrono::minutes kForgetAfter{10};
// Of so many hosts of highest rank those that read the platform are chosen:
// with all of them unanswered, the others read for themselves.
constexpr std::size_t kReadersTried = 16;
// The key by which hosts of equal cpu_share are ranked.
constexpr char kPlannerKey[] = "planner";
// The key by which hosts that know the same are drawn.
constexpr char kDrawKey[] = "draw";

}  // namespace

Membership::Membership(KnownHost self, std::vector<HostAddress> seeds,
                       MonotonicClock clock, RandomSource random)
    : self_(std::move(self)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      started_(clock_()),
      size_(clock_) {
  SetSeeds(std::move(seeds));
}

void Membership::SetSeeds(std::vector<HostAddress> seeds) {
  seeds_ = std::move(seeds);
  size_.SetHasOtherSeeds(std::any_of(
      seeds_.begin(), seeds_.end(),
      [this](const HostAddress& seed) { return seed != self_.address; }));
}

bool Membership::OnHeartbeat(const Heartbeat& word) {
  if (word.address == self_.address) {
    return false;
  }
  Expire();
  const bool is_new = !heard_.Holds(word.address);
  Hosts::value_type* known = Known(word.address, word.cpu_share);
  Host& host = known->second;
  host.standing.routing = word.routing;
  host.standing.known_up_to = word.known_up_to;
  host.standing.store_data_fresh = word.store_data_fresh;
  host.standing.is_answered = word.poll_state == PollState::kAnswered;
  host.standing.alive_hosts = word.alive_hosts;
  host.leaving = word.leaving;
  host.planner = word.planner;
  size_.OnReported(std::max(word.alive_hosts, word.peak_hosts));
  if (word.poll_state == PollState::kFailed) {
    host.unanswered = clock_();
  }
  NoteHeard(known);
  for (const KnownHost& other : word.hosts) {
    if (other.address != self_.address) {
      Hosts::value_type* vouched = Known(other.address, other.cpu_share);
      vouched->second.vouched = clock_();
      alive_.Hold(vouched->first, clock_() + kHeartbeatTimeout);
      alive_by_rank_.emplace(vouched->second.standing.rank, vouched->first);
    }
  }
  expected_ = expected_ || word.planner == self_.address;
  DropForgotten();
  return is_new;
}

Membership::Hosts::value_type* Membership::Known(const HostAddress& address,
                                                 CpuShare cpu_share) {
  const auto [known, is_new] = hosts_.try_emplace(address);
  Host& host = known->second;
  if (is_new) {
    host.place = order_.size();
    host.standing.draw = RendezvousWeight(kDrawKey, address.value);
    order_.push_back(address);
  }
  if (is_new || host.cpu_share != cpu_share) {
    alive_by_rank_.erase({host.standing.rank, address});
    host.cpu_share = cpu_share;
    host.standing.rank = RankOf(address, cpu_share);
    if (alive_.Holds(address)) {
      alive_by_rank_.emplace(host.standing.rank, address);
    }
    if (heard_.Holds(address)) {
      Rank(&*known);
    }
  }
  return &*known;
}

void Membership::NoteHeard(Hosts::value_type* host) {
  const TimePoint now = clock_();
  heard_any_ = now;
  host->second.heard = now;
  host->second.suspect_until = TimePoint{};
  heard_.Hold(host->first, now + kHeartbeatTimeout);
  alive_.Hold(host->first, now + kHeartbeatTimeout);
  alive_by_rank_.emplace(host->second.standing.rank, host->first);
  Rank(host);
}

void Membership::Rank(Hosts::value_type* host) {
  host->second.standing.claims = host->second.planner == host->first;
  ranking_.Set(host->first, host->second.standing);
}

void Membership::Expire() const {
  const TimePoint now = clock_();
  heard_.Expire(now,
                [this](const HostAddress& host) { ranking_.Remove(host); });
  alive_.Expire(now, [this](const HostAddress& host) {
    const auto known = hosts_.find(host);
    if (known != hosts_.end()) {
      alive_by_rank_.erase({known->second.standing.rank, host});
    }
  });
}

void Membership::OnMessageReceived(const HostAddress& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    NoteHeard(&*found);
  }
}

void Membership::OnUnresponsive(const HostAddress& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.suspect_until = clock_() + kSuspectFor;
  }
}

void Membership::OnRedirect(const HostAddress& host,
                            const HostAddress& planner) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.planner = planner;
    NoteHeard(&*found);
  }
}

void Membership::Leave() {
  leaving_ = true;
  claims_ = false;
}

std::optional<HostAddress> Membership::Planner() {
  Expire();
  std::optional<HostAddress> claimant = Best(ranking_.Claimants(), claims_);
  if (claimant.has_value()) {
    claims_ = *claimant == self_.address;
    return claimant;
  }
  if (!HasSettled()) {
    return std::nullopt;
  }
  std::optional<HostAddress> candidate = Best(alive_by_rank_, !leaving_);
  claims_ = candidate == self_.address;
  return candidate;
}

std::optional<HostAddress> Membership::Best(const HostsByRank& hosts,
                                            bool self_stands) const {
  const HostRank own = RankOf(self_.address, self_.cpu_share);
  for (const auto& [rank, address] : hosts) {
    if (self_stands && own > rank) {
      break;
    }
    if (IsEligible(hosts_.at(address))) {
      return address;
    }
  }
  return self_stands ? std::make_optional(self_.address) : std::nullopt;
}

std::vector<HostAddress> Membership::GossipTargets() const {
  std::vector<HostAddress> seeds;
  for (const HostAddress& seed : seeds_) {
    if (seed != self_.address) {
      seeds.push_back(seed);
    }
  }
  if (order_.empty() || seeds.empty()) {
    return seeds;
  }
  const std::size_t drawn = random_() % (seeds.size() + order_.size());
  return {drawn < seeds.size() ? seeds[drawn] : order_[drawn - seeds.size()]};
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

std::vector<KnownHost> Membership::AliveByRank(std::size_t most) const {
  Expire();
  const HostRank own = RankOf(self_.address, self_.cpu_share);
  bool self_stands = !leaving_;
  std::vector<KnownHost> best;
  for (const auto& [rank, address] : ranking_.ByRank()) {
    if (self_stands && own > rank && best.size() < most) {
      best.push_back(self_);
      self_stands = false;
    }
    if (best.size() >= most) {
      return best;
    }
    if (IsEligible(hosts_.at(address))) {
      best.push_back(KnownHost{address, CpuShare{rank.first}});
    }
  }
  if (self_stands && best.size() < most) {
    best.push_back(self_);
  }
  return best;
}

std::vector<KnownHost> Membership::PartialViewFor(const HostAddress& reader) {
  std::vector<KnownHost> told = AliveByRank(kSuccessors + 1);
  const bool may_plan_next = std::any_of(
      told.begin(), told.end(),
      [&reader](const KnownHost& host) { return host.address == reader; });
  if (may_plan_next) {
    if (hosts_.size() < kMaxMembersPerHeartbeat) {
      return AliveByRank(hosts_.size() + 1);
    }
    NameInTurn(kMaxMembersPerHeartbeat - told.size(), &told);
    return told;
  }
  for (std::size_t i = 0; i < kRandomMembersPerHeartbeat && !order_.empty();
       ++i) {
    const HostAddress& drawn = order_[random_() % order_.size()];
    if (heard_.Holds(drawn)) {
      told.push_back(KnownHost{drawn, hosts_.at(drawn).cpu_share});
    }
  }
  return told;
}

void Membership::NameInTurn(std::size_t most, std::vector<KnownHost>* told) {
  for (std::size_t i = 0; i < most; ++i) {
    named_next_ = (named_next_ + 1) % order_.size();
    const HostAddress& host = order_[named_next_];
    if (heard_.Holds(host)) {
      told->push_back(KnownHost{host, hosts_.at(host).cpu_share});
    }
  }
}

std::vector<HostAddress> Membership::StorePollers() const {
  const TimePoint now = clock_();
  const std::vector<KnownHost> best = AliveByRank(kReadersTried);
  std::vector<HostAddress> readers;
  for (const auto& [rank, address] : ranking_.Answered()) {
    if (readers.size() < kPollersBesidePlanner &&
        IsEligible(hosts_.at(address))) {
      readers.push_back(address);
    }
  }
  for (const KnownHost& known : best) {
    if (known.address == self_.address ||
        readers.size() >= kPollersBesidePlanner) {
      continue;
    }
    const Host& host = hosts_.at(known.address);
    const bool passed_over = host.unanswered != TimePoint{} &&
                             now - host.unanswered <= kFailedPollerCooldown;
    if (!passed_over && !host.standing.is_answered) {
      readers.push_back(known.address);
    }
  }
  return readers;
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

int Membership::PollingHosts() const {
  const bool is_lone =
      heard_any_ == TimePoint{} || clock_() - heard_any_ > kIsolatedAfter;
  return is_lone ? 1 : AliveHosts();
}

int Membership::ObservedHosts() const {
  Expire();
  return 1 + static_cast<int>(alive_.Count());
}

void Membership::RecordFleetSize() { size_.OnObserved(ObservedHosts()); }

int Membership::AliveHosts() const {
  return std::max(ObservedHosts(), ranking_.MostAliveHosts());
}

int Membership::HostsSharingLimits() const {
  return std::max(AliveHosts(), size_.MaxHosts().value_or(0));
}

HostRank Membership::RankOf(const HostAddress& address, CpuShare cpu_share) {
  return {cpu_share.value, RendezvousWeight(kPlannerKey, address.value)};
}

bool Membership::HasSettled() const {
  const bool has_seeds =
      std::any_of(seeds_.begin(), seeds_.end(),
                  [this](const HostAddress& s) { return s != self_.address; });
  const bool hears_nobody = has_seeds && hosts_.empty();
  const Millis needed = hears_nobody ? kIsolatedStartupGrace : kStartupGrace;
  return expected_ || clock_() - started_ >= needed;
}

bool Membership::IsEligible(const Host& host) const {
  return !host.leaving && clock_() >= host.suspect_until;
}

void Membership::DropForgotten() {
  const TimePoint now = clock_();
  if (now - dropped_forgotten_ < kHeartbeatTimeout) {
    return;
  }
  dropped_forgotten_ = now;
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const Host& host = it->second;
    const TimePoint last = std::max(host.heard, host.vouched);
    const auto next = std::next(it);
    if (now - last > kForgetAfter) {
      Forget(it);
    }
    it = next;
  }
}

void Membership::Forget(Hosts::iterator host) {
  const std::size_t place = host->second.place;
  order_[place] = order_.back();
  hosts_.at(order_[place]).place = place;
  order_.pop_back();
  hosts_.erase(host);
}

}  // namespace harecrank
