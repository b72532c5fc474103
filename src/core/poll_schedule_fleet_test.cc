// Simulates the polls of fleets of 30 to 3,000 hosts: how many calls the store
// gets and how old the data of a host become. Each host has its own
// PollSchedule; messages between hosts and answers of the store are simulated.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "harecrank/core/poll_schedule.h"

namespace harecrank {
namespace {

constexpr Millis kStep{20};
// Interval between two calls of PollSchedule::Update.
constexpr Millis kUpdateInterval{100};
// Time until the store answers, and time after which a call without an answer
// is given up.
constexpr Millis kAnswerTime{20};
constexpr Millis kNoAnswerTime{800};
constexpr int kStandbyHosts = 2;

// How the store treats a host's calls.
enum class Treatment { kAnswers, kRejects, kDoesNotAnswer };

class SimulatedFleet {
 public:
  SimulatedFleet(int hosts, std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(this));
    }
    planner_ = 0;
    for (int i = 0; i <= std::min(kStandbyHosts, hosts - 1); ++i) {
      At(i).schedule.SetPollRank(i);
    }
    for (auto& host : hosts_) {
      host->schedule.OnPeerUpdate(Millis(0));
    }
  }

  // Sets the share of heartbeats that are lost and the share that is delayed.
  void SetNetworkFaults(double lost_share, double delayed_share) {
    lost_share_ = lost_share;
    delayed_share_ = delayed_share;
  }

  // Sets how the store treats `count` hosts from `first` on, or a random share
  // of all hosts.
  void SetTreatment(int first, int count, Treatment treatment) {
    for (int i = first; i < first + count; ++i) {
      At(i).treatment = treatment;
    }
  }
  void SetTreatmentOfShare(double share, Treatment treatment) {
    for (auto& host : hosts_) {
      if (RandomlyTrue(share)) {
        host->treatment = treatment;
      }
    }
  }

  // Stops the planner; the next host becomes the planner after `time`.
  void KillPlanner(Millis time) {
    replaced_at_ = now_ + time;
    At(planner_).is_dead = true;
  }

