#include "harecrank/core/endpoint_scheduler.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

constexpr int kPercent = 100;
constexpr double kMillisPerSecond = 1000.0;
constexpr Millis kRetryAfterFull{1000};
constexpr Millis kRateWindow{500};
// Weight of a new throughput measurement that is below the estimate.
constexpr double kRateDecay = 0.05;

struct CodeOf {
  const char* operator()(const QueueFull&) const { return "overloaded"; }
  const char* operator()(const WouldStartTooLate&) const {
    return "overloaded";
  }
  const char* operator()(const LargerThanEngine&) const {
    return "larger_than_engine";
  }
  const char* operator()(const EndpointDraining&) const { return "draining"; }
  const char* operator()(const DeadlinePassed&) const {
    return "deadline_exceeded";
  }
};

struct RetryAfter {
  std::optional<Millis> operator()(const QueueFull& error) const {
    return error.retry_after;
  }
  std::optional<Millis> operator()(const WouldStartTooLate& error) const {
    return error.retry_after;
  }
  template <typename Other>
  std::optional<Millis> operator()(const Other&) const {
    return std::nullopt;
  }
};

}  // namespace

const char* SubmitErrorCode(const SubmitError& error) {
  return std::visit(CodeOf{}, error);
}

std::optional<Millis> RetryAfterOf(const SubmitError& error) {
  return std::visit(RetryAfter{}, error);
}

EndpointScheduler::EndpointScheduler(SchedulerOptions options,
                                     MonotonicClock clock)
    : options_(options),
      clock_(clock),
      queue_(options.queue_limit, options.long_weight_percent),
      leases_(options.memory, std::move(clock)) {}

void EndpointScheduler::Reconfigure(const SchedulerOptions& options) {
  options_ = options;
  queue_.SetLimit(options.queue_limit);
  queue_.SetLongWeightPercent(options.long_weight_percent);
  leases_.SetCapacity(options.memory);
}

leaf::result<void> EndpointScheduler::Submit(const QueuedRequest& request) {
  const TimePoint now = clock_();
  if (draining_) {
    return leaf::new_error(SubmitError{EndpointDraining{}});
  }
  // The deadline is checked on arrival as well as before the start, because a
  // message may have waited in the socket buffer of a suspended process.
  if (request.start_by <= now) {
    return leaf::new_error(SubmitError{DeadlinePassed{}});
  }
  if (options_.memory < request.cost + HeadroomFor(request.length)) {
    return leaf::new_error(SubmitError{LargerThanEngine{options_.memory}});
  }
  const auto wait = EstimatedWait();
  if (wait && now + *wait > request.start_by) {
    const auto late = now + *wait - request.start_by;
    return leaf::new_error(SubmitError{
        WouldStartTooLate{std::chrono::duration_cast<Millis>(late)}});
  }
  if (!queue_.Push(request)) {
    return leaf::new_error(
        SubmitError{QueueFull{wait ? *wait : kRetryAfterFull}});
  }
  return {};
}

std::vector<std::uint64_t> EndpointScheduler::TakeStarts() {
  std::vector<std::uint64_t> starts;
  const TimePoint now = clock_();
  const auto fits = [&](const QueuedRequest& request) {
    return request.start_by > now &&
           !(leases_.Available() < request.cost + HeadroomFor(request.length));
  };
  while (RunningStreams() < options_.max_running) {
    const auto next = queue_.PopFirst(fits);
    if (!next) {
      break;
    }
    const auto left = std::chrono::duration_cast<Millis>(next->start_by - now);
    const auto lease = leases_.Acquire(next->cost, left + kLeaseGrace);
    if (!lease) {
      break;
    }
    if (running_.empty()) {
      // Restarts the measurement, since idle time must not lower the throughput
      // estimate.
      rate_window_start_ = now;
      rate_window_tokens_ = 0;
    }
    running_.emplace(next->key,
                     Running{lease.value(), next->length, next->cost, false});
    starts.push_back(next->key);
  }
  return starts;
}

bool EndpointScheduler::Revoke(std::uint64_t key) { return queue_.Remove(key); }

