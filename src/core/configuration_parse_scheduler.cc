#include "harecrank/core/configuration_parse_scheduler.h"

#include <algorithm>

namespace harecrank {
namespace {

using std::chrono::duration;
using std::chrono::nanoseconds;

// Lower bound of the CPU share (fraction of one core), used if the setting is
// missing or too small.
constexpr double kMinCpuShare = 0.01;
// Weight of a new slice in the moving average of the slowdown.
constexpr double kSmoothing = 0.25;
// Bounds for the measured slowdown of one slice, as multiples of the nominal
// slowdown. A suspension of the process or a coarse clock would otherwise
// distort the moving average.
constexpr double kMinSlowdownFactor = 0.5;
constexpr double kMaxSlowdownFactor = 4;
// Minimum cost of a slice, in nanoseconds on a whole core (20 us). Starting a
// smaller slice would cost more than its work.
constexpr std::size_t kMinSliceCost = 20000;

}  // namespace

ConfigurationParseScheduler::ConfigurationParseScheduler(
    CpuShare cpu_share, ParseSchedulePolicy policy)
    : cpu_share_(cpu_share), policy_(policy), slowdown_(NominalSlowdown()) {}

double ConfigurationParseScheduler::NominalSlowdown() const {
  return 1 / std::max(cpu_share_.value, kMinCpuShare);
}

bool ConfigurationParseScheduler::OnVersionArrived(TimePoint now) {
  if (!oldest_since_.has_value()) {
    oldest_since_ = now;
    last_slice_time_ = nanoseconds(0);
    return true;
  }
  if (now - *oldest_since_ < policy_.replace_window) {
    return true;
  }
  if (!pending_since_.has_value()) {
    pending_since_ = now;
  }
  return false;
}

ParseSlice ConfigurationParseScheduler::NextSlice(std::size_t remaining_cost,
                                                  TimePoint now) const {
  const duration<double, std::nano> max_time = policy_.max_slice_time;
  const auto max_cost = static_cast<std::size_t>(max_time.count() / slowdown_);
  ParseSlice slice;
  slice.cost = std::max(max_cost, kMinSliceCost);
  const duration<double, std::nano> remaining_time(
      static_cast<double>(remaining_cost) * slowdown_ / policy_.parse_share);
  const bool is_urgent =
      !has_parsed_any_ || BacklogAge(now) + remaining_time > policy_.max_age;
  if (!is_urgent) {
    slice.pause = std::chrono::duration_cast<nanoseconds>(
        last_slice_time_ * (1 / policy_.parse_share - 1));
  }
  return slice;
}

void ConfigurationParseScheduler::OnSliceDone(std::size_t cost,
                                              nanoseconds elapsed) {
  last_slice_time_ = std::min<nanoseconds>(elapsed, 2 * policy_.max_slice_time);
  if (cost == 0) {
    return;
  }
  const double measured =
      static_cast<double>(elapsed.count()) / static_cast<double>(cost);
  const double nominal = NominalSlowdown();
  const double clamped = std::clamp(measured, nominal * kMinSlowdownFactor,
                                    nominal * kMaxSlowdownFactor);
  slowdown_ += kSmoothing * (clamped - slowdown_);
}

bool ConfigurationParseScheduler::OnVersionDone() {
  has_parsed_any_ = true;
  oldest_since_ = pending_since_;
  pending_since_.reset();
  return oldest_since_.has_value();
}

nanoseconds ConfigurationParseScheduler::BacklogAge(TimePoint now) const {
  return oldest_since_.has_value() ? now - *oldest_since_ : nanoseconds(0);
}

}  // namespace harecrank
