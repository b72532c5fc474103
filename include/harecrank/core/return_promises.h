// Promises to callers of rejected prompts, by request fingerprint.
//
// A rejection states when the caller should return. Without a promise, who
// returns at that time queues like a new request. A promise keeps engine time
// for the prompt: it takes part in each pass of the planner as a waiting prompt
// that cannot begin before the stated time (long_prompt_schedule.h). Who
// returns takes the place of the promise in the order.
//
// Promises are soft state. Those of a failed planner are lost unless another
// host has taken them over, and who returns is then a new request.

#ifndef HARECRANK_CORE_RETURN_PROMISES_H_
#define HARECRANK_CORE_RETURN_PROMISES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/long_prompt_schedule.h"
#include "harecrank/core/prefill_group.h"
#include "harecrank/core/request_fingerprint.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// What the caller of one rejected prompt was told.
struct ReturnPromise {
  RequestFingerprint request;
  // Service on whose timetable the prompt has room. Empty if only the time was
  // told and no room is kept there.
  ServiceName service;
  // The prompt. Without room on a timetable only `prefill_time` is used.
  LongPrompt prompt;
  // Time at which the caller should return.
  TimePoint return_at{};
  // Time after which the first event is late. The latency target is counted
  // from the first arrival of the request.
  TimePoint first_event_due{};
  // Time after which a first event is of no use to a caller that returns at
  // `return_at`.
  TimePoint last_useful_event{};
  // Number of usable engines of the service when the promise was made.
  std::size_t engines = 0;

  bool HasRoom() const { return !service.value.empty(); }
};

// Why a caller that returned with a promise was rejected again.
enum class BrokenPromiseCause {
  // Engines have left since the promise was made.
  kEnginesLeft,
  // The caller has less time left than it had stated.
  kNearerDeadline,
  // Neither of these; more urgent prompts have taken the engine time.
  kOther
};

// Numbers of promises since the process started.
struct PromiseCounts {
  std::uint64_t made = 0;
  // Promises whose caller returned and was placed (`kept`), or was rejected
  // again (`broken`).
  std::uint64_t kept = 0;
  std::uint64_t broken = 0;
  // The broken ones of two causes.
  std::uint64_t broken_engines_left = 0;
  std::uint64_t broken_nearer_deadline = 0;
};

// Holds promises until their callers return. Not thread-safe.
class ReturnPromises {
 public:
  explicit ReturnPromises(MonotonicClock clock);

  // Records `promise`, which is held until kGracePeriod after its `return_at`.
  // Returns the delay after which the caller should return. If the caller was
  // told a time before that is still to come, nothing changes and the time left
  // until then is returned, so that an early return gains nothing.
  Millis Make(ReturnPromise promise);

  // Returns the promise for `request`, due or not, or null if there is none.
  const ReturnPromise* Find(const RequestFingerprint& request);

  // Removes the promise for `request` if it is due and has not expired. Returns
  // it, or nothing if there is no promise that is due.
  std::optional<ReturnPromise> Redeem(const RequestFingerprint& request);

  // Removes the promise for `request`, if any, because the request was served
  // without redeeming it or waits in the place of the promise.
  void Cancel(const RequestFingerprint& request);

  // Returns the prompts of `service` with room on its timetable, the first due
  // first and at most `limit`. A caller that is overdue by more than kRoomGrace
  // has no room any more, although its promise is still held.
  std::vector<WaitingPrompt> Open(const ServiceName& service,
                                  std::size_t limit);

  // Returns whether `id` is that of a prompt returned by Open(), and not of a
  // prompt in a wait queue.
  static bool IsPromise(WaitingRequestId id);

  // Returns the prefill time, on a single engine, of all promised prompts.
  FractionalMillis PromisedWork();

  // Counts a promise whose caller was placed, or was rejected again.
  void OnKept() { ++counts_.kept; }
  void OnBroken(BrokenPromiseCause cause);

  // Returns all promises, for another host that stands by.
  std::vector<ReturnPromise> Entries() const;
  // Adds a promise that another host has made, in place of one for the same
  // request. Does not count it as made.
  void Restore(ReturnPromise promise);

  // Removes the promises whose grace period is over.
  void DropExpired();

  void Clear();
  std::size_t Count() const { return promises_.size(); }
  const PromiseCounts& Counts() const { return counts_; }

  // How long a promise is held after it is due. A new connection may take a
  // second to open, and a busy caller may return late.
  static constexpr Millis kGracePeriod{1500};
  // How long engine time is kept for a caller that is overdue.
  static constexpr Millis kRoomGrace{300};
  // How long before its due time a promise can be redeemed, since callers round
  // the delay that a rejection states.
  static constexpr Millis kEarlyTolerance{20};
  // Maximum number of promises. If it is reached, a new promise replaces the
  // one with the earliest due time.
  static constexpr std::size_t kMaxPromises = 4096;

 private:
  using DueEntry = std::pair<TimePoint, RequestFingerprint>;
  using Promises = std::map<RequestFingerprint, ReturnPromise>;

  // Returns whether the promise is due, up to the tolerance.
  bool IsDue(const ReturnPromise& promise) const;
  void Insert(ReturnPromise promise);
  void Erase(Promises::iterator found);

  MonotonicClock clock_;
  Promises promises_;
  // The same promises ordered by due time.
  std::set<DueEntry> by_due_;
  // Prefill time of all promised prompts.
  FractionalMillis work_{0};
  PromiseCounts counts_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RETURN_PROMISES_H_
