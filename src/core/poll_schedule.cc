#include "harecrank/core/poll_schedule.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace harecrank {

PollSchedule::PollSchedule(bool is_seed, PollSchedulePorts ports,
                           MonotonicClock clock, RandomSource random)
    : ports_(std::move(ports)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      started_(clock_()),
      reads_once_(is_seed) {
  BeginRounds(started_ + kStartupDelay);
}

void PollSchedule::SetPollRank(std::optional<int> turn) {
  if (turn == turn_) {
    return;
  }
  turn_ = turn;
  failures_ = 0;
  reads_once_ = false;
  if (answered_at_.has_value()) {
    BeginRounds(*answered_at_ + Patience());
  }
}

void PollSchedule::OnPollSucceeded() {
  own_answered_at_ = clock_();
  failed_at_.reset();
  failures_ = 0;
  reads_once_ = false;
  OnPeerUpdate(Millis(0));
}

void PollSchedule::OnPollFailed() {
  failed_at_ = clock_();
  reads_once_ = false;
  ++failures_;
  // It had its turn in this round.
  BeginRounds(clock_() + RoundLength());
}

void PollSchedule::OnPeerUpdate(Millis age) {
  const TimePoint answered = clock_() - age;
  if (answered_at_.has_value() && answered <= *answered_at_) {
    return;
  }
  answered_at_ = answered;
  BeginRounds(answered + Patience());
}

Millis PollSchedule::Patience() const {
  if (turn_.has_value()) {
    // The turn of zero has come anyway.
    return kStandbyPollAge + std::max(0, *turn_ - 1) * kStandbyPollStep;
  }
  return ports_.polling_hosts() > 1 ? kFreshFor : kStandbyPollAge;
}

void PollSchedule::BeginRounds(TimePoint from) {
  round_began_ = from;
  draw_ = static_cast<double>(random_()) /
          static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

Millis PollSchedule::RoundLength() const {
  constexpr int kMaxDoublings = 2;
  return std::min(kRound * (1 << std::min(failures_, kMaxDoublings)),
                  kMaxRound);
}

std::optional<Millis> PollSchedule::TurnInRound() const {
  const int polling_hosts = std::max(1, ports_.polling_hosts());
  if (turn_.has_value()) {
    return Millis(0);
  }
  if (polling_hosts == 1) {
    // Others may be there all the same while this host has just started.
    return KnowsNothing() ? Millis(static_cast<std::int64_t>(
                                draw_ * static_cast<double>(kSpread.count())))
                          : Millis(0);
  }
  const double place = draw_ * polling_hosts;
  const int most = std::min(polling_hosts, kMaxConcurrentPolls);
  if (place > most) {
    return std::nullopt;
  }
  if (place <= kInitialConcurrentPolls) {
    return Millis(0);
  }
  // So that their number grows evenly in proportion.
  const double part =
      std::log(place / kInitialConcurrentPolls) /
      std::log(static_cast<double>(most) / kInitialConcurrentPolls);
  return Millis(
      static_cast<std::int64_t>(part * static_cast<double>(kSpread.count())));
}

void PollSchedule::Update() {
  const TimePoint now = clock_();
  if (reads_once_ || now < round_began_) {
    return;
  }
  while (now - round_began_ >= RoundLength()) {
    BeginRounds(round_began_ + RoundLength());
  }
  const bool waits_for_copy = KnowsNothing() &&
                              now - started_ < kMaxSnapshotWait &&
                              ports_.snapshot_available();
  const std::optional<Millis> turn = TurnInRound();
  reads_once_ =
      !waits_for_copy && turn.has_value() && now - round_began_ >= *turn;
}

PollMode PollSchedule::Mode() const {
  if (turn_ == 0) {
    return PollMode::kContinuous;
  }
  return reads_once_ ? PollMode::kOnce : PollMode::kNone;
}

PollState PollSchedule::OwnPollState() const {
  const TimePoint now = clock_();
  const auto is_recent = [now](const std::optional<TimePoint>& time) {
    return time.has_value() && now - *time <= kFreshFor;
  };
  if (is_recent(failed_at_)) {
    return PollState::kFailed;
  }
  if (is_recent(own_answered_at_)) {
    return PollState::kAnswered;
  }
  return Mode() == PollMode::kNone ? PollState::kNone : PollState::kStarted;
}

Millis PollSchedule::Age() const {
  return answered_at_.has_value()
             ? std::chrono::duration_cast<Millis>(clock_() - *answered_at_)
             : kUnknownAge;
}

}  // namespace harecrank
