#include "harecrank/core/host_book.h"

#include <algorithm>
#include <utility>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

// Hosts forgotten after this long without a word. Long, so that a host finds
// its fleet again after minutes of being cut off.
constexpr std::chrono::minutes kForgetAfter{10};
// The key by which hosts of equal power are ranked.
constexpr char kPlannerKey[] = "planner";

}  // namespace

HostBook::HostBook(KnownHost self, std::vector<HostAddress> seeds,
                   MonotonicClock clock, RandomSource random)
    : self_(std::move(self)),
      seeds_(std::move(seeds)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      started_(clock_()) {}

void HostBook::SetSeeds(std::vector<HostAddress> seeds) {
  seeds_ = std::move(seeds);
}

bool HostBook::OnWord(const HostWord& word) {
  if (word.address == self_.address) {
    return false;
  }
  const TimePoint now = clock_();
  Host& host = hosts_[word.address];
  const bool is_new = !IsRecent(host.heard);
  host.power = word.power;
  host.routing = word.routing;
  host.known_up_to = word.known_up_to;
  host.source_well = word.source_well;
  host.leaving = word.leaving;
  host.planner = word.planner;
  host.alive_hosts = word.alive_hosts;
  if (word.reads_source && !word.own_source_well) {
    host.unanswered = now;
  }
  host.heard = now;
  host.suspect_until = TimePoint{};
  for (const KnownHost& known : word.hosts) {
    if (known.address != self_.address) {
      Host& other = hosts_[known.address];
      other.power = known.power;
      other.vouched = now;
    }
  }
  expected_ = expected_ || word.planner == self_.address;
  DropForgotten();
  return is_new;
}

void HostBook::OnHeard(const HostAddress& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.heard = clock_();
    found->second.suspect_until = TimePoint{};
  }
}

void HostBook::OnSilent(const HostAddress& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.suspect_until = clock_() + kSuspectFor;
  }
}

void HostBook::OnRedirect(const HostAddress& host, const HostAddress& planner) {
  OnHeard(host);
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.planner = planner;
  }
}

void HostBook::Leave() {
  leaving_ = true;
  claims_ = false;
}

std::optional<HostAddress> HostBook::Planner() {
  const std::optional<HostAddress> claimant = BestClaimant();
  if (claimant.has_value()) {
    claims_ = *claimant == self_.address;
    return claimant;
  }
  if (!HasSettled()) {
    return std::nullopt;
  }
  const std::optional<HostAddress> candidate = BestCandidate();
  claims_ = candidate == self_.address;
  return candidate;
}

std::optional<HostAddress> HostBook::BestClaimant() const {
  std::optional<HostAddress> best;
  Rank best_rank;
  if (claims_) {
    best = self_.address;
    best_rank = RankOf(self_.address, self_.power);
  }
  for (const auto& [address, host] : hosts_) {
    if (host.planner != address || !IsRecent(host.heard) || !IsEligible(host)) {
      continue;
    }
    const Rank rank = RankOf(address, host.power);
    if (!best.has_value() || rank > best_rank) {
      best = address;
      best_rank = rank;
    }
  }
  return best;
}

std::optional<HostAddress> HostBook::BestCandidate() const {
  std::optional<HostAddress> best;
  Rank best_rank;
  if (!leaving_) {
    best = self_.address;
    best_rank = RankOf(self_.address, self_.power);
  }
  for (const auto& [address, host] : hosts_) {
    if (!IsAlive(host) || !IsEligible(host)) {
      continue;
    }
    const Rank rank = RankOf(address, host.power);
    if (!best.has_value() || rank > best_rank) {
      best = address;
      best_rank = rank;
    }
  }
  return best;
}

std::vector<HostAddress> HostBook::Strangers() const {
  std::vector<HostAddress> known;
  for (const HostAddress& seed : seeds_) {
    if (seed != self_.address) {
      known.push_back(seed);
    }
  }
  const bool settled = claims_ || BestClaimant().has_value();
  if (!settled) {
    for (const HostAddress& address : AliveOthers()) {
      if (known.size() < kAskedAtStart &&
          std::find(known.begin(), known.end(), address) == known.end()) {
        known.push_back(address);
      }
    }
    return known;
  }
  for (const auto& [address, host] : hosts_) {
    known.push_back(address);
  }
  if (known.empty()) {
    return known;
  }
  return {known[random_() % known.size()]};
}