  void Run(Millis time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      Step();
    }
  }

  // Returns the largest number of calls that began within a second.
  int MaxCallsPerSecond() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < calls_.size(); ++last) {
      while (calls_[last] - calls_[first] >= Millis(1000)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
  }
  int CallCount() const { return static_cast<int>(calls_.size()); }
  // Returns the greatest age that the data of any host have had.
  Millis MaxAge() const { return max_age_; }

 private:
  struct Host {
    explicit Host(SimulatedFleet* fleet)
        : schedule(
              false,
              PollSchedulePorts{[fleet] { return fleet->Count(); },
                                [] { return false; }},
              [fleet] { return fleet->now_; },
              [fleet] { return fleet->random_(); }),
          update_phase_ms(static_cast<std::int64_t>(
              fleet->random_() %
              static_cast<std::uint64_t>(kUpdateInterval.count()))) {}

    PollSchedule schedule;
    std::int64_t update_phase_ms;
    Treatment treatment = Treatment::kAnswers;
    bool is_dead = false;
    // When the call in progress ends.
    std::optional<TimePoint> call_ends;
    TimePoint last_heartbeat_at{};
  };

  // A heartbeat on its way to a host.
  struct HeartbeatInTransit {
    TimePoint due;
    int to;
    TimePoint data_as_of;
  };

  int Count() const { return static_cast<int>(hosts_.size()); }
  Host& At(int host) { return *hosts_[static_cast<std::size_t>(host)]; }
  const Host& At(int host) const {
    return *hosts_[static_cast<std::size_t>(host)];
  }

  bool RandomlyTrue(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  void SendHeartbeat(int to, TimePoint data_as_of) {
    if (!RandomlyTrue(lost_share_)) {
      const Millis delay = RandomlyTrue(delayed_share_) ? Millis(120) : kStep;
      in_transit_.push_back(HeartbeatInTransit{now_ + delay, to, data_as_of});
    }
  }

  // Sends what the planner knows to the standby hosts.
  void SendToStandbyHosts() {
    for (int i = planner_ + 1; i <= planner_ + kStandbyHosts && i < Count();
         ++i) {
      SendHeartbeat(i, DataAsOf(planner_));
    }
  }

  TimePoint DataAsOf(int host) const { return now_ - At(host).schedule.Age(); }

  void Step() {
    Deliver();
    ReplacePlanner();
    for (int i = 0; i < Count(); ++i) {
      if (!At(i).is_dead) {
        StepHost(i);
      }
    }
  }

  void Deliver() {
    std::vector<HeartbeatInTransit> due;
    const auto is_due = [this](const HeartbeatInTransit& heartbeat) {
      return heartbeat.due <= now_;
    };
    std::copy_if(in_transit_.begin(), in_transit_.end(),
                 std::back_inserter(due), is_due);
    in_transit_.erase(
        std::remove_if(in_transit_.begin(), in_transit_.end(), is_due),
        in_transit_.end());
    for (const HeartbeatInTransit& heartbeat : due) {
      ApplyUpdate(heartbeat.to, heartbeat.data_as_of);
    }
  }

  void ApplyUpdate(int to, TimePoint data_as_of) {
    PollSchedule& schedule = At(to).schedule;
    const bool was_overdue = schedule.IsOverdue();
    schedule.OnPeerUpdate(
        std::chrono::duration_cast<Millis>(now_ - data_as_of));
    if (to == planner_ && was_overdue && !schedule.IsOverdue()) {
      for (int i = 0; i < Count(); ++i) {
        SendHeartbeat(i, data_as_of);
      }
    }
  }

  void ReplacePlanner() {
    if (replaced_at_.has_value() && now_ >= *replaced_at_) {
      replaced_at_.reset();
      ++planner_;
      for (int i = 0; i <= kStandbyHosts; ++i) {
        At(planner_ + i).schedule.SetPollRank(i);
      }
    }
  }

  void StepHost(int i) {
    Host& host = At(i);
    EndCall(i);
    const bool is_update_due =
        std::chrono::duration_cast<Millis>(now_.time_since_epoch()).count() %
            kUpdateInterval.count() ==
        host.update_phase_ms / kStep.count() * kStep.count();
    if (is_update_due) {
      host.schedule.Update();
    }
    if (host.schedule.Mode() != PollMode::kNone &&
        !host.call_ends.has_value()) {
      BeginCall(&host);
    }
    if (now_ - host.last_heartbeat_at >= PollSchedule::kMaxHeartbeatInterval) {
      host.last_heartbeat_at = now_;
      if (!At(planner_).is_dead) {
        SendHeartbeat(i, DataAsOf(planner_));
      }
    }
    max_age_ = std::max(max_age_, host.schedule.Age());
  }

  void BeginCall(Host* host) {
    calls_.push_back(now_);
    const bool is_long_poll = host->schedule.Mode() == PollMode::kContinuous;
    const Millis wait = is_long_poll ? PollSchedule::kLongPollWait : Millis(0);
    switch (host->treatment) {
      case Treatment::kAnswers:
        host->call_ends = now_ + wait + kAnswerTime;
        break;
      case Treatment::kRejects:
        // The pause of the feed after a failure.
        host->call_ends = now_ + Millis(150);
        break;
      case Treatment::kDoesNotAnswer:
        host->call_ends = now_ + wait + kNoAnswerTime;
        break;
    }
  }

  void EndCall(int i) {
    Host& host = At(i);
    if (!host.call_ends.has_value() || now_ < *host.call_ends) {
      return;
    }
    host.call_ends.reset();
    if (host.treatment != Treatment::kAnswers) {
      host.schedule.OnPollFailed();
      return;
    }
    ApplyUpdate(i, now_);
    host.schedule.OnPollSucceeded();
    if (i == planner_) {
      SendToStandbyHosts();
    } else if (!At(planner_).is_dead) {
      SendHeartbeat(planner_, now_);
    }
  }

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Host>> hosts_;
  int planner_ = 0;
  double lost_share_ = 0;
  double delayed_share_ = 0;
  std::vector<HeartbeatInTransit> in_transit_;
  std::optional<TimePoint> replaced_at_;
  std::vector<TimePoint> calls_;
  Millis max_age_{0};
};

// The age of data at which a poll is due at the latest, and the time of a call
// and two heartbeats.
constexpr Millis kMaxAge = PollSchedule::kFreshFor + PollSchedule::kSpread +
                           PollSchedule::kRound + Millis(200);
// The polls of the rounds within the worst second, and those of the hosts that
// poll for the fleet.
constexpr int kMaxCallsPerSecond = 3 * PollSchedule::kMaxConcurrentPolls + 20;

constexpr Millis kLongRun{20000};

int GenerateFleetSize() { return GENERATE(30, 402, 1000, 3000); }

TEST_CASE(
    "A store without changes is polled by one host for any size of the fleet",
    "[fleet]") {
  SimulatedFleet fleet(GenerateFleetSize(), 1);
  fleet.Run(kLongRun);
  // One call for each expiry of the long poll.
  CHECK(fleet.CallCount() <= kLongRun / PollSchedule::kLongPollWait + 1);
  CHECK(fleet.MaxAge() <= PollSchedule::kFreshFor);
}

TEST_CASE("Lost and delayed heartbeats do not multiply the calls", "[fleet]") {
  SimulatedFleet fleet(GenerateFleetSize(), 2);
  fleet.SetNetworkFaults(0.02, 0.05);
  fleet.Run(kLongRun);
  CHECK(fleet.CallCount() <= 2 * (kLongRun / PollSchedule::kLongPollWait));
  CHECK(fleet.MaxAge() <= kMaxAge);
}

TEST_CASE(
    "While the polling host is rejected or not answered, a standby host polls "
    "before the others do",
    "[fleet]") {
  const auto treatment =
      GENERATE(Treatment::kRejects, Treatment::kDoesNotAnswer);
  SimulatedFleet fleet(GenerateFleetSize(), 3);
  fleet.Run(Millis(3000));
  fleet.SetTreatment(0, 1, treatment);
  fleet.Run(Millis(10000));
  CHECK(fleet.MaxCallsPerSecond() <= 20);
  CHECK(fleet.MaxAge() <= PollSchedule::kFreshFor + Millis(200));
}

TEST_CASE(
    "With a third of the hosts and all standby hosts rejected, some host polls "
    "in time and few hosts poll",
    "[fleet]") {
  const auto treatment =
      GENERATE(Treatment::kRejects, Treatment::kDoesNotAnswer);
  SimulatedFleet fleet(GenerateFleetSize(), 4);
  fleet.Run(Millis(3000));
  fleet.SetTreatmentOfShare(0.35, treatment);
  fleet.SetTreatment(0, kStandbyHosts + 1, treatment);
  fleet.Run(Millis(10000));
  CHECK(fleet.MaxCallsPerSecond() <= kMaxCallsPerSecond);
  CHECK(fleet.MaxAge() <= kMaxAge);
}

TEST_CASE("A store that answers no host is not called by all hosts",
          "[fleet]") {
  SimulatedFleet fleet(GenerateFleetSize(), 5);
  fleet.Run(Millis(3000));
  fleet.SetTreatmentOfShare(1.0, Treatment::kRejects);
  fleet.Run(Millis(10000));
  CHECK(fleet.MaxCallsPerSecond() <= kMaxCallsPerSecond);
}

TEST_CASE("After the planner has failed, few hosts poll until it is replaced",
          "[fleet]") {
  SimulatedFleet fleet(GenerateFleetSize(), 6);
  fleet.Run(Millis(3000));
  fleet.KillPlanner(Millis(700));
  fleet.Run(Millis(5000));
  CHECK(fleet.MaxCallsPerSecond() <= kMaxCallsPerSecond);
  CHECK(fleet.MaxAge() <= kMaxAge);
}

}  // namespace
}  // namespace harecrank