void EndpointScheduler::Finish(std::uint64_t key) {
  const auto found = running_.find(key);
  if (found == running_.end()) {
    return;
  }
  leases_.Release(found->second.lease);
  if (!found->second.reservation) {
    UpdateRate(found->second);
  }
  running_.erase(found);
}

leaf::result<void> EndpointScheduler::Reserve(std::uint64_t key, Tokens amount,
                                              Millis duration) {
  if (draining_) {
    return leaf::new_error(LeaseError{OutOfMemory{Tokens{0}}});
  }
  BOOST_LEAF_AUTO(lease, leases_.Acquire(amount, duration,
                                         HeadroomFor(LengthClass::kLong)));
  running_.emplace(key, Running{lease, LengthClass::kLong, amount, true});
  return {};
}

leaf::result<void> EndpointScheduler::Renew(std::uint64_t key,
                                            Millis duration) {
  const auto found = running_.find(key);
  if (found == running_.end()) {
    return leaf::new_error(LeaseError{UnknownLease{}});
  }
  return leases_.Renew(found->second.lease, duration);
}

std::vector<QueuedRequest> EndpointScheduler::DropOverdue() {
  return queue_.DropOverdue(clock_());
}

std::vector<std::uint64_t> EndpointScheduler::DropExpiredLeases() {
  std::vector<std::uint64_t> ended;
  leases_.DropExpired();
  for (auto run = running_.begin(); run != running_.end();) {
    // Checks every lease instead of using the return value of DropExpired,
    // because other LeaseTable operations also drop expired leases.
    if (leases_.Holds(run->second.lease)) {
      ++run;
      continue;
    }
    ended.push_back(run->first);
    run = running_.erase(run);
  }
  return ended;
}

LoadReport EndpointScheduler::Report() {
  LoadReport report;
  report.short_backlog = queue_.Backlog(LengthClass::kShort);
  report.long_backlog = queue_.Backlog(LengthClass::kLong);
  for (const auto& run : running_) {
    Tokens& backlog = run.second.length == LengthClass::kShort
                          ? report.short_backlog
                          : report.long_backlog;
    backlog = backlog + run.second.cost;
  }
  report.free_memory = leases_.Available();
  report.memory = options_.memory;
  report.running = static_cast<int>(running_.size());
  return report;
}

Tokens EndpointScheduler::HeadroomFor(LengthClass length) const {
  if (length == LengthClass::kShort) {
    return Tokens{0};
  }
  return Tokens{options_.memory.value * options_.short_headroom_percent /
                kPercent};
}

std::optional<Millis> EndpointScheduler::EstimatedWait() const {
  if (rate_ <= 0) {
    return std::nullopt;
  }
  const Tokens waiting =
      queue_.Backlog(LengthClass::kShort) + queue_.Backlog(LengthClass::kLong);
  const double millis =
      static_cast<double>(waiting.value) / rate_ * kMillisPerSecond;
  return Millis(static_cast<std::int64_t>(millis));
}

void EndpointScheduler::UpdateRate(const Running& run) {
  const TimePoint now = clock_();
  rate_window_tokens_ += static_cast<double>(run.cost.value);
  const std::chrono::duration<double> window = now - rate_window_start_;
  if (now - rate_window_start_ < kRateWindow) {
    return;
  }
  const double measured = rate_window_tokens_ / window.count();
  // The measured throughput underestimates the capacity of the endpoint when it
  // has little work. So the estimate rises at once and falls slowly. An
  // estimate that is too low is worse than one that is too high: it rejects
  // requests that could have been served, whereas a request that cannot start
  // in time is still dropped at its deadline.
  rate_ = measured > rate_ ? measured : rate_ + kRateDecay * (measured - rate_);
  rate_window_tokens_ = 0;
  rate_window_start_ = now;
}

std::size_t EndpointScheduler::RunningStreams() const {
  std::size_t streams = 0;
  for (const auto& run : running_) {
    streams += run.second.reservation ? 0 : 1;
  }
  return streams;
}

}  // namespace harecrank
