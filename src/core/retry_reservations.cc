#include "harecrank/core/retry_reservations.h"

#include <algorithm>

namespace harecrank {

RetryReservations::RetryReservations(MonotonicClock clock)
    : clock_(std::move(clock)) {}

Millis RetryReservations::Reserve(const RequestFingerprint& request,
                                  FractionalMillis work, TimePoint late_at,
                                  Millis delay) {
  DropExpired();
  const TimePoint now = clock_();
  const auto found = reservations_.find(request);
  if (found != reservations_.end()) {
    const Millis left =
        std::chrono::duration_cast<Millis>(found->second.due - now);
    if (left > kEarlyTolerance) {
      return left;
    }
    late_at = found->second.late_at;
    Erase(found);
  }
  if (reservations_.size() >= kMaxReservations) {
    Erase(reservations_.find(by_due_.begin()->second));
  }
  reservations_.emplace(request, Reservation{now + delay, work, late_at});
  by_due_.emplace(now + delay, request);
  work_ += work;
  return delay;
}

std::optional<TimePoint> RetryReservations::Redeem(
    const RequestFingerprint& request) {
  DropExpired();
  const auto found = reservations_.find(request);
  if (found == reservations_.end() ||
      clock_() + kEarlyTolerance < found->second.due) {
    return std::nullopt;
  }
  const TimePoint late_at = found->second.late_at;
  Erase(found);
  return late_at;
}

void RetryReservations::Cancel(const RequestFingerprint& request) {
  const auto found = reservations_.find(request);
  if (found != reservations_.end()) {
    Erase(found);
  }
}

FractionalMillis RetryReservations::ReservedWork() {
  DropExpired();
  return reservations_.empty() ? FractionalMillis(0) : work_;
}

void RetryReservations::Clear() {
  reservations_.clear();
  by_due_.clear();
  work_ = FractionalMillis(0);
}

void RetryReservations::DropExpired() {
  const TimePoint now = clock_();
  while (!by_due_.empty() && now - by_due_.begin()->first > kGracePeriod) {
    Erase(reservations_.find(by_due_.begin()->second));
  }
}

void RetryReservations::Erase(
    std::map<RequestFingerprint, Reservation>::iterator found) {
  by_due_.erase({found->second.due, found->first});
  work_ -= found->second.work;
  reservations_.erase(found);
}

}  // namespace harecrank
