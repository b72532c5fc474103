// Compares the indexes of Membership with a linear scan of everything that was
// received.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

#include "harecrank/core/membership.h"
#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

// Keeps everything that was received and scans it for each question.
class LinearScanModel {
 public:
  explicit LinearScanModel(KnownHost self) : self_(std::move(self)) {}

  struct Host {
    Heartbeat heartbeat;
    std::optional<TimePoint> last_heard_at;
    std::optional<TimePoint> last_reported_at;
    std::optional<TimePoint> poll_failed_at;
    TimePoint suspect_until{};
  };

  void OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
    Host& host = hosts[heartbeat.address];
    host.heartbeat = heartbeat;
    host.last_heard_at = now;
    host.suspect_until = TimePoint{};
    if (heartbeat.poll_state == PollState::kFailed) {
      host.poll_failed_at = now;
    }
    for (const KnownHost& known : heartbeat.hosts) {
      if (known.address != self_.address) {
        Host& other = hosts[known.address];
        other.heartbeat.address = known.address;
        other.heartbeat.cpu_share = known.cpu_share;
        other.last_reported_at = now;
      }
    }
  }

  void OnUnresponsive(const HostAddress& host, TimePoint now) {
    if (hosts.count(host) > 0) {
      hosts[host].suspect_until = now + Membership::kSuspectFor;
    }
  }

  static bool IsRecent(const std::optional<TimePoint>& time, TimePoint now) {
    return time.has_value() && now - *time <= Membership::kHeartbeatTimeout;
  }
  static bool IsAlive(const Host& host, TimePoint now) {
    return IsRecent(host.last_heard_at, now) ||
           IsRecent(host.last_reported_at, now);
  }
  static bool IsEligible(const Host& host, TimePoint now) {
    return !host.heartbeat.leaving && now >= host.suspect_until;
  }

  static HostRank RankOf(const HostAddress& address, CpuShare cpu_share) {
    return {cpu_share.value, RendezvousWeight("planner", address.value)};
  }

  // Returns the host of highest rank among this host and those that satisfy
  // `is_allowed`.
  template <typename Predicate>
  HostAddress Best(const Predicate& is_allowed) const {
    HostAddress best = self_.address;
    HostRank rank = RankOf(self_.address, self_.cpu_share);
    for (const auto& [address, host] : hosts) {
      if (is_allowed(host) &&
          RankOf(address, host.heartbeat.cpu_share) > rank) {
        best = address;
        rank = RankOf(address, host.heartbeat.cpu_share);
      }
    }
    return best;
  }

  std::set<HostAddress> Alive(TimePoint now) const {
    std::set<HostAddress> alive;
    for (const auto& [address, host] : hosts) {
      if (IsAlive(host, now)) {
        alive.insert(address);
      }
    }
    return alive;
  }

  int AliveHosts(TimePoint now) const {
    int most = 1 + static_cast<int>(Alive(now).size());
    for (const auto& [address, host] : hosts) {
      if (IsRecent(host.last_heard_at, now)) {
        most = std::max(most, host.heartbeat.alive_hosts);
      }
    }
    return most;
  }

  // Returns the hosts any of which FindMoreUpToDate may return.
  std::set<HostAddress> FindMoreUpToDate(RoutingVersion routing,
                                         StoreRevision known,
                                         TimePoint now) const {
    std::set<HostAddress> best = GreatestBy(now, [&](const Host& host) {
      return host.heartbeat.store_data_fresh &&
                     known < host.heartbeat.known_up_to
                 ? std::make_tuple(true, std::uint64_t{0},
                                   host.heartbeat.known_up_to.value,
                                   host.heartbeat.cpu_share.value)
                 : std::make_tuple(false, std::uint64_t{0}, std::uint64_t{0},
                                   0.0);
    });
    if (!best.empty()) {
      return best;
    }
    return GreatestBy(now, [&](const Host& host) {
      return std::make_tuple(
          routing < host.heartbeat.routing, host.heartbeat.routing.value,
          host.heartbeat.known_up_to.value, host.heartbeat.cpu_share.value);
    });
  }

  std::map<HostAddress, Host> hosts;

 private:
  // Returns the hosts with the greatest key among those recently heard whose
  // key has a true first element.
  template <typename Key>
  std::set<HostAddress> GreatestBy(TimePoint now, const Key& key) const {
    std::set<HostAddress> best;
    decltype(key(Host{})) most{};
    for (const auto& [address, host] : hosts) {
      if (!IsRecent(host.last_heard_at, now) || !std::get<0>(key(host))) {
        continue;
      }
      if (most < key(host)) {
        best.clear();
        most = key(host);
      }
      if (!(key(host) < most)) {
        best.insert(address);
      }
    }
    return best;
  }

  KnownHost self_;
};

