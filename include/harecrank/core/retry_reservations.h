// Who was turned away and told when to return.
//
// The load that it answers: prompts that find no room, are told to come later,
// and meet the same queue as a stranger then. Whoever returns at the time that
// it was told goes before its like and is not turned away again.
//
// All of it is soft: a planner that dies takes its promises along, and whoever
// returns to the next one is a stranger there.

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

// Not thread-safe.
class RetryReservations {
 public:
  explicit RetryReservations(MonotonicClock clock);

  // Promises room for a prompt of `work`, late at `late_at`, from `after` on,
  // for kGracePeriod. Returns when its caller should come: who has a promise
  // already is told the same time again, so that repeating at once gains
  // nothing.
  Millis Reserve(const RequestFingerprint& request, FractionalMillis work,
                 TimePoint late_at, Millis after);

  // Takes the promise that `request` has come back for, if it holds now.
  // Returns until when it is in time: its caller counts from its first coming.
  std::optional<TimePoint> Redeem(const RequestFingerprint& request);

  // Drops the promise to a request that was served before it came due.
  void Cancel(const RequestFingerprint& request);

  // Returns the work of all that have not come back yet.
  FractionalMillis ReservedWork();

  void Clear();
  std::size_t Count() const { return promises_.size(); }

  // How long room is kept for who was told to return: callers are on their way
  // for some milliseconds, and busy ones take longer to come.
  static constexpr Millis kGracePeriod{1500};
  // Callers round the time that they are told.
  static constexpr Millis kEarlyTolerance{20};
  // What is remembered at once; the promise that ends first goes beyond it.
  static constexpr std::size_t kMaxReservations = 4096;

 private:
  struct Held {
    TimePoint due{};
    FractionalMillis work{0};
    TimePoint late_at{};
  };
  using Ending = std::pair<TimePoint, RequestFingerprint>;

  void DropExpired();
  void Erase(std::map<RequestFingerprint, Held>::iterator found);

  MonotonicClock clock_;
  std::map<RequestFingerprint, Held> promises_;
  // The same by the time that they come due.
  std::set<Ending> by_due_;
  FractionalMillis work_{0};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RETRY_RESERVATIONS_H_
