// What one sidecar does with the requests for its endpoint: take, refuse,
// start, drop.

#ifndef HARECRANK_CORE_ENDPOINT_SCHEDULER_H_
#define HARECRANK_CORE_ENDPOINT_SCHEDULER_H_

#include <boost/leaf.hpp>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "harecrank/core/fair_queue.h"
#include "harecrank/core/lease_table.h"
#include "harecrank/core/router.h"

namespace harecrank {

// Why a request was not taken. None of these ran.
struct QueueFull {
  Millis retry_after;
};
struct WouldStartTooLate {
  Millis retry_after;
};
struct LargerThanEngine {
  Tokens memory;
};
struct EndpointDraining {};
struct DeadlinePassed {};
using SubmitError = std::variant<QueueFull, WouldStartTooLate, LargerThanEngine,
                                 EndpointDraining, DeadlinePassed>;

// The stable word for `error` that callers see.
const char* SubmitErrorCode(const SubmitError& error);

// When to come back, where that makes sense.
std::optional<Millis> RetryAfterOf(const SubmitError& error);

// How a scheduler is set.
struct SchedulerOptions {
  Tokens memory;
  std::size_t queue_limit = 512;
  std::size_t max_running = 64;
  int long_weight_percent = 50;
  int short_headroom_percent = 10;
};

// Decides which requests run at one endpoint, and when.
//
// Events in, decisions out. Not thread-safe; its owner serialises calls.
class EndpointScheduler {
 public:
  EndpointScheduler(SchedulerOptions options, MonotonicClock clock);

  // Changes the policy, and the memory as the engine reports it.
  void Reconfigure(const SchedulerOptions& options);

  // Takes a request to wait for its start. On an error it will never start.
  boost::leaf::result<void> Submit(const QueuedRequest& request);

  // Returns the keys of the requests to start now, with their memory leased
  // until `start_by` plus kLeaseGrace. Each is started once.
  std::vector<std::uint64_t> TakeStarts();

  // Withdraws a request. Returns true if it had not started; then it never
  // will.
  bool Revoke(std::uint64_t key);

  // Gives back what a started request or a reservation held.
  void Finish(std::uint64_t key);

  // Reserves memory under `key` for a part of a group's prompt, without
  // waiting. Fails with OutOfMemory as LeaseError.
  boost::leaf::result<void> Reserve(std::uint64_t key, Tokens amount,
                                    Millis duration);

  // Moves the end of what `key` holds to `duration` from now. Fails with
  // UnknownLease if it has ended: the holder must stop.
  boost::leaf::result<void> Renew(std::uint64_t key, Millis duration);

  // Drops the requests that can no longer start in time and returns them. They
  // did not run.
  std::vector<QueuedRequest> DropOverdue();

  // Returns the keys whose lease has ended. Their work must be cancelled.
  std::vector<std::uint64_t> DropExpiredLeases();

  // From now on nothing new is taken; what was taken goes on.
  void Drain() { draining_ = true; }
  bool IsDraining() const { return draining_; }
  bool IsIdle() const { return running_.empty() && queue_.Size() == 0; }

  LoadReport Report();
  std::size_t QueueSize() const { return queue_.Size(); }
  std::size_t LeaseCount() const { return leases_.Count(); }

  // How long past its deadline a run keeps its memory, so that the engine's
  // cancel is done before the memory counts as free.
  static constexpr Millis kLeaseGrace{2000};

 private:
  struct Running {
    LeaseId lease;
    LengthClass length = LengthClass::kShort;
    Tokens cost;
    bool reservation = false;
  };

  Tokens HeadroomFor(LengthClass length) const;
  std::optional<Millis> EstimatedWait() const;
  void LearnRate(const Running& run);
  std::size_t RunningStreams() const;

  SchedulerOptions options_;
  MonotonicClock clock_;
  FairQueue queue_;
  LeaseTable leases_;
  std::unordered_map<std::uint64_t, Running> running_;
  // Tokens of work that the endpoint can end a second. Zero until known.
  double rate_ = 0;
  TimePoint rate_window_began_{};
  double rate_window_tokens_ = 0;
  bool draining_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_SCHEDULER_H_