class MembershipPropertyFixture {
 protected:
  static HostAddress Address(std::uint64_t host) {
    return HostAddress{"10.0.0." + std::to_string(host) + ":1"};
  }

  Heartbeat RandomHeartbeat() {
    Heartbeat heartbeat;
    const std::uint64_t host = 1 + random_() % kHosts;
    heartbeat.address = Address(host);
    heartbeat.cpu_share = CpuShare{host % 3 == 0 ? 1.0 : 0.09};
    heartbeat.routing = RoutingVersion{random_() % 4};
    heartbeat.known_up_to = StoreRevision{random_() % 5};
    heartbeat.store_data_fresh = random_() % 3 != 0;
    heartbeat.poll_state = static_cast<PollState>(random_() % 4);
    heartbeat.planner = Address(random_() % 8 == 0 ? host : random_() % kHosts);
    heartbeat.leaving = random_() % 20 == 0;
    heartbeat.alive_hosts = static_cast<int>(random_() % 30);
    for (std::uint64_t i = random_() % 4; i > 0; --i) {
      const std::uint64_t other = random_() % kHosts;
      heartbeat.hosts.push_back(
          KnownHost{Address(other), CpuShare{other % 3 == 0 ? 1.0 : 0.09}});
    }
    return heartbeat;
  }

  void ApplyRandomEvent() {
    switch (random_() % 4) {
      case 0:
        now_ += Millis(static_cast<std::int64_t>(random_() % 900));
        break;
      case 1: {
        const HostAddress host = Address(1 + random_() % kHosts);
        membership_.OnUnresponsive(host);
        model_.OnUnresponsive(host, now_);
        break;
      }
      default: {
        const Heartbeat heartbeat = RandomHeartbeat();
        membership_.OnHeartbeat(heartbeat);
        model_.OnHeartbeat(heartbeat, now_);
      }
    }
  }

  void CheckAgainstModel() {
    const std::set<HostAddress> alive = model_.Alive(now_);
    const std::vector<HostAddress> others = membership_.OtherAliveHosts();
    CHECK(std::set<HostAddress>(others.begin(), others.end()) == alive);
    CHECK(others.size() == alive.size());
    CHECK(membership_.ObservedHosts() == 1 + static_cast<int>(alive.size()));
    CHECK(membership_.AliveHosts() == model_.AliveHosts(now_));
    CheckPlanner();
    CheckBetterInformed();
    CheckReaders();
  }

  void CheckPlanner() {
    const auto claims = [this](const LinearScanModel::Host& host) {
      return host.heartbeat.planner == host.heartbeat.address &&
             LinearScanModel::IsRecent(host.last_heard_at, now_) &&
             LinearScanModel::IsEligible(host, now_);
    };
    const bool has_claimant =
        std::any_of(model_.hosts.begin(), model_.hosts.end(),
                    [&](const auto& entry) { return claims(entry.second); });
    if (!claims_planner_ && has_claimant) {
      // This host does not declare itself; it has the lowest rank here.
      CHECK(membership_.Planner() == model_.Best(claims));
      return;
    }
    const HostAddress candidate =
        has_claimant ? model_.Best(claims)
                     : model_.Best([this](const LinearScanModel::Host& host) {
                         return LinearScanModel::IsAlive(host, now_) &&
                                LinearScanModel::IsEligible(host, now_);
                       });
    if (!claims_planner_) {
      CHECK(membership_.Planner() == candidate);
    }
    claims_planner_ = membership_.Planner() == kSelf.address;
  }

