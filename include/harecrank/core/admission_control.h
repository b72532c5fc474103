// Who waits for engines, who is turned away, and when they are to return.
//
// The load that it answers: more prompts than the engines read. Those that can
// be in time wait in order; those that will be late but still of use wait for
// what the others leave over; the rest are told at once, truly not run, when
// room is foreseen, and find it when they return.

#ifndef HARECRANK_CORE_ADMISSION_CONTROL_H_
#define HARECRANK_CORE_ADMISSION_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "harecrank/core/capacity_forecast.h"
#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/placement.h"
#include "harecrank/core/placement_policy.h"
#include "harecrank/core/retry_reservations.h"
#include "harecrank/core/wait_queue.h"

namespace harecrank {

// Prompts of which kind compete with each other.
enum class PromptKind { kShort, kLong };

// One that has no place.
struct AdmissionCandidate {
  const PlacementRequest* request = nullptr;
  // How long one engine alone reads its prompt.
  FractionalMillis work{0};
  PromptKind kind = PromptKind::kLong;
  // Since it came, this time.
  FractionalMillis age{0};
  // It waits already: it is turned away only where that is beyond doubt.
  bool waits = false;
  // It was turned away before and came at the time that it was told.
  bool has_reservation = false;
  // Engines that may be used.
  std::size_t engines = 0;
};

// What waits before it.
struct WorkAhead {
  FractionalMillis in_time{0};
  FractionalMillis late{0};
  // The least work of those that wait and cannot be in time any more: one that
  // comes now and takes longer fares no better, whatever was foreseen.
  std::optional<FractionalMillis> least_late;
};

// What became of promises since the start.
struct ReservationCounts {
  std::uint64_t made = 0;
  // Who returned got a place, or was turned away again.
  std::uint64_t kept = 0;
  std::uint64_t broken = 0;
};

// Returns how long a caller of `request` waits for a first event.
FractionalMillis FirstEventTimeout(const PlacementRequest& request,
                                   const PlacementPolicy& policy);

// Not thread-safe.
class AdmissionControl {
 public:
  AdmissionControl(const PlacementPolicy& policy, const MonotonicClock& clock);

  // Returns whether `seeker` tells enough to decide by.
  bool CanDecide(const AdmissionCandidate& seeker) const;

  // Notes one that came. If it was promised room, returns until when it is in
  // time, counted from its first coming.
  std::optional<TimePoint> OnArrival(const AdmissionCandidate& seeker);
  // Notes one that was given a place.
  void OnStarted(const AdmissionCandidate& seeker);
  // Notes whether any of `kind` waits.
  void OnWaiting(PromptKind kind, bool any) { ForecastOf(kind).OnWaiting(any); }

  // Returns whether one that can no longer be in time may start. It leaves room
  // for those that can, which wait or are about to come, unless it was told to
  // return. Short ones leave it on each engine (PlacementPolicy).
  bool MayStart(const WaitingRequest& waiter, PromptKind kind, TimePoint now,
                const WorkAhead& ahead) const;

  // Returns from when on one that was promised room goes before all others: a
  // target before it could not be served any more.
  TimePoint UrgentFrom(const AdmissionCandidate& seeker) const;

  // Returns nothing if `seeker` should wait, or else its refusal, with the
  // promise made. CanDecide(seeker) must hold.
  std::optional<QueryRejected> RejectionOf(const AdmissionCandidate& seeker,
                                           const WorkAhead& ahead);

  // Forgets what it promised.
  void Clear() { promises_.Clear(); }
  std::size_t ReservationCount() const { return promises_.Count(); }
  const ReservationCounts& Counts() const { return counts_; }

  // No caller is told to return sooner.
  static constexpr Millis kMinRetryAfter{100};

 private:
  CapacityForecast& ForecastOf(PromptKind kind) {
    return kind == PromptKind::kShort ? short_ : long_;
  }
  PromptTiming TimeOf(const AdmissionCandidate& seeker) const;
  QueryRejected Refuse(const AdmissionCandidate& seeker,
                       const WorkAhead& ahead);

  PlacementPolicy policy_;
  MonotonicClock clock_;
  CapacityForecast short_;
  CapacityForecast long_;
  RetryReservations promises_;
  ReservationCounts counts_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ADMISSION_CONTROL_H_
