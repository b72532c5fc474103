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

// Host 0 has the greatest CPU share.
CpuShare CpuShareOf(int host) { return CpuShare{1.0 - 0.01 * host}; }

// Hosts that exchange heartbeats as directed by the test, without a network.
class FleetFixture {
 protected:
  explicit FleetFixture(int hosts = 6) {
    for (int i = 0; i < hosts; ++i) {
      AddHost(i);
    }
  }

  void AddHost(int host) {
    memberships_[host] = std::make_unique<Membership>(
        KnownHost{Address(host), CpuShareOf(host)},
        std::vector<HostAddress>{Address(0), Address(1)},
        [this] { return now_; }, [this] { return random_state_ += 7; });
  }

  Heartbeat HeartbeatOf(int host) {
    Heartbeat heartbeat;
    heartbeat.node = NodeId{std::to_string(host)};
    heartbeat.address = Address(host);
    heartbeat.cpu_share = CpuShareOf(host);
    heartbeat.planner =
        memberships_.at(host)->Planner().value_or(HostAddress{});
    heartbeat.leaving = memberships_.at(host)->IsLeaving();
    return heartbeat;
  }

  // `from` sends a heartbeat to `to` and receives a reply.
  void ExchangeHeartbeats(int from, int to) {
    memberships_.at(to)->OnHeartbeat(HeartbeatOf(from));
    Heartbeat reply = HeartbeatOf(to);
    reply.hosts = memberships_.at(to)->PartialViewFor(Address(from));
    memberships_.at(from)->OnHeartbeat(reply);
  }

  // Every host sends a heartbeat to its gossip targets and to its planner.
  void RunGossipRound() {
    for (const auto& [host, membership] : memberships_) {
      std::vector<HostAddress> recipients = membership->GossipTargets();
      if (const auto planner = membership->Planner()) {
        recipients.push_back(*planner);
      }
      for (const auto& [other, other_membership] : memberships_) {
        const bool is_recipient =
            std::find(recipients.begin(), recipients.end(), Address(other)) !=
            recipients.end();
        if (is_recipient && other != host) {
          ExchangeHeartbeats(host, other);
        }
      }
    }
  }

  void RunGossipFor(Millis time) {
    constexpr Millis kRound{100};
    for (Millis passed{0}; passed < time; passed += kRound) {
      RunGossipRound();
      now_ += kRound;
    }
  }

