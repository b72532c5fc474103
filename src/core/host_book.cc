#include "harecrank/core/host_book.h"

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
// The key by which hosts of equal power are ranked.
constexpr char kPlannerKey[] = "planner";

}  // namespace

HostBook::HostBook(KnownHost self, std::vector<HostAddress> seeds,
                   MonotonicClock clock, RandomSource random)
    : self_(std::move(self)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      started_(clock_()),
      size_(clock_) {
  SetSeeds(std::move(seeds));
}

void HostBook::SetSeeds(std::vector<HostAddress> seeds) {
  seeds_ = std::move(seeds);
  size_.SetHasOtherSeeds(std::any_of(
      seeds_.begin(), seeds_.end(),
      [this](const HostAddress& seed) { return seed != self_.address; }));
}

bool HostBook::OnWord(const HostWord& word) {
  if (word.address == self_.address) {
    return false;
  }
  const TimePoint now = clock_();
  Host& host = hosts_[word.address];
  const bool is_new = !IsRecent(host.heard);
  SetPower(word.address, word.power, &host);
  host.routing = word.routing;
  host.known_up_to = word.known_up_to;
  host.source_well = word.source_well;
  host.leaving = word.leaving;
  host.planner = word.planner;
  host.alive_hosts = word.alive_hosts;
  size_.OnTold(std::max(word.alive_hosts, word.most_hosts));
  if (word.own_reading == OwnReading::kFailed) {
    host.unanswered = now;
  }
  host.heard = now;
  host.suspect_until = TimePoint{};
  for (const KnownHost& known : word.hosts) {
    if (known.address != self_.address) {
      Host& other = hosts_[known.address];
      SetPower(known.address, known.power, &other);
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
  std::optional<HostAddress> claimant = BestClaimant();
  if (claimant.has_value()) {
    claims_ = *claimant == self_.address;
    return claimant;
  }
  if (!HasSettled()) {
    return std::nullopt;
  }
  std::optional<HostAddress> candidate = BestCandidate();
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
    if (!best.has_value() || host.rank > best_rank) {
      best = address;
      best_rank = host.rank;
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
    if (!best.has_value() || host.rank > best_rank) {
      best = address;
      best_rank = host.rank;
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
  if (hosts_.empty() || known.empty()) {
    return known;
  }
  for (const auto& [address, host] : hosts_) {
    known.push_back(address);
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

std::vector<KnownHost> HostBook::AliveByRank(std::size_t most) const {
  using Ranked = std::pair<Rank, const HostAddress*>;
  std::vector<Ranked> alive;
  if (!leaving_) {
    alive.emplace_back(RankOf(self_.address, self_.power), &self_.address);
  }
  for (const auto& [address, host] : hosts_) {
    if (IsRecent(host.heard) && IsEligible(host)) {
      alive.emplace_back(host.rank, &address);
    }
  }
  const std::size_t kept = std::min(most, alive.size());
  std::partial_sort(
      alive.begin(), alive.begin() + static_cast<std::ptrdiff_t>(kept),
      alive.end(),
      [](const Ranked& a, const Ranked& b) { return a.first > b.first; });
  std::vector<KnownHost> best;
  for (std::size_t i = 0; i < kept; ++i) {
    best.push_back(
        KnownHost{*alive[i].second, HostPower{alive[i].first.first}});
  }
  return best;
}

std::vector<KnownHost> HostBook::HostsFor(const HostAddress& reader) const {
  std::vector<KnownHost> told = AliveByRank(kSuccessors + 1);
  const bool may_plan_next = std::any_of(
      told.begin(), told.end(),
      [&reader](const KnownHost& host) { return host.address == reader; });
  if (may_plan_next) {
    return AliveByRank(hosts_.size() + 1);
  }
  for (std::size_t i = 0; i < kNamedBeside && !hosts_.empty(); ++i) {
    const auto drawn = std::next(
        hosts_.begin(), static_cast<std::ptrdiff_t>(random_() % hosts_.size()));
    if (IsRecent(drawn->second.heard)) {
      told.push_back(KnownHost{drawn->first, drawn->second.power});
    }
  }
  return told;
}

void HostBook::SetPower(const HostAddress& address, HostPower power,
                        Host* host) {
  if (host->power != power || host->rank == Rank{}) {
    host->power = power;
    host->rank = RankOf(address, power);
  }
}

std::vector<HostAddress> HostBook::SourceReaders() const {
  const TimePoint now = clock_();
  std::vector<HostAddress> readers;
  for (const KnownHost& host : AliveByRank(kReadersTried)) {
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
  // All of it can be a tenth of a megabyte, which weak hosts send slowly.
  std::pair<std::uint64_t, double> most;
  for (const auto& [address, host] : hosts_) {
    const bool better = routing < host.routing ||
                        (host.source_well && known_up_to < host.known_up_to);
    const auto key = std::make_pair(host.known_up_to.value, host.power.value);
    if (!IsRecent(host.heard) || !better || key < most) {
      continue;
    }
    if (most < key) {
      best.clear();
      most = key;
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

void HostBook::NoteSize() { size_.OnCounted(CountedHosts()); }

int HostBook::AliveHosts() const {
  int most = CountedHosts();
  for (const auto& [address, host] : hosts_) {
    if (IsRecent(host.heard)) {
      most = std::max(most, host.alive_hosts);
    }
  }
  return most;
}

int HostBook::SharingHosts() const {
  return std::max(AliveHosts(), size_.Most().value_or(0));
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
  if (now - dropped_forgotten_ < kAliveFor) {
    return;
  }
  dropped_forgotten_ = now;
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const Host& host = it->second;
    const TimePoint last = std::max(host.heard, host.vouched);
    it = now - last > kForgetAfter ? hosts_.erase(it) : std::next(it);
  }
}

}  // namespace harecrank