  void CheckBetterInformed() {
    const RoutingVersion routing{random_() % 4};
    const StoreRevision known{random_() % 5};
    const auto found = membership_.FindMoreUpToDate(routing, known);
    const std::set<HostAddress> best =
        model_.FindMoreUpToDate(routing, known, now_);
    CHECK(found.has_value() == !best.empty());
    if (found.has_value()) {
      CHECK(best.count(*found) == 1);
    }
  }

  void CheckReaders() {
    for (const HostAddress& poller : membership_.StorePollers()) {
      const LinearScanModel::Host& host = model_.hosts.at(poller);
      CHECK(LinearScanModel::IsRecent(host.last_heard_at, now_));
      CHECK(LinearScanModel::IsEligible(host, now_));
      const bool in_cooldown =
          host.poll_failed_at.has_value() &&
          now_ - *host.poll_failed_at <= Membership::kFailedPollerCooldown;
      CHECK(
          (host.heartbeat.poll_state == PollState::kAnswered || !in_cooldown));
    }
  }

  static constexpr std::uint64_t kHosts = 40;
  const KnownHost kSelf{Address(0), CpuShare{0.01}};

  std::mt19937_64 random_{GENERATE(1U, 2U, 3U, 4U, 5U)};
  TimePoint now_{std::chrono::hours(1)};
  Membership membership_{kSelf,
                         {Address(1)},
                         [this] { return now_; },
                         [this] { return random_(); }};
  LinearScanModel model_{kSelf};
  bool claims_planner_ = false;
};

TEST_CASE_METHOD(
    MembershipPropertyFixture,
    "Membership agrees with a linear scan after any sequence of events") {
  now_ += Membership::kIsolatedStartupGrace;
  constexpr int kSteps = 3000;
  for (int step = 0; step < kSteps; ++step) {
    ApplyRandomEvent();
    CheckAgainstModel();
  }
}

// Heartbeats of a large fleet fit into datagrams, and successive heartbeats
// name all hosts.
TEST_CASE(
    "A possible next planner is sent the members of a large fleet in parts") {
  constexpr int kHosts = 3000;
  TimePoint now{std::chrono::hours(1)};
  std::mt19937_64 random(7);
  Membership membership(
      KnownHost{HostAddress{"10.0.0.1:1"}, CpuShare{2}},
      {HostAddress{"10.0.0.1:1"}}, [&now] { return now; },
      [&random] { return random(); });
  HostAddress next;
  for (int host = 0; host < kHosts; ++host) {
    Heartbeat heartbeat;
    heartbeat.address = HostAddress{"10.1." + std::to_string(host) + ":1"};
    heartbeat.cpu_share = CpuShare{host == 0 ? 1.0 : 0.09};
    membership.OnHeartbeat(heartbeat);
    next = host == 0 ? heartbeat.address : next;
  }
  std::set<HostAddress> named;
  for (Millis passed{0}; passed < Membership::kHeartbeatTimeout;
       passed += Millis(300)) {
    Heartbeat heartbeat;
    heartbeat.hosts = membership.PartialViewFor(next);
    constexpr std::size_t kMostBytes = 16384;
    CHECK(EncodeFleetMessage(heartbeat).size() <= kMostBytes);
    for (const KnownHost& known : heartbeat.hosts) {
      named.insert(known.address);
    }
  }
  CHECK(named.size() == kHosts + 1);
}

}  // namespace
}  // namespace harecrank