std::vector<HostAddress> HostBook::AliveOthers() const {
  std::vector<HostAddress> alive;
  for (const auto& [address, host] : hosts_) {
    if (IsAlive(host)) {
      alive.push_back(address);
    }
  }
  return alive;
}

std::vector<KnownHost> HostBook::AliveByRank() const {
  std::vector<KnownHost> alive;
  if (!leaving_) {
    alive.push_back(self_);
  }
  for (const auto& [address, host] : hosts_) {
    if (IsRecent(host.heard) && IsEligible(host)) {
      alive.push_back(KnownHost{address, host.power});
    }
  }
  std::sort(alive.begin(), alive.end(),
            [](const KnownHost& a, const KnownHost& b) {
              return RankOf(a.address, a.power) > RankOf(b.address, b.power);
            });
  return alive;
}

std::vector<KnownHost> HostBook::HostsFor(const HostAddress& reader) const {
  std::vector<KnownHost> alive = AliveByRank();
  const std::size_t first = std::min(alive.size(), kSuccessors + 1);
  const auto successors = alive.begin() + static_cast<std::ptrdiff_t>(first);
  const bool may_plan_next = std::any_of(
      alive.begin(), successors,
      [&reader](const KnownHost& host) { return host.address == reader; });
  if (may_plan_next) {
    return alive;
  }
  const std::size_t most = std::min(alive.size(), first + kNamedBeside);
  for (std::size_t i = first; i < most; ++i) {
    std::swap(alive[i], alive[i + random_() % (alive.size() - i)]);
  }
  alive.resize(most);
  return alive;
}

std::vector<HostAddress> HostBook::SourceReaders() const {
  const TimePoint now = clock_();
  std::vector<HostAddress> readers;
  for (const KnownHost& host : AliveByRank()) {
    if (host.address == self_.address || readers.size() == kReadersBeside) {
      continue;
    }
    const TimePoint unanswered = hosts_.at(host.address).unanswered;
    if (unanswered == TimePoint{} || now - unanswered > kPassedOver) {
      readers.push_back(host.address);
    }
  }
  return readers;
}

std::optional<HostAddress> HostBook::BetterInformed(
    RoutingVersion routing, StoreRevision known_up_to) const {
  std::vector<HostAddress> best;
  StoreRevision most;
  for (const auto& [address, host] : hosts_) {
    const bool better = routing < host.routing ||
                        (host.source_well && known_up_to < host.known_up_to);
    if (!IsRecent(host.heard) || !better || host.known_up_to < most) {
      continue;
    }
    if (most < host.known_up_to) {
      best.clear();
      most = host.known_up_to;
    }
    best.push_back(address);
  }
  if (best.empty()) {
    return std::nullopt;
  }
  return best[random_() % best.size()];
}

int HostBook::CountedHosts() const {
  return 1 + static_cast<int>(AliveOthers().size());
}

int HostBook::AliveHosts() const {
  int most = CountedHosts();
  for (const auto& [address, host] : hosts_) {
    if (IsRecent(host.heard)) {
      most = std::max(most, host.alive_hosts);
    }
  }
  return most;
}

HostBook::Rank HostBook::RankOf(const HostAddress& address, HostPower power) {
  return {power.value, RendezvousWeight(kPlannerKey, address.value)};
}

bool HostBook::HasSettled() const {
  const bool has_seeds =
      std::any_of(seeds_.begin(), seeds_.end(),
                  [this](const HostAddress& s) { return s != self_.address; });
  const bool hears_nobody = has_seeds && hosts_.empty();
  const Millis needed = hears_nobody ? kAlone : kSettles;
  return expected_ || clock_() - started_ >= needed;
}

bool HostBook::IsRecent(TimePoint time) const {
  return time != TimePoint{} && clock_() - time <= kAliveFor;
}

bool HostBook::IsAlive(const Host& host) const {
  return IsRecent(host.heard) || IsRecent(host.vouched);
}

bool HostBook::IsEligible(const Host& host) const {
  return !host.leaving && clock_() >= host.suspect_until;
}

void HostBook::DropForgotten() {
  const TimePoint now = clock_();
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const Host& host = it->second;
    const TimePoint last = std::max(host.heard, host.vouched);
    it = now - last > kForgetAfter ? hosts_.erase(it) : std::next(it);
  }
}

}  // namespace harecrank
