// Scheduler of the requests at one sidecar's endpoint.

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

// Reasons for which EndpointScheduler rejects a request. A rejected request has
// not run.
struct QueueFull {
  Millis retry_after;
};
// By the estimate, the request would start after its latest start time.
struct WouldStartTooLate {
  Millis retry_after;
};
// The request needs more KV memory than the engine has for requests of its
// length class. `memory` is the whole memory of the engine.
struct LargerThanEngine {
  Tokens memory;
};
struct EndpointDraining {};
// The latest start time of the request has passed.
struct DeadlinePassed {};
using SubmitError = std::variant<QueueFull, WouldStartTooLate, LargerThanEngine,
                                 EndpointDraining, DeadlinePassed>;

// Returns the error code that callers see for `error`. The codes do not change
// between versions.
const char* SubmitErrorCode(const SubmitError& error);

// Returns the time after which a retry may succeed, or nothing if a retry at
// this endpoint would fail.
std::optional<Millis> RetryAfterOf(const SubmitError& error);

// Capacity of one endpoint, and how it is divided between short and long
// requests.
struct SchedulerOptions {
  // KV memory of the engine.
  Tokens memory;
  // Maximum number of waiting requests (`queue_limit`), and of running requests
  // (`max_running`).
  std::size_t queue_limit = 512;
  std::size_t max_running = 64;
  // Weight of long requests relative to short ones, 1 to 100.
  int long_weight_percent = 50;
  // Percentage of the memory that long requests leave free for short ones.
  int short_headroom_percent = 10;
};

// Decides which requests run at one endpoint, and when. Performs no I/O: the
// owner reports events and carries out the returned decisions. Not thread-safe;
// the owner serialises calls.
class EndpointScheduler {
 public:
  EndpointScheduler(SchedulerOptions options, MonotonicClock clock);

  // Replaces the options, including the memory that the engine reports.
  void Reconfigure(const SchedulerOptions& options);

  // Queues a request, or fails with SubmitError; a request that fails never
  // starts.
  boost::leaf::result<void> Submit(const QueuedRequest& request);

  // Returns the keys of the requests that the owner must start now, and leases
  // memory for each until its `start_by` plus kLeaseGrace. Each key is returned
  // once.
  std::vector<std::uint64_t> TakeStarts();

  // Removes a request from the queue. Returns true if it had not started; it
  // then never will.
  bool Revoke(std::uint64_t key);

  // Releases the memory of a started request or of a reservation that has
  // ended.
  void Finish(std::uint64_t key);

  // Reserves memory under `key` for the part of a long prompt that this
  // endpoint prefills as a member of a group of endpoints. Does not wait for
  // free memory: fails with LeaseError OutOfMemory.
  boost::leaf::result<void> Reserve(std::uint64_t key, Tokens amount,
                                    Millis duration);

  // Extends the lease of `key` to `duration` from now. Fails with LeaseError
  // UnknownLease if the lease has expired; the holder must then stop its work.
  boost::leaf::result<void> Renew(std::uint64_t key, Millis duration);

  // Removes and returns the queued requests whose latest start time has passed.
  // They have not run.
  std::vector<QueuedRequest> DropOverdue();

  // Removes and returns the keys whose leases have expired. The caller must
  // cancel their work.
  std::vector<std::uint64_t> DropExpiredLeases();

  // Rejects new requests from now on. Queued and running ones continue.
  void Drain() { draining_ = true; }
  bool IsDraining() const { return draining_; }
  bool IsIdle() const { return running_.empty() && queue_.Size() == 0; }

  LoadReport Report();
  std::size_t QueueSize() const { return queue_.Size(); }
  std::size_t LeaseCount() const { return leases_.Count(); }

  // How long a started request keeps its memory after its `start_by`, unless
  // the lease is renewed. The engine completes a cancellation within this time,
  // before the memory counts as free.
  static constexpr Millis kLeaseGrace{2000};

 private:
  // A started request, or a reservation for a part of a prompt.
  struct Running {
    LeaseId lease;
    LengthClass length = LengthClass::kShort;
    Tokens cost;
    bool reservation = false;
  };

  Tokens HeadroomFor(LengthClass length) const;
  std::optional<Millis> EstimatedWait() const;
  void UpdateRate(const Running& finished);
  std::size_t RunningStreams() const;

  SchedulerOptions options_;
  MonotonicClock clock_;
  FairQueue queue_;
  LeaseTable leases_;
  std::unordered_map<std::uint64_t, Running> running_;
  // Estimated throughput of the endpoint in tokens per second. Zero until the
  // first estimate.
  double rate_ = 0;
  TimePoint rate_window_start_{};
  // Total cost, in tokens, of the requests that have finished since
  // `rate_window_start_`.
  double rate_window_tokens_ = 0;
  bool draining_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_SCHEDULER_H_
