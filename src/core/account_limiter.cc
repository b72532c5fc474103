#include "harecrank/core/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harecrank {
namespace {

constexpr double kBurstSeconds = 1.0;
constexpr double kMillisPerSecond = 1000.0;

}  // namespace

AccountLimiter::AccountLimiter(MonotonicClock clock)
    : clock_(std::move(clock)) {}

std::optional<Millis> AccountLimiter::Charge(const AccountId& account,
                                             Tokens fleet_rate, int entries,
                                             Tokens cost) {
  if (fleet_rate.value <= 0) {
    return std::nullopt;
  }
  const TimePoint now = clock_();
  const double rate =
      static_cast<double>(fleet_rate.value) / std::max(entries, 1);
  const double depth = rate * kBurstSeconds;
  const auto inserted = buckets_.emplace(account, Bucket{depth, now});
  Bucket& bucket = inserted.first->second;
  const std::chrono::duration<double> elapsed = now - bucket.filled;
  bucket.level = std::min(depth, bucket.level + rate * elapsed.count());
  bucket.filled = now;
  // A request is admitted at any positive level and may make it negative.
  // Otherwise a host whose part is smaller than the cost of a prompt would
  // reject that prompt forever.
  if (bucket.level <= 0) {
    const double wait = (1.0 - bucket.level) / rate * kMillisPerSecond;
    return Millis(static_cast<std::int64_t>(std::ceil(wait)));
  }
  bucket.level -= static_cast<double>(cost.value);
  return std::nullopt;
}

void AccountLimiter::Refund(const AccountId& account, Tokens cost) {
  const auto found = buckets_.find(account);
  if (found != buckets_.end()) {
    found->second.level += static_cast<double>(cost.value);
  }
}

}  // namespace harecrank
