#include "harecrank/core/configuration_parse_scheduler.h"

#include <algorithm>

namespace harecrank {
namespace {

using std::chrono::duration;
using std::chrono::nanoseconds;

// Less is taken for a setting that was left out or mistaken.
constexpr double kLeastPower = 0.01;
// How much one slice changes what is known of the host's speed.
constexpr double kLearned = 0.25;
// The host's speed is believed within these factors of its share of a core: a
// process that was suspended, or a clock that is too coarse, tells nothing.
constexpr double kFastest = 0.5;
constexpr double kSlowest = 4;
// A slice does at least so much, or its own start would cost more than its
// work.
constexpr std::size_t kLeastCost = 20000;

}  // namespace

ConfigurationParseScheduler::ConfigurationParseScheduler(
    CpuShare power, ParseSchedulePolicy policy)
    : power_(power), policy_(policy), stretch_(NominalStretch()) {}

double ConfigurationParseScheduler::NominalStretch() const {
  return 1 / std::max(power_.value, kLeastPower);
}

bool ConfigurationParseScheduler::OnVersionArrived(TimePoint now) {
  if (!oldest_.has_value()) {
    oldest_ = now;
    last_held_ = nanoseconds(0);
    return true;
  }
  if (now - *oldest_ < policy_.replace_window) {
    return true;
  }
  if (!waits_since_.has_value()) {
    waits_since_ = now;
  }
  return false;
}

ParseSlice ConfigurationParseScheduler::NextSlice(std::size_t left,
                                                  TimePoint now) const {
  const duration<double, std::nano> longest = policy_.max_slice_time;
  const auto most = static_cast<std::size_t>(longest.count() / stretch_);
  ParseSlice slice;
  slice.cost = std::max(most, kLeastCost);
  const duration<double, std::nano> to_come(static_cast<double>(left) *
                                            stretch_ / policy_.share);
  const bool presses =
      !read_any_ || OldestPendingAge(now) + to_come > policy_.max_age;
  if (!presses) {
    slice.pause = std::chrono::duration_cast<nanoseconds>(
        last_held_ * (1 / policy_.share - 1));
  }
  return slice;
}

void ConfigurationParseScheduler::OnSliceDone(std::size_t cost,
                                              nanoseconds held) {
  last_held_ = std::min<nanoseconds>(held, 2 * policy_.max_slice_time);
  if (cost == 0) {
    return;
  }
  const double seen =
      static_cast<double>(held.count()) / static_cast<double>(cost);
  const double nominal = NominalStretch();
  const double believed =
      std::clamp(seen, nominal * kFastest, nominal * kSlowest);
  stretch_ += kLearned * (believed - stretch_);
}

bool ConfigurationParseScheduler::OnVersionDone() {
  read_any_ = true;
  oldest_ = waits_since_;
  waits_since_.reset();
  return oldest_.has_value();
}

nanoseconds ConfigurationParseScheduler::OldestPendingAge(TimePoint now) const {
  return oldest_.has_value() ? now - *oldest_ : nanoseconds(0);
}

}  // namespace harecrank
