// Capacity that is reserved for the retries of rejected prompts.
//
// Without a reservation, a rejected prompt that is retried at the time stated
// in the rejection would queue like a new request. With a reservation, it goes
// before prompts without one that can no longer meet their latency target, and
// it is rejected again only if it can no longer finish before its caller gives
// up.
//
// Reservations are soft state. They are lost when the planner fails, and the
// next planner treats the retries as new requests.

#ifndef HARECRANK_CORE_RETRY_RESERVATIONS_H_
#define HARECRANK_CORE_RETRY_RESERVATIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/request_fingerprint.h"

namespace harecrank {

// Holds the reservations of rejected prompts, by request fingerprint, until
// their retries arrive. Not thread-safe.
class RetryReservations {
 public:
  explicit RetryReservations(MonotonicClock clock);

  // Reserves capacity for a prompt of `work` whose first event is late at
  // `late_at`. The reservation is due after `delay` and is held for
  // kGracePeriod longer. Returns the delay after which the caller should retry.
  // If the request already has a reservation, returns the time left until that
  // reservation is due, so that an early retry gains nothing.
  Millis Reserve(const RequestFingerprint& request, FractionalMillis work,
                 TimePoint late_at, Millis delay);

  // Removes the reservation of `request` if it is due and has not expired.
  // Returns the time from which the first event is late, where the latency
  // target is counted from the first arrival of the request. Returns nothing if
  // the request has no reservation that is due.
  std::optional<TimePoint> Redeem(const RequestFingerprint& request);

  // Removes the reservation of `request`, if any, because the request was
  // served without redeeming it.
  void Cancel(const RequestFingerprint& request);

  // Returns the total work of all reservations.
  FractionalMillis ReservedWork();

  void Clear();
  std::size_t Count() const { return reservations_.size(); }

  // How long a reservation is held after it is due. A retry takes some
  // milliseconds to arrive, and a busy caller may send it late.
  static constexpr Millis kGracePeriod{1500};
  // How long before its due time a reservation can be redeemed, since callers
  // round the retry delay that a rejection states.
  static constexpr Millis kEarlyTolerance{20};
  // Maximum number of reservations. If it is reached, a new reservation
  // replaces the one with the earliest due time.
  static constexpr std::size_t kMaxReservations = 4096;

 private:
  // Capacity that is reserved for one rejected prompt.
  struct Reservation {
    TimePoint due{};
    FractionalMillis work{0};
    // Time from which the first event is late; the latency target is counted
    // from the first arrival of the request.
    TimePoint late_at{};
  };
  using DueEntry = std::pair<TimePoint, RequestFingerprint>;

  void DropExpired();
  void Erase(std::map<RequestFingerprint, Reservation>::iterator found);

  MonotonicClock clock_;
  std::map<RequestFingerprint, Reservation> reservations_;
  // The same reservations ordered by due time.
  std::set<DueEntry> by_due_;
  // Total work of all reservations.
  FractionalMillis work_{0};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RETRY_RESERVATIONS_H_
