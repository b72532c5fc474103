#include "harecrank/core/fleet_size.h"

#include <algorithm>
#include <utility>

namespace harecrank {

WindowedMax::WindowedMax(MonotonicClock clock)
    : clock_(std::move(clock)), window_began_at_(clock_()) {}

void WindowedMax::Add(int value) {
  const TimePoint now = clock_();
  if (now - window_began_at_ >= kWindow) {
    previous_max_ = now - window_began_at_ < 2 * kWindow ? current_max_ : 0;
    current_max_ = 0;
    window_began_at_ = now;
  }
  current_max_ = std::max(current_max_, value);
}

int WindowedMax::Value() const {
  const auto age = clock_() - window_began_at_;
  if (age >= 2 * kWindow) {
    return 0;
  }
  return age >= kWindow ? current_max_ : std::max(current_max_, previous_max_);
}

FleetSize::FleetSize(MonotonicClock clock)
    : clock_(std::move(clock)),
      started_at_(clock_()),
      observed_(clock_),
      reported_(clock_) {}

void FleetSize::OnObserved(int hosts) { observed_.Add(hosts); }

void FleetSize::OnReported(int hosts) { reported_.Add(hosts); }

int FleetSize::PeakObserved() const { return std::max(1, observed_.Value()); }

std::optional<int> FleetSize::MaxHosts() const {
  if (clock_() - started_at_ < kStartupGrace) {
    return std::nullopt;
  }
  const int most = std::max(PeakObserved(), reported_.Value());
  if (has_other_seeds_ && most <= 1) {
    return std::nullopt;
  }
  return most;
}

std::optional<int> FleetSize::MaxHostsSharing(Millis window) const {
  const Millis needed_age = std::max(window, kStartupGrace);
  if (!is_first_start_ && clock_() - started_at_ < needed_age) {
    return std::nullopt;
  }
  return std::max(PeakObserved(), reported_.Value());
}

}  // namespace harecrank
