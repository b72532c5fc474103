#include "harecrank/core/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

namespace harecrank {
namespace {

HostAddress Address(int host) {
  return HostAddress{"10.0.0." + std::to_string(host) + ":1"};
}

// Host 0 is the strongest.
CpuShare CpuShareOf(int host) { return CpuShare{1.0 - 0.01 * host}; }

// Hosts that tell each other what the test says, without a network.
class FleetFixture {
 protected:
  explicit FleetFixture(int hosts = 6) {
    for (int i = 0; i < hosts; ++i) {
      AddHost(i);
    }
  }

  void AddHost(int host) {
    books_[host] = std::make_unique<Membership>(
        KnownHost{Address(host), CpuShareOf(host)},
        std::vector<HostAddress>{Address(0), Address(1)},
        [this] { return now_; }, [this] { return drawn_ += 7; });
  }

  Heartbeat WordOf(int host) {
    Heartbeat heartbeat;
    heartbeat.node = NodeId{std::to_string(host)};
    heartbeat.address = Address(host);
    heartbeat.cpu_share = CpuShareOf(host);
    heartbeat.planner = books_.at(host)->Planner().value_or(HostAddress{});
    heartbeat.leaving = books_.at(host)->IsLeaving();
    return heartbeat;
  }

  // `from` tells `to`, and hears back.
  void Talk(int from, int to) {
    books_.at(to)->OnHeartbeat(WordOf(from));
    Heartbeat reply = WordOf(to);
    reply.hosts = books_.at(to)->PartialViewFor(Address(from));
    books_.at(from)->OnHeartbeat(reply);
  }

  // Every living host tells the strangers that it would tell, and the planner.
  void TalkRound() {
    for (const auto& [host, book] : books_) {
      std::vector<HostAddress> targets = book->GossipTargets();
      if (const auto planner = book->Planner()) {
        targets.push_back(*planner);
      }
      for (const auto& [other, other_book] : books_) {
        const bool told = std::find(targets.begin(), targets.end(),
                                    Address(other)) != targets.end();
        if (told && other != host) {
          Talk(host, other);
        }
      }
    }
  }

  void TalkFor(Millis time) {
    constexpr Millis kRound{100};
    for (Millis passed{0}; passed < time; passed += kRound) {
      TalkRound();
      now_ += kRound;
    }
  }

