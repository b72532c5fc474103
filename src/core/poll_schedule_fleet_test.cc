// How many hosts read the platform's service, and how long a host is blind, in
// fleets of 30 to 3,000 hosts. Each host takes its decisions by a PollSchedule
// of its own; messages between hosts and answers of the service are played.

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
// How often a host looks whether its turn has come.
constexpr Millis kLook{100};
// What an answer takes that the service gives, and one that never comes.
constexpr Millis kAnswerTime{20};
constexpr Millis kSilence{800};
constexpr int kStandBy = 2;

// How the service treats a host.
enum class Treatment { kAnswers, kTurnsAway, kSaysNothing };

class ReadingFleet {
 public:
  ReadingFleet(int hosts, std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(this));
    }
    planner_ = 0;
    for (int i = 0; i <= std::min(kStandBy, hosts - 1); ++i) {
      At(i).duty.SetPollRank(i);
    }
    for (auto& host : hosts_) {
      host->duty.OnPeerUpdate(Millis(0));
    }
  }

  // Which share of the words between hosts is lost, and takes longer.
  void SetLosses(double lost, double late) {
    lost_ = lost;
    late_ = late;
  }

  // The service treats the hosts from `first` on, or a share of all, so.
  void Treat(int first, int count, Treatment treatment) {
    for (int i = first; i < first + count; ++i) {
      At(i).treatment = treatment;
    }
  }
  void TreatShare(double share, Treatment treatment) {
    for (auto& host : hosts_) {
      if (Chance(share)) {
        host->treatment = treatment;
      }
    }
  }

  // No host hears the planner until another one plans, `time` later.
  void KillPlanner(Millis time) {
    replaced_at_ = now_ + time;
    At(planner_).is_dead = true;
  }

  void Run(Millis time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      PlayStep();
    }
  }

  // The most calls that began within any second, and the longest that a host
  // has been without word of what the service answered.
  int MostCallsInASecond() const {
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
  int Calls() const { return static_cast<int>(calls_.size()); }
  Millis LongestAge() const { return longest_age_; }

 private:
  struct Host {
    explicit Host(ReadingFleet* fleet)
        : duty(
              false,
              PollSchedulePorts{[fleet] { return fleet->Count(); },
                                [] { return false; }},
              [fleet] { return fleet->now_; },
              [fleet] { return fleet->random_(); }),
          phase(static_cast<std::int64_t>(
              fleet->random_() % static_cast<std::uint64_t>(kLook.count()))) {}

    PollSchedule duty;
    std::int64_t phase;
    Treatment treatment = Treatment::kAnswers;
    bool is_dead = false;
    // When the call under way ends.
    std::optional<TimePoint> call_ends;
    TimePoint told_at{};
  };

  // A word that is on its way to a host.
  struct Word {
    TimePoint due;
    int to;
    TimePoint answered;
  };

  int Count() const { return static_cast<int>(hosts_.size()); }
  Host& At(int host) { return *hosts_[static_cast<std::size_t>(host)]; }
  const Host& At(int host) const {
    return *hosts_[static_cast<std::size_t>(host)];
  }

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  void Tell(int to, TimePoint answered) {
    if (!Chance(lost_)) {
      const Millis takes = Chance(late_) ? Millis(120) : kStep;
      words_.push_back(Word{now_ + takes, to, answered});
    }
  }

  // What the planner knows goes to those that stand by, or to all.
  void TellReaders() {
    for (int i = planner_ + 1; i <= planner_ + kStandBy && i < Count(); ++i) {
      Tell(i, AnsweredAt(planner_));
    }
  }

  TimePoint AnsweredAt(int host) const { return now_ - At(host).duty.Age(); }

  void PlayStep() {
    Deliver();
    ReplacePlanner();
    for (int i = 0; i < Count(); ++i) {
      if (!At(i).is_dead) {
        PlayHost(i);
      }
    }
  }

  void Deliver() {
    std::vector<Word> due;
    const auto is_due = [this](const Word& word) { return word.due <= now_; };
    std::copy_if(words_.begin(), words_.end(), std::back_inserter(due), is_due);
    words_.erase(std::remove_if(words_.begin(), words_.end(), is_due),
                 words_.end());
    for (const Word& word : due) {
      Inform(word.to, word.answered);
    }
  }

  void Inform(int to, TimePoint answered) {
    PollSchedule& duty = At(to).duty;
    const bool is_late = duty.IsOverdue();
    duty.OnPeerUpdate(std::chrono::duration_cast<Millis>(now_ - answered));
    if (to == planner_ && is_late && !duty.IsOverdue()) {
      for (int i = 0; i < Count(); ++i) {
        Tell(i, answered);
      }
    }
  }

  void ReplacePlanner() {
    if (replaced_at_.has_value() && now_ >= *replaced_at_) {
      replaced_at_.reset();
      ++planner_;
      for (int i = 0; i <= kStandBy; ++i) {
        At(planner_ + i).duty.SetPollRank(i);
      }
    }
  }

  void PlayHost(int i) {
    Host& host = At(i);
    EndCall(i);
    const bool looks =
        std::chrono::duration_cast<Millis>(now_.time_since_epoch()).count() %
            kLook.count() ==
        host.phase / kStep.count() * kStep.count();
    if (looks) {
      host.duty.Update();
    }
    if (host.duty.Mode() != PollMode::kNone && !host.call_ends.has_value()) {
      BeginCall(&host);
    }
    if (now_ - host.told_at >= PollSchedule::kMaxHeartbeatInterval) {
      host.told_at = now_;
      if (!At(planner_).is_dead) {
        Tell(i, AnsweredAt(planner_));
      }
    }
    longest_age_ = std::max(longest_age_, host.duty.Age());
  }

  void BeginCall(Host* host) {
    calls_.push_back(now_);
    const bool waits = host->duty.Mode() == PollMode::kContinuous;
    const Millis wait = waits ? PollSchedule::kLongPollWait : Millis(0);
    switch (host->treatment) {
      case Treatment::kAnswers:
        host->call_ends = now_ + wait + kAnswerTime;
        break;
      case Treatment::kTurnsAway:
        // The feed's own pause after a failure.
        host->call_ends = now_ + Millis(150);
        break;
      case Treatment::kSaysNothing:
        host->call_ends = now_ + wait + kSilence;
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
      host.duty.OnPollFailed();
      return;
    }
    Inform(i, now_);
    host.duty.OnPollSucceeded();
    if (i == planner_) {
      TellReaders();
    } else if (!At(planner_).is_dead) {
      Tell(planner_, now_);
    }
  }

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Host>> hosts_;
  int planner_ = 0;
  double lost_ = 0;
  double late_ = 0;
  std::vector<Word> words_;
  std::optional<TimePoint> replaced_at_;
  std::vector<TimePoint> calls_;
  Millis longest_age_{0};
};

