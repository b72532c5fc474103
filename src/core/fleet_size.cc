#include "harecrank/core/fleet_size.h"

#include <algorithm>
#include <utility>

namespace harecrank {

WindowedMax::WindowedMax(MonotonicClock clock)
    : clock_(std::move(clock)), began_(clock_()) {}

void WindowedMax::Note(int number) {
  const TimePoint now = clock_();
  if (now - began_ >= kWindow) {
    former_ = now - began_ < 2 * kWindow ? current_ : 0;
    current_ = 0;
    began_ = now;
  }
  current_ = std::max(current_, number);
}

int WindowedMax::Value() const {
  const auto age = clock_() - began_;
  if (age >= 2 * kWindow) {
    return 0;
  }
  return age >= kWindow ? current_ : std::max(current_, former_);
}

FleetSize::FleetSize(MonotonicClock clock)
    : clock_(std::move(clock)),
      started_(clock_()),
      counted_(clock_),
      told_(clock_) {}

void FleetSize::OnObserved(int hosts) { counted_.Note(hosts); }

void FleetSize::OnReported(int hosts) { told_.Note(hosts); }

int FleetSize::PeakObserved() const { return std::max(1, counted_.Value()); }

std::optional<int> FleetSize::MaxHosts() const {
  if (clock_() - started_ < kStartupGrace) {
    return std::nullopt;
  }
  const int most = std::max(PeakObserved(), told_.Value());
  if (has_other_seeds_ && most <= 1) {
    return std::nullopt;
  }
  return most;
}

}  // namespace harecrank