  // Returns how many living hosts follow `planner`.
  int FollowersOf(int planner) {
    return static_cast<int>(
        std::count_if(books_.begin(), books_.end(), [&](const auto& item) {
          return item.second->Planner() == Address(planner);
        }));
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t drawn_ = 0;
  std::map<int, std::unique_ptr<Membership>> books_;
};

TEST_CASE_METHOD(FleetFixture,
                 "A host that has just started follows nobody before it has "
                 "had time to hear of a planner") {
  books_.at(0)->OnHeartbeat(WordOf(1));
  CHECK_FALSE(books_.at(0)->Planner().has_value());
  now_ += Membership::kStartupGrace;
  CHECK(books_.at(0)->Planner() == Address(0));
}

// All hosts lost cpu_share: those that are back first hear nobody yet.
TEST_CASE_METHOD(FleetFixture,
                 "A host that hears nobody waits for longer before it plans "
                 "for itself") {
  now_ += Membership::kStartupGrace;
  CHECK_FALSE(books_.at(3)->Planner().has_value());
  now_ += Membership::kIsolatedStartupGrace;
  CHECK(books_.at(3)->IsPlanner());
}

TEST_CASE_METHOD(FleetFixture,
                 "Hosts that start together agree on the strongest") {
  TalkFor(Membership::kStartupGrace + Millis(300));
  CHECK(FollowersOf(0) == 6);
  CHECK(books_.at(0)->IsPlanner());
  CHECK(books_.at(0)->ObservedHosts() == 6);
  CHECK(books_.at(5)->AliveHosts() >= 5);
}

TEST_CASE_METHOD(FleetFixture,
                 "When the planner dies the others agree on the next, and a "
                 "silent one is not asked again at once") {
  TalkFor(Membership::kStartupGrace + Millis(300));
  books_.erase(0);
  for (const auto& [host, book] : books_) {
    book->OnUnresponsive(Address(0));
  }
  TalkFor(Millis(300));
  CHECK(FollowersOf(1) == 5);
}

TEST_CASE_METHOD(FleetFixture, "A planner that stops hands over") {
  TalkFor(Membership::kStartupGrace + Millis(300));
  books_.at(0)->Leave();
  for (int host = 1; host < 6; ++host) {
    books_.at(host)->OnHeartbeat(WordOf(0));
  }
  TalkFor(Millis(300));
  CHECK(FollowersOf(1) == 6);
}

TEST_CASE_METHOD(FleetFixture,
                 "A strong host that joins does not displace the planner") {
  books_.erase(0);
  TalkFor(Membership::kStartupGrace + Millis(300));
  REQUIRE(FollowersOf(1) == 5);
  AddHost(0);
  TalkFor(Millis(1000));
  CHECK(FollowersOf(1) == 6);
}

// A part of a fleet that was cut off chose its own planner.
TEST_CASE_METHOD(FleetFixture,
                 "Two planners that hear of each other become one") {
  for (int host = 0; host < 6; ++host) {
    for (int other = 0; other < 6; ++other) {
      if (host != other && host % 2 == other % 2) {
        books_.at(host)->OnHeartbeat(WordOf(other));
      }
    }
  }
  now_ += Membership::kStartupGrace;
  REQUIRE(FollowersOf(0) == 3);
  REQUIRE(FollowersOf(1) == 3);
  Talk(1, 0);
  TalkFor(Millis(500));
  CHECK(FollowersOf(0) == 6);
}

// Killed, it is back before the others miss it, and knows nothing.
TEST_CASE_METHOD(FleetFixture,
                 "A planner that was started again plans on as soon as one "
                 "that follows it tells it so") {
  TalkFor(Membership::kStartupGrace + Millis(300));
  const Heartbeat heartbeat = WordOf(3);
  AddHost(0);
  CHECK_FALSE(books_.at(0)->Planner().has_value());
  books_.at(0)->OnHeartbeat(heartbeat);
  CHECK(books_.at(0)->IsPlanner());
  TalkFor(Millis(300));
  CHECK(FollowersOf(0) == 6);
}

// Every host knows some of the others by heartbeat of third hosts alone. If
// what a host knows of another decided, and not its rank, each would follow
// another.
TEST_CASE_METHOD(FleetFixture,
                 "One host of a large fleet plans, however they come to know "
                 "each other") {
  for (int host = 6; host < 60; ++host) {
    AddHost(host);
  }
  TalkFor(Membership::kStartupGrace + Millis(1000));
  CHECK(FollowersOf(0) == 60);
  CHECK(books_.at(0)->IsPlanner());
}

TEST_CASE_METHOD(FleetFixture,
                 "Hosts that say nothing are not alive for long") {
  TalkFor(Membership::kStartupGrace + Millis(300));
  now_ += Membership::kHeartbeatTimeout + Millis(1);
  CHECK(books_.at(0)->ObservedHosts() == 1);
  CHECK(books_.at(3)->IsPlanner());
}

TEST_CASE_METHOD(FleetFixture,
                 "Those that may plan next are told of all hosts, others of a "
                 "bounded number") {
  for (int host = 6; host < 40; ++host) {
    AddHost(host);
  }
  for (int host = 1; host < 40; ++host) {
    books_.at(0)->OnHeartbeat(WordOf(host));
  }
  CHECK(books_.at(0)->PartialViewFor(Address(1)).size() == 40);
  const std::vector<KnownHost> told = books_.at(0)->PartialViewFor(Address(30));
  CHECK(told.size() ==
        Membership::kSuccessors + 1 + Membership::kRandomMembersPerHeartbeat);
  for (int host = 0; host <= static_cast<int>(Membership::kSuccessors);
       ++host) {
    CHECK(told.at(static_cast<std::size_t>(host)).address == Address(host));
  }
}

TEST_CASE_METHOD(FleetFixture,
                 "A host that is sent on follows the one that it was sent to, "
                 "as soon as that says that it plans") {
  books_.erase(0);
  TalkFor(Membership::kStartupGrace + Millis(300));
  AddHost(6);
  Heartbeat stale = WordOf(2);
  stale.planner = Address(2);
  books_.at(6)->OnHeartbeat(stale);
  REQUIRE(books_.at(6)->Planner() == Address(2));
  books_.at(6)->OnRedirect(Address(2), Address(1));
  books_.at(6)->OnHeartbeat(WordOf(1));
  CHECK(books_.at(6)->Planner() == Address(1));
}

TEST_CASE_METHOD(FleetFixture,
                 "Only a living host that knows more is asked for it") {
  Membership& book = *books_.at(5);
  Heartbeat heartbeat = WordOf(1);
  heartbeat.routing = RoutingVersion{3};
  heartbeat.known_up_to = StoreRevision{40};
  heartbeat.store_data_fresh = true;
  book.OnHeartbeat(heartbeat);
  CHECK(book.FindMoreUpToDate(RoutingVersion{2}, StoreRevision{50}) ==
        Address(1));
  CHECK(book.FindMoreUpToDate(RoutingVersion{3}, StoreRevision{39}) ==
        Address(1));
  CHECK_FALSE(book.FindMoreUpToDate(RoutingVersion{3}, StoreRevision{40}));
  now_ += Membership::kHeartbeatTimeout + Millis(1);
  CHECK_FALSE(book.FindMoreUpToDate(RoutingVersion{2}, StoreRevision{0}));
}

// Otherwise it is replaced by one that meets the same, and for a while nobody
// reads beside the planner.
TEST_CASE_METHOD(FleetFixture,
                 "A host that has begun to read is not passed over before it "
                 "can have been answered") {
  Membership& book = *books_.at(0);
  for (int host = 1; host <= 4; ++host) {
    book.OnHeartbeat(WordOf(host));
  }
  const std::vector<HostAddress> chosen = book.StorePollers();
  REQUIRE(chosen.size() == Membership::kPollersBesidePlanner);
  for (int host = 1; host <= 4; ++host) {
    Heartbeat heartbeat = WordOf(host);
    heartbeat.poll_state = PollState::kStarted;
    book.OnHeartbeat(heartbeat);
  }
  CHECK(book.StorePollers() == chosen);
}

TEST_CASE_METHOD(FleetFixture,
                 "A host whose reading failed is passed over for a while") {
  Membership& book = *books_.at(0);
  for (int host = 1; host <= 4; ++host) {
    book.OnHeartbeat(WordOf(host));
  }
  const HostAddress first = book.StorePollers().front();
  Heartbeat failed;
  for (int host = 1; host <= 4; ++host) {
    failed = WordOf(host);
    if (failed.address == first) {
      break;
    }
  }
  failed.poll_state = PollState::kFailed;
  book.OnHeartbeat(failed);
  for (const HostAddress& reader : book.StorePollers()) {
    CHECK(reader != first);
  }
  now_ += Membership::kFailedPollerCooldown + Millis(1);
  failed.poll_state = PollState::kNone;
  for (int host = 1; host <= 4; ++host) {
    book.OnHeartbeat(WordOf(host));
  }
  book.OnHeartbeat(failed);
  CHECK(book.StorePollers().front() == first);
}

TEST_CASE_METHOD(FleetFixture,
                 "A host that starts in a part of a fleet that is cut is told "
                 "how large the whole was") {
  TalkFor(Millis(3000));
  books_.at(0)->RecordFleetSize();
  now_ += std::chrono::minutes(5);
  books_.at(0)->RecordFleetSize();
  CHECK(books_.at(0)->ObservedHosts() == 1);
  Heartbeat heartbeat = WordOf(0);
  heartbeat.peak_hosts = books_.at(0)->Size().PeakObserved();
  AddHost(9);
  books_.at(9)->OnHeartbeat(heartbeat);
  CHECK_FALSE(books_.at(9)->Size().MaxHosts().has_value());
  now_ += FleetSize::kStartupGrace;
  CHECK(books_.at(9)->Size().MaxHosts() == 6);
}

TEST_CASE_METHOD(FleetFixture,
                 "A fleet that is cut in two divides a bound as before") {
  const auto talk = [this](int first, int last) {
    // Longer than words that hosts pass on keep others alive.
    constexpr int kRounds = 100;
    for (int round = 0; round < kRounds; ++round) {
      now_ += Millis(100);
      for (int from = first; from <= last; ++from) {
        for (int to = first; to <= last; ++to) {
          if (from != to) {
            Talk(from, to);
          }
        }
        books_.at(from)->RecordFleetSize();
      }
    }
  };
  talk(0, 5);
  CHECK(books_.at(0)->HostsSharingLimits() == 6);
  talk(0, 2);
  CHECK(books_.at(0)->AliveHosts() == 3);
  CHECK(books_.at(0)->HostsSharingLimits() == 6);
}

}  // namespace
}  // namespace harecrank
