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
      started_at_(clock_()),
      poll_due_(is_seed) {
  BeginRounds(started_at_ + kStartupDelay);
}

void PollSchedule::SetPollRank(std::optional<int> rank) {
  if (rank == poll_rank_) {
    return;
  }
  poll_rank_ = rank;
  failures_ = 0;
  poll_due_ = false;
  if (data_as_of_.has_value()) {
    BeginRounds(*data_as_of_ + FirstSlotAge());
  }
}

void PollSchedule::OnPollSucceeded() {
  poll_succeeded_at_ = clock_();
  poll_failed_at_.reset();
  failures_ = 0;
  poll_due_ = false;
  OnPeerUpdate(Millis(0));
}

void PollSchedule::OnPollFailed() {
  poll_failed_at_ = clock_();
  poll_due_ = false;
  ++failures_;
  // This host has already polled in this round.
  BeginRounds(clock_() + RoundLength());
}

void PollSchedule::OnPeerUpdate(Millis age) {
  const TimePoint as_of = clock_() - age;
  if (data_as_of_.has_value() && as_of <= *data_as_of_) {
    return;
  }
  data_as_of_ = as_of;
  BeginRounds(as_of + FirstSlotAge());
}

Millis PollSchedule::FirstSlotAge() const {
  if (poll_rank_.has_value()) {
    // Rank zero polls continuously, regardless of this age.
    return kStandbyPollAge + std::max(0, *poll_rank_ - 1) * kStandbyPollStep;
  }
  return ports_.polling_hosts() > 1 ? kFreshFor : kStandbyPollAge;
}

void PollSchedule::BeginRounds(TimePoint from) {
  round_began_at_ = from;
  round_draw_ = static_cast<double>(random_()) /
                static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

Millis PollSchedule::RoundLength() const {
  constexpr int kMaxDoublings = 2;
  return std::min(kRound * (1 << std::min(failures_, kMaxDoublings)),
                  kMaxRound);
}

std::optional<Millis> PollSchedule::SlotInRound() const {
  const int polling_hosts = std::max(1, ports_.polling_hosts());
  if (poll_rank_.has_value()) {
    return Millis(0);
  }
  if (polling_hosts == 1) {
    // A host without data may have just started and not know the other hosts
    // yet. Its poll is spread over kSpread so that hosts that start together do
    // not all poll at once.
    return HasNoData()
               ? Millis(static_cast<std::int64_t>(
                     round_draw_ * static_cast<double>(kSpread.count())))
               : Millis(0);
  }
  const double position = round_draw_ * polling_hosts;
  const int limit = std::min(polling_hosts, kMaxConcurrentPolls);
  if (position > limit) {
    return std::nullopt;
  }
  if (position <= kInitialConcurrentPolls) {
    return Millis(0);
  }
  // The number of hosts that have polled in this round grows exponentially from
  // kInitialConcurrentPolls to `limit` over the time kSpread.
  const double fraction =
      std::log(position / kInitialConcurrentPolls) /
      std::log(static_cast<double>(limit) / kInitialConcurrentPolls);
  return Millis(static_cast<std::int64_t>(
      fraction * static_cast<double>(kSpread.count())));
}

void PollSchedule::Update() {
  const TimePoint now = clock_();
  if (poll_due_ || now < round_began_at_) {
    return;
  }
  while (now - round_began_at_ >= RoundLength()) {
    BeginRounds(round_began_at_ + RoundLength());
  }
  const bool waits_for_snapshot = HasNoData() &&
                                  now - started_at_ < kMaxSnapshotWait &&
                                  ports_.snapshot_available();
  const std::optional<Millis> slot = SlotInRound();
  poll_due_ =
      !waits_for_snapshot && slot.has_value() && now - round_began_at_ >= *slot;
}

PollMode PollSchedule::Mode() const {
  if (poll_rank_ == 0) {
    return PollMode::kContinuous;
  }
  return poll_due_ ? PollMode::kOnce : PollMode::kNone;
}

PollState PollSchedule::OwnPollState() const {
  const TimePoint now = clock_();
  const auto is_recent = [now](const std::optional<TimePoint>& time) {
    return time.has_value() && now - *time <= kFreshFor;
  };
  if (is_recent(poll_failed_at_)) {
    return PollState::kFailed;
  }
  if (is_recent(poll_succeeded_at_)) {
    return PollState::kAnswered;
  }
  return Mode() == PollMode::kNone ? PollState::kNone : PollState::kStarted;
}

Millis PollSchedule::Age() const {
  return data_as_of_.has_value()
             ? std::chrono::duration_cast<Millis>(clock_() - *data_as_of_)
             : kUnknownAge;
}

}  // namespace harecrank
