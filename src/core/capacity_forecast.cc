#include "harecrank/core/capacity_forecast.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Lower limit of the forecast capacity, as a share of an engine's time. Without
// it, a brief outage of the engines would cause all prompts to be rejected.
constexpr double kMinCapacity = 0.02;

}  // namespace

CapacityForecast::CapacityForecast(MonotonicClock clock,
                                   const CapacityForecastOptions& options)
    : clock_(std::move(clock)), options_(options) {}

void CapacityForecast::OnArrival(FractionalMillis work, std::size_t engines) {
  AddSample(work, engines, &arrivals_);
}

void CapacityForecast::OnStarted(FractionalMillis work, std::size_t engines) {
  AddSample(work, engines, &starts_);
}

void CapacityForecast::OnWaiting(bool any) {
  if (!any) {
    waiting_since_.reset();
  } else if (!waiting_since_.has_value()) {
    waiting_since_ = clock_();
  }
}

FractionalMillis CapacityForecast::TimeUntilStart(FractionalMillis ahead,
                                                  std::size_t engines) const {
  const double rate =
      Capacity() * static_cast<double>(std::max<std::size_t>(engines, 1));
  return ahead / rate;
}

FractionalMillis CapacityForecast::TimeUntilSpareCapacity(
    FractionalMillis ahead, FractionalMillis work, std::size_t engines) const {
  const double capacity = Capacity();
  const double spare = std::max(capacity - UsedShare(arrivals_),
                                options_.min_spare_share * capacity);
  if (spare <= 0) {
    return FractionalMillis::max();
  }
  const double rate =
      spare * static_cast<double>(std::max<std::size_t>(engines, 1));
  return (ahead + work) / rate;
}

bool CapacityForecast::HasSpareCapacity() const {
  return UsedShare(arrivals_) < Capacity();
}

void CapacityForecast::AddSample(FractionalMillis work, std::size_t engines,
                                 Samples* samples) {
  const TimePoint now = clock_();
  const auto engine_count =
      static_cast<double>(std::max<std::size_t>(engines, 1));
  samples->push_back(Sample{now, work / engine_count});
  while (now - samples->front().at > options_.window) {
    samples->pop_front();
  }
}

double CapacityForecast::UsedShare(const Samples& samples) const {
  const TimePoint now = clock_();
  FractionalMillis sum(0);
  for (const Sample& sample : samples) {
    if (now - sample.at <= options_.window) {
      sum += sample.per_engine;
    }
  }
  return sum / FractionalMillis(options_.window);
}

double CapacityForecast::Capacity() const {
  const double started = UsedShare(starts_);
  const bool is_known = waiting_since_.has_value() &&
                        clock_() - *waiting_since_ >= options_.window;
  return is_known ? std::max(started, kMinCapacity)
                  : std::max(started, options_.default_share);
}

PredictedOutcome PredictOutcome(const PromptTiming& timing,
                                FractionalMillis until_start,
                                FractionalMillis until_spare) {
  if (until_start <= timing.until_late - timing.prefill) {
    return PredictedOutcome::kInTime;
  }
  const FractionalMillis service_time = timing.prefill + timing.decode;
  // The prompt keeps its place in queue order until its first event is late.
  const FractionalMillis wait =
      until_start <= timing.until_late ? until_start : until_spare;
  return wait <= timing.until_abandoned - service_time
             ? PredictedOutcome::kLate
             : PredictedOutcome::kNone;
}

}  // namespace harecrank
