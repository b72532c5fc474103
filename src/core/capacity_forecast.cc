#include "harecrank/core/capacity_forecast.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// However little starts, as much of an engine's time is foreseen: engines that
// are gone for a moment would otherwise turn everybody away.
constexpr double kLeastShare = 0.02;

}  // namespace

CapacityForecast::CapacityForecast(MonotonicClock clock,
                                   const CapacityForecastOptions& traits)
    : clock_(std::move(clock)), traits_(traits) {}

void CapacityForecast::OnArrival(FractionalMillis work, std::size_t engines) {
  Note(work, engines, &asked_);
}

void CapacityForecast::OnStarted(FractionalMillis work, std::size_t engines) {
  Note(work, engines, &started_);
}

void CapacityForecast::OnWaiting(bool any) {
  if (!any) {
    waits_since_.reset();
  } else if (!waits_since_.has_value()) {
    waits_since_ = clock_();
  }
}

FractionalMillis CapacityForecast::TimeUntilStart(FractionalMillis ahead,
                                                  std::size_t engines) const {
  const double rate =
      Share() * static_cast<double>(std::max<std::size_t>(engines, 1));
  return ahead / rate;
}

FractionalMillis CapacityForecast::TimeUntilSpareCapacity(
    FractionalMillis ahead, FractionalMillis work, std::size_t engines) const {
  const double share = Share();
  const double left =
      std::max(share - ShareOf(asked_), traits_.least_left_over * share);
  if (left <= 0) {
    return FractionalMillis::max();
  }
  const double rate =
      left * static_cast<double>(std::max<std::size_t>(engines, 1));
  return (ahead + work) / rate;
}

bool CapacityForecast::HasSpareCapacity() const {
  return ShareOf(asked_) < Share();
}

void CapacityForecast::Note(FractionalMillis work, std::size_t engines,
                            Notes* notes) {
  const TimePoint now = clock_();
  const auto among = static_cast<double>(std::max<std::size_t>(engines, 1));
  notes->push_back(Noted{now, work / among});
  while (now - notes->front().at > traits_.window) {
    notes->pop_front();
  }
}

double CapacityForecast::ShareOf(const Notes& notes) const {
  const TimePoint now = clock_();
  FractionalMillis sum(0);
  for (const Noted& one : notes) {
    if (now - one.at <= traits_.window) {
      sum += one.per_engine;
    }
  }
  return sum / FractionalMillis(traits_.window);
}

double CapacityForecast::Share() const {
  const double started = ShareOf(started_);
  const bool is_known =
      waits_since_.has_value() && clock_() - *waits_since_ >= traits_.window;
  return is_known ? std::max(started, kLeastShare)
                  : std::max(started, traits_.usual_share);
}

PredictedOutcome PredictOutcome(const PromptTiming& time,
                                FractionalMillis until_start,
                                FractionalMillis until_left_over) {
  if (until_start <= time.until_late - time.read) {
    return PredictedOutcome::kInTime;
  }
  const FractionalMillis taken = time.read + time.answer;
  // One that is not late yet goes by its turn until it is.
  const FractionalMillis until_turn =
      until_start <= time.until_late ? until_start : until_left_over;
  return until_turn <= time.until_end - taken ? PredictedOutcome::kLate
                                              : PredictedOutcome::kNone;
}

}  // namespace harecrank