  // Returns the number of hosts that take `planner` for the planner.
  int FollowersOf(int planner) {
    return static_cast<int>(std::count_if(
        memberships_.begin(), memberships_.end(), [&](const auto& item) {
          return item.second->Planner() == Address(planner);
        }));
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t random_state_ = 0;
  std::map<int, std::unique_ptr<Membership>> memberships_;
};

TEST_CASE_METHOD(FleetFixture,
                 "A host has no planner during the start-up grace period") {
  memberships_.at(0)->OnHeartbeat(HeartbeatOf(1));
  CHECK_FALSE(memberships_.at(0)->Planner().has_value());
  now_ += Membership::kStartupGrace;
  CHECK(memberships_.at(0)->Planner() == Address(0));
}

// All hosts were restarted at once, and the first ones hear no other host yet.
TEST_CASE_METHOD(
    FleetFixture,
    "An isolated host waits longer before it becomes its own planner") {
  now_ += Membership::kStartupGrace;
  CHECK_FALSE(memberships_.at(3)->Planner().has_value());
  now_ += Membership::kIsolatedStartupGrace;
  CHECK(memberships_.at(3)->IsPlanner());
}

TEST_CASE_METHOD(
    FleetFixture,
    "Hosts that start together agree on the one with the greatest CPU share") {
  RunGossipFor(Membership::kStartupGrace + Millis(300));
  CHECK(FollowersOf(0) == 6);
  CHECK(memberships_.at(0)->IsPlanner());
  CHECK(memberships_.at(0)->ObservedHosts() == 6);
  CHECK(memberships_.at(5)->AliveHosts() >= 5);
}

TEST_CASE_METHOD(FleetFixture,
                 "When the planner fails, the others agree on the next one and "
                 "do not return to the failed one at once") {
  RunGossipFor(Membership::kStartupGrace + Millis(300));
  memberships_.erase(0);
  for (const auto& [host, membership] : memberships_) {
    membership->OnUnresponsive(Address(0));
  }
  RunGossipFor(Millis(300));
  CHECK(FollowersOf(1) == 5);
}

TEST_CASE_METHOD(FleetFixture, "A planner that leaves is replaced") {
  RunGossipFor(Membership::kStartupGrace + Millis(300));
  memberships_.at(0)->Leave();
  for (int host = 1; host < 6; ++host) {
    memberships_.at(host)->OnHeartbeat(HeartbeatOf(0));
  }
  RunGossipFor(Millis(300));
  CHECK(FollowersOf(1) == 6);
}

TEST_CASE_METHOD(
    FleetFixture,
    "A host of higher rank that joins does not replace the planner") {
  memberships_.erase(0);
  RunGossipFor(Membership::kStartupGrace + Millis(300));
  REQUIRE(FollowersOf(1) == 5);
  AddHost(0);
  RunGossipFor(Millis(1000));
  CHECK(FollowersOf(1) == 6);
}

// During a network partition, the other part of the fleet has chosen its own
// planner.
TEST_CASE_METHOD(FleetFixture,
                 "Two planners that hear of each other agree on one") {
  for (int host = 0; host < 6; ++host) {
    for (int other = 0; other < 6; ++other) {
      if (host != other && host % 2 == other % 2) {
        memberships_.at(host)->OnHeartbeat(HeartbeatOf(other));
      }
    }
  }
  now_ += Membership::kStartupGrace;
  REQUIRE(FollowersOf(0) == 3);
  REQUIRE(FollowersOf(1) == 3);
  ExchangeHeartbeats(1, 0);
  RunGossipFor(Millis(500));
  CHECK(FollowersOf(0) == 6);
}

// The planner was killed and restarted before the others missed its heartbeats,
// and has no state.
TEST_CASE_METHOD(FleetFixture,
                 "A restarted planner resumes as soon as a heartbeat names it "
                 "as the planner") {
  RunGossipFor(Membership::kStartupGrace + Millis(300));
  const Heartbeat heartbeat = HeartbeatOf(3);
  AddHost(0);
  CHECK_FALSE(memberships_.at(0)->Planner().has_value());
  memberships_.at(0)->OnHeartbeat(heartbeat);
  CHECK(memberships_.at(0)->IsPlanner());
  RunGossipFor(Millis(300));
  CHECK(FollowersOf(0) == 6);
}

// Every host knows some of the others only because a third host has named them.
// If the choice depended on how a host is known rather than on its rank alone,
// hosts would follow different planners.
TEST_CASE_METHOD(FleetFixture,
                 "A large fleet agrees on one planner when hosts know each "
                 "other indirectly") {
  for (int host = 6; host < 60; ++host) {
    AddHost(host);
  }
  RunGossipFor(Membership::kStartupGrace + Millis(1000));
  CHECK(FollowersOf(0) == 60);
  CHECK(memberships_.at(0)->IsPlanner());
}

TEST_CASE_METHOD(
    FleetFixture,
    "Hosts that send no heartbeats are not alive after the time-out") {
  RunGossipFor(Membership::kStartupGrace + Millis(300));
  now_ += Membership::kHeartbeatTimeout + Millis(1);
  CHECK(memberships_.at(0)->ObservedHosts() == 1);
  CHECK(memberships_.at(3)->IsPlanner());
}

TEST_CASE_METHOD(FleetFixture,
                 "Possible next planners are sent all members, other hosts a "
                 "bounded number") {
  for (int host = 6; host < 40; ++host) {
    AddHost(host);
  }
  for (int host = 1; host < 40; ++host) {
    memberships_.at(0)->OnHeartbeat(HeartbeatOf(host));
  }
  CHECK(memberships_.at(0)->PartialViewFor(Address(1)).size() == 40);
  const std::vector<KnownHost> view =
      memberships_.at(0)->PartialViewFor(Address(30));
  CHECK(view.size() ==
        Membership::kSuccessors + 1 + Membership::kRandomMembersPerHeartbeat);
  for (int host = 0; host <= static_cast<int>(Membership::kSuccessors);
       ++host) {
    CHECK(view.at(static_cast<std::size_t>(host)).address == Address(host));
  }
}

TEST_CASE_METHOD(FleetFixture,
                 "A redirected host follows the named host as soon as it "
                 "declares itself the planner") {
  memberships_.erase(0);
  RunGossipFor(Membership::kStartupGrace + Millis(300));
  AddHost(6);
  Heartbeat stale = HeartbeatOf(2);
  stale.planner = Address(2);
  memberships_.at(6)->OnHeartbeat(stale);
  REQUIRE(memberships_.at(6)->Planner() == Address(2));
  memberships_.at(6)->OnRedirect(Address(2), Address(1));
  memberships_.at(6)->OnHeartbeat(HeartbeatOf(1));
  CHECK(memberships_.at(6)->Planner() == Address(1));
}

TEST_CASE_METHOD(FleetFixture,
                 "Only an alive host that is more up to date is returned") {
  Membership& membership = *memberships_.at(5);
  Heartbeat heartbeat = HeartbeatOf(1);
  heartbeat.routing = RoutingVersion{3};
  heartbeat.known_up_to = StoreRevision{40};
  heartbeat.store_data_fresh = true;
  membership.OnHeartbeat(heartbeat);
  CHECK(membership.FindMoreUpToDate(RoutingVersion{2}, StoreRevision{50}) ==
        Address(1));
  CHECK(membership.FindMoreUpToDate(RoutingVersion{3}, StoreRevision{39}) ==
        Address(1));
  CHECK_FALSE(
      membership.FindMoreUpToDate(RoutingVersion{3}, StoreRevision{40}));
  now_ += Membership::kHeartbeatTimeout + Millis(1);
  CHECK_FALSE(membership.FindMoreUpToDate(RoutingVersion{2}, StoreRevision{0}));
}

// Otherwise it would be replaced by another host in the same state, and for a
// while no host would poll beside the planner.
TEST_CASE_METHOD(FleetFixture,
                 "A poller that has started to poll is not replaced before it "
                 "can have an answer") {
  Membership& membership = *memberships_.at(0);
  for (int host = 1; host <= 4; ++host) {
    membership.OnHeartbeat(HeartbeatOf(host));
  }
  const std::vector<HostAddress> chosen = membership.StorePollers();
  REQUIRE(chosen.size() == Membership::kPollersBesidePlanner);
  for (int host = 1; host <= 4; ++host) {
    Heartbeat heartbeat = HeartbeatOf(host);
    heartbeat.poll_state = PollState::kStarted;
    membership.OnHeartbeat(heartbeat);
  }
  CHECK(membership.StorePollers() == chosen);
}

TEST_CASE_METHOD(
    FleetFixture,
    "A host whose poll failed is not chosen as a poller during the cooldown") {
  Membership& membership = *memberships_.at(0);
  for (int host = 1; host <= 4; ++host) {
    membership.OnHeartbeat(HeartbeatOf(host));
  }
  const HostAddress first = membership.StorePollers().front();
  Heartbeat failed;
  for (int host = 1; host <= 4; ++host) {
    failed = HeartbeatOf(host);
    if (failed.address == first) {
      break;
    }
  }
  failed.poll_state = PollState::kFailed;
  membership.OnHeartbeat(failed);
  for (const HostAddress& poller : membership.StorePollers()) {
    CHECK(poller != first);
  }
  now_ += Membership::kFailedPollerCooldown + Millis(1);
  failed.poll_state = PollState::kNone;
  for (int host = 1; host <= 4; ++host) {
    membership.OnHeartbeat(HeartbeatOf(host));
  }
  membership.OnHeartbeat(failed);
  CHECK(membership.StorePollers().front() == first);
}

TEST_CASE_METHOD(FleetFixture,
                 "A host that starts in a partitioned fleet learns the size of "
                 "the whole fleet") {
  RunGossipFor(Millis(3000));
  memberships_.at(0)->RecordFleetSize();
  now_ += std::chrono::minutes(5);
  memberships_.at(0)->RecordFleetSize();
  CHECK(memberships_.at(0)->ObservedHosts() == 1);
  Heartbeat heartbeat = HeartbeatOf(0);
  heartbeat.peak_hosts = memberships_.at(0)->Size().PeakObserved();
  AddHost(9);
  memberships_.at(9)->OnHeartbeat(heartbeat);
  CHECK_FALSE(memberships_.at(9)->Size().MaxHosts().has_value());
  now_ += FleetSize::kStartupGrace;
  CHECK(memberships_.at(9)->Size().MaxHosts() == 6);
}

TEST_CASE_METHOD(
    FleetFixture,
    "A partitioned fleet divides limits by the size of the whole fleet") {
  const auto exchange_among = [this](int first, int last) {
    // Longer than gossip keeps the hosts of the other part alive.
    constexpr int kRoundCount = 100;
    for (int round = 0; round < kRoundCount; ++round) {
      now_ += Millis(100);
      for (int from = first; from <= last; ++from) {
        for (int to = first; to <= last; ++to) {
          if (from != to) {
            ExchangeHeartbeats(from, to);
          }
        }
        memberships_.at(from)->RecordFleetSize();
      }
    }
  };
  constexpr Millis kWindow{5000};
  exchange_among(0, 5);
  CHECK(memberships_.at(0)->HostsSharingLimit(kWindow) == 6);
  CHECK(memberships_.at(0)->IsOfMajority());
  exchange_among(0, 2);
  CHECK(memberships_.at(0)->AliveHosts() == 3);
  CHECK(memberships_.at(0)->HostsSharingLimit(kWindow) == 6);
  // Half of the hosts are no majority, four of six are.
  CHECK_FALSE(memberships_.at(0)->IsOfMajority());
  exchange_among(0, 3);
  CHECK(memberships_.at(0)->IsOfMajority());
}

TEST_CASE_METHOD(
    FleetFixture,
    "Hosts that all start on one side of a partition do not divide "
    "limits by their own number") {
  constexpr Millis kWindow{5000};
  // The fixture's seeds are the hosts 0 and 1; only hosts 2 and 3 are here.
  const auto exchange_for = [this](Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(100)) {
      now_ += Millis(100);
      ExchangeHeartbeats(2, 3);
      memberships_.at(2)->RecordFleetSize();
      memberships_.at(3)->RecordFleetSize();
    }
  };
  exchange_for(2 * kWindow);
  CHECK(memberships_.at(2)->Size().MaxHosts() == 2);
  CHECK_FALSE(memberships_.at(2)->HostsSharingLimit(kWindow).has_value());
  CHECK_FALSE(memberships_.at(2)->IsOfMajority());
  // A host that was there before tells how many hosts there are.
  Heartbeat heartbeat = HeartbeatOf(4);
  heartbeat.peak_hosts = 6;
  memberships_.at(2)->OnHeartbeat(heartbeat);
  CHECK(memberships_.at(2)->HostsSharingLimit(kWindow) == 6);
  CHECK_FALSE(memberships_.at(3)->HostsSharingLimit(kWindow).has_value());
  exchange_for(Membership::kPartitionLimit);
  CHECK(memberships_.at(3)->HostsSharingLimit(kWindow).has_value());
}

TEST_CASE_METHOD(
    FleetFixture,
    "The successors are the next hosts by rank that neither leave nor are "
    "suspect") {
  RunGossipFor(Membership::kStartupGrace + Millis(300));
  CHECK(memberships_[0]->Successors(2) ==
        std::vector<HostAddress>{Address(1), Address(2)});
  memberships_[0]->OnUnresponsive(Address(1));
  CHECK(memberships_[0]->IsSuspect(Address(1)));
  CHECK_FALSE(memberships_[0]->IsSuspect(Address(2)));
  memberships_[2]->Leave();
  memberships_[0]->OnHeartbeat(HeartbeatOf(2));
  CHECK(memberships_[0]->Successors(2) ==
        std::vector<HostAddress>{Address(3), Address(4)});
  CHECK(memberships_[0]->Successors(0).empty());
}

}  // namespace
}  // namespace harecrank
