// The orders that a Membership keeps up to date against a plain scan of all
// that it was told.

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

// All that was told, looked through for each question.
class PlainScan {
 public:
  explicit PlainScan(KnownHost self) : self_(std::move(self)) {}

  struct Host {
    Heartbeat heartbeat;
    std::optional<TimePoint> heard;
    std::optional<TimePoint> vouched;
    std::optional<TimePoint> unanswered;
    TimePoint suspect_until{};
  };

  void OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
    Host& host = hosts[heartbeat.address];
    host.heartbeat = heartbeat;
    host.heard = now;
    host.suspect_until = TimePoint{};
    if (heartbeat.poll_state == PollState::kFailed) {
      host.unanswered = now;
    }
    for (const KnownHost& known : heartbeat.hosts) {
      if (known.address != self_.address) {
        Host& other = hosts[known.address];
        other.heartbeat.address = known.address;
        other.heartbeat.cpu_share = known.cpu_share;
        other.vouched = now;
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
    return IsRecent(host.heard, now) || IsRecent(host.vouched, now);
  }
  static bool IsEligible(const Host& host, TimePoint now) {
    return !host.heartbeat.leaving && now >= host.suspect_until;
  }

  static HostRank RankOf(const HostAddress& address, CpuShare cpu_share) {
    return {cpu_share.value, RendezvousWeight("planner", address.value)};
  }

  // Returns the best of the hosts that `may` be chosen, and this one.
  template <typename May>
  HostAddress Best(const May& may) const {
    HostAddress best = self_.address;
    HostRank rank = RankOf(self_.address, self_.cpu_share);
    for (const auto& [address, host] : hosts) {
      if (may(host) && RankOf(address, host.heartbeat.cpu_share) > rank) {
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
      if (IsRecent(host.heard, now)) {
        most = std::max(most, host.heartbeat.alive_hosts);
      }
    }
    return most;
  }

  // Returns the hosts any of which may be asked for what it knows.
  std::set<HostAddress> FindMoreUpToDate(RoutingVersion routing,
                                         StoreRevision known,
                                         TimePoint now) const {
    std::set<HostAddress> best = Most(now, [&](const Host& host) {
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
    return Most(now, [&](const Host& host) {
      return std::make_tuple(
          routing < host.heartbeat.routing, host.heartbeat.routing.value,
          host.heartbeat.known_up_to.value, host.heartbeat.cpu_share.value);
    });
  }

  std::map<HostAddress, Host> hosts;

 private:
  // Returns those of the greatest key, if its first element is true.
  template <typename Key>
  std::set<HostAddress> Most(TimePoint now, const Key& key) const {
    std::set<HostAddress> best;
    decltype(key(Host{})) most{};
    for (const auto& [address, host] : hosts) {
      if (!IsRecent(host.heard, now) || !std::get<0>(key(host))) {
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

class PropertyFixture {
 protected:
  static HostAddress Address(std::uint64_t host) {
    return HostAddress{"10.0.0." + std::to_string(host) + ":1"};
  }

  Heartbeat RandomWord() {
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

  void Play() {
    switch (random_() % 4) {
      case 0:
        now_ += Millis(static_cast<std::int64_t>(random_() % 900));
        break;
      case 1: {
        const HostAddress host = Address(1 + random_() % kHosts);
        book_.OnUnresponsive(host);
        plain_.OnUnresponsive(host, now_);
        break;
      }
      default: {
        const Heartbeat heartbeat = RandomWord();
        book_.OnHeartbeat(heartbeat);
        plain_.OnHeartbeat(heartbeat, now_);
      }
    }
  }

  void Check() {
    const std::set<HostAddress> alive = plain_.Alive(now_);
    const std::vector<HostAddress> others = book_.OtherAliveHosts();
    CHECK(std::set<HostAddress>(others.begin(), others.end()) == alive);
    CHECK(others.size() == alive.size());
    CHECK(book_.ObservedHosts() == 1 + static_cast<int>(alive.size()));
    CHECK(book_.AliveHosts() == plain_.AliveHosts(now_));
    CheckPlanner();
    CheckBetterInformed();
    CheckReaders();
  }

  void CheckPlanner() {
    const auto claims = [this](const PlainScan::Host& host) {
      return host.heartbeat.planner == host.heartbeat.address &&
             PlainScan::IsRecent(host.heard, now_) &&
             PlainScan::IsEligible(host, now_);
    };
    const bool any =
        std::any_of(plain_.hosts.begin(), plain_.hosts.end(),
                    [&](const auto& entry) { return claims(entry.second); });
    if (!claims_ && any) {
      // Without itself, which is the weakest here.
      CHECK(book_.Planner() == plain_.Best(claims));
      return;
    }
    const HostAddress candidate =
        any ? plain_.Best(claims)
            : plain_.Best([this](const PlainScan::Host& host) {
                return PlainScan::IsAlive(host, now_) &&
                       PlainScan::IsEligible(host, now_);
              });
    if (!claims_) {
      CHECK(book_.Planner() == candidate);
    }
    claims_ = book_.Planner() == kSelf.address;
  }

  void CheckBetterInformed() {
    const RoutingVersion routing{random_() % 4};
    const StoreRevision known{random_() % 5};
    const auto asked = book_.FindMoreUpToDate(routing, known);
    const std::set<HostAddress> best =
        plain_.FindMoreUpToDate(routing, known, now_);
    CHECK(asked.has_value() == !best.empty());
    if (asked.has_value()) {
      CHECK(best.count(*asked) == 1);
    }
  }

  void CheckReaders() {
    for (const HostAddress& reader : book_.StorePollers()) {
      const PlainScan::Host& host = plain_.hosts.at(reader);
      CHECK(PlainScan::IsRecent(host.heard, now_));
      CHECK(PlainScan::IsEligible(host, now_));
      const bool passed_over =
          host.unanswered.has_value() &&
          now_ - *host.unanswered <= Membership::kFailedPollerCooldown;
      CHECK(
          (host.heartbeat.poll_state == PollState::kAnswered || !passed_over));
    }
  }

  static constexpr std::uint64_t kHosts = 40;
  const KnownHost kSelf{Address(0), CpuShare{0.01}};

  std::mt19937_64 random_{GENERATE(1U, 2U, 3U, 4U, 5U)};
  TimePoint now_{std::chrono::hours(1)};
  Membership book_{kSelf,
                   {Address(1)},
                   [this] { return now_; },
                   [this] { return random_(); }};
  PlainScan plain_{kSelf};
  bool claims_ = false;
};

TEST_CASE_METHOD(PropertyFixture,
                 "A host book answers as a scan of all hosts would") {
  now_ += Membership::kIsolatedStartupGrace;
  constexpr int kSteps = 3000;
  for (int step = 0; step < kSteps; ++step) {
    Play();
    Check();
  }
}

// Words of a large fleet fit into datagrams, and all hosts are named in turn.
TEST_CASE("A host that may plan next is told of a large fleet in parts") {
  constexpr int kHosts = 3000;
  TimePoint now{std::chrono::hours(1)};
  std::mt19937_64 random(7);
  Membership book(
      KnownHost{HostAddress{"10.0.0.1:1"}, CpuShare{2}},
      {HostAddress{"10.0.0.1:1"}}, [&now] { return now; },
      [&random] { return random(); });
  HostAddress next;
  for (int host = 0; host < kHosts; ++host) {
    Heartbeat heartbeat;
    heartbeat.address = HostAddress{"10.1." + std::to_string(host) + ":1"};
    heartbeat.cpu_share = CpuShare{host == 0 ? 1.0 : 0.09};
    book.OnHeartbeat(heartbeat);
    next = host == 0 ? heartbeat.address : next;
  }
  std::set<HostAddress> named;
  for (Millis passed{0}; passed < Membership::kHeartbeatTimeout;
       passed += Millis(300)) {
    Heartbeat heartbeat;
    heartbeat.hosts = book.PartialViewFor(next);
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