// What hosts are granted before they read, and what a call and two words take.
constexpr Millis kBound = PollSchedule::kFreshFor + PollSchedule::kSpread +
                          PollSchedule::kRound + Millis(200);
// A round of turns, in the worst second, and those that read for all.
constexpr int kMostCallsInASecond = 3 * PollSchedule::kMaxConcurrentPolls + 20;

constexpr Millis kLongRun{20000};

int FleetSizeOfTest() { return GENERATE(30, 402, 1000, 3000); }

TEST_CASE("A quiet service is read by one host, whatever the size of the fleet",
          "[fleet]") {
  ReadingFleet fleet(FleetSizeOfTest(), 1);
  fleet.Run(kLongRun);
  // One call each time that the wait is over.
  CHECK(fleet.Calls() <= kLongRun / PollSchedule::kLongPollWait + 1);
  CHECK(fleet.LongestAge() <= PollSchedule::kFreshFor);
}

TEST_CASE("Lost and late words do not multiply the calls", "[fleet]") {
  ReadingFleet fleet(FleetSizeOfTest(), 2);
  fleet.SetLosses(0.02, 0.05);
  fleet.Run(kLongRun);
  CHECK(fleet.Calls() <= 2 * (kLongRun / PollSchedule::kLongPollWait));
  CHECK(fleet.LongestAge() <= kBound);
}

TEST_CASE(
    "While the reader is turned away, or not answered, another one reads "
    "before the others look for themselves",
    "[fleet]") {
  const auto treatment =
      GENERATE(Treatment::kTurnsAway, Treatment::kSaysNothing);
  ReadingFleet fleet(FleetSizeOfTest(), 3);
  fleet.Run(Millis(3000));
  fleet.Treat(0, 1, treatment);
  fleet.Run(Millis(10000));
  CHECK(fleet.MostCallsInASecond() <= 20);
  CHECK(fleet.LongestAge() <= PollSchedule::kFreshFor + Millis(200));
}

TEST_CASE(
    "With a third of the hosts turned away, and all those that stand by, "
    "somebody reads in time and few do",
    "[fleet]") {
  const auto treatment =
      GENERATE(Treatment::kTurnsAway, Treatment::kSaysNothing);
  ReadingFleet fleet(FleetSizeOfTest(), 4);
  fleet.Run(Millis(3000));
  fleet.TreatShare(0.35, treatment);
  fleet.Treat(0, kStandBy + 1, treatment);
  fleet.Run(Millis(10000));
  CHECK(fleet.MostCallsInASecond() <= kMostCallsInASecond);
  CHECK(fleet.LongestAge() <= kBound);
}

TEST_CASE("A service that answers nobody is not called by everybody",
          "[fleet]") {
  ReadingFleet fleet(FleetSizeOfTest(), 5);
  fleet.Run(Millis(3000));
  fleet.TreatShare(1.0, Treatment::kTurnsAway);
  fleet.Run(Millis(10000));
  CHECK(fleet.MostCallsInASecond() <= kMostCallsInASecond);
}

TEST_CASE("With the planner dead few hosts read before another one plans",
          "[fleet]") {
  ReadingFleet fleet(FleetSizeOfTest(), 6);
  fleet.Run(Millis(3000));
  fleet.KillPlanner(Millis(700));
  fleet.Run(Millis(5000));
  CHECK(fleet.MostCallsInASecond() <= kMostCallsInASecond);
  CHECK(fleet.LongestAge() <= kBound);
}

}  // namespace
}  // namespace harecrank
