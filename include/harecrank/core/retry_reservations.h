// Capacity that is reserved for the retries of rejected prompts.
//
// Without a reservation, a rejected prompt that returns at the time it was
// given finds the same queue as a new request. With one, it goes before prompts
// past their latency target that have none, and it is rejected again only if it
// can no longer finish before its caller gives up.
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

// Reservations by request fingerprint. Not thread-safe.
class RetryReservations {
 public:
  explicit RetryReservations(MonotonicClock clock);

  // Reserves capacity for a prompt of `work` whose first event is late at
  // `late_at`. The reservation is due after `delay` and is held for
  // kGracePeriod longer. Returns the time after which the caller is to return.
  // For a request that has a reservation already, that is the time left until
  // it is due, so that an early retry gains nothing.
  Millis Reserve(const RequestFingerprint& request, FractionalMillis work,
                 TimePoint late_at, Millis delay);

  // Removes the reservation of `request` if it is due and has not expired.
  // Returns the time at which the first event is late, counted from the first
  // arrival of the request, or nothing if there is no such reservation.
  std::optional<TimePoint> Redeem(const RequestFingerprint& request);

  // Removes the reservation of a request that was served before it was due.
  void Cancel(const RequestFingerprint& request);

  // Returns the total work of all reservations.
  FractionalMillis ReservedWork();

  void Clear();
  std::size_t Count() const { return reservations_.size(); }

  // How long a reservation is held after it is due. The retry travels for some
  // milliseconds, and a busy caller takes longer to send it.
  static constexpr Millis kGracePeriod{1500};
  // How much before its due time a reservation can be redeemed, since callers
  // round the time that they are given.
  static constexpr Millis kEarlyTolerance{20};
  // Beyond this number the reservation with the earliest due time is dropped.
  static constexpr std::size_t kMaxReservations = 4096;

 private:
  struct Reservation {
    TimePoint due{};
    FractionalMillis work{0};
    TimePoint late_at{};
  };
  using DueEntry = std::pair<TimePoint, RequestFingerprint>;

  void DropExpired();
  void Erase(std::map<RequestFingerprint, Reservation>::iterator found);

  MonotonicClock clock_;
  std::map<RequestFingerprint, Reservation> reservations_;
  // The same reservations ordered by due time.
  std::set<DueEntry> by_due_;
  // Sum over all reservations.
  FractionalMillis work_{0};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RETRY_RESERVATIONS_H_
