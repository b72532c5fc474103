// Admission of long prompts that are planned on the timetable of the engines.
//
// A pass of the planner (long_prompt_schedule.h) predicts for each prompt
// whether it is served in time, late, or not before its caller gives up. A
// prompt of the first two kinds waits for its planned start. A prompt of the
// third kind is rejected at once, since waiting would not help it. The
// rejection states when the timetable has room for it. If a caller that returns
// then can still be served, that room is kept for it (return_promises.h).

#ifndef HARECRANK_CORE_ROOM_ADMISSION_H_
#define HARECRANK_CORE_ROOM_ADMISSION_H_

#include <cstddef>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_timetable.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/long_prompt_schedule.h"
#include "harecrank/core/request_fingerprint.h"
#include "harecrank/core/return_promises.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// The caller of a long prompt, as far as a time to return depends on it.
struct ReturningCaller {
  RequestFingerprint request;
  ServiceName service;
  // Latest first event after which the answer still ends before the caller's
  // deadline.
  TimePoint last_event_before_deadline{};
  // Time that the caller waits for a first event after each arrival.
  FractionalMillis first_event_timeout{0};
  // Number of usable engines of the service.
  std::size_t engines = 0;
  // The promise with which the caller has returned, if any.
  std::optional<ReturnPromise> promise;
};

// Decides whether planned prompts wait, and when rejected callers should
// return. Not thread-safe.
class RoomAdmission {
 public:
  // `promises` must outlive this.
  explicit RoomAdmission(ReturnPromises* promises) : promises_(promises) {}

  // Decides about `prompt`, for which a pass has made `plan`. Returns nothing
  // if it waits for its planned start. Otherwise returns the rejection. A
  // request that may have run is not rejected. `timetable` holds all
  // reservations of the pass; room that is promised is added to it.
  std::optional<QueryRejected> RejectionOf(const WaitingPrompt& prompt,
                                           const PromptPlan& plan,
                                           const ReturningCaller& caller,
                                           EngineTimetable* timetable);

  // Returns a rejection with the time at which `timetable` has room for
  // `prompt` again, and promises this room if a caller that returns then can
  // still be served. The time is unset if the prompt fits on no group of
  // engines or the request has no fingerprint.
  QueryRejected RejectUntilRoom(const WaitingPrompt& prompt,
                                const ReturningCaller& caller,
                                EngineTimetable* timetable);

  // Shortest delay that a rejection states.
  static constexpr Millis kMinReturnDelay{100};

 private:
  // Counts the promise with which the caller has returned as broken, if any.
  void CountBroken(const WaitingPrompt& prompt, const ReturningCaller& caller);

  ReturnPromises* promises_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ROOM_ADMISSION_H_
