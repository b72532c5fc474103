#include "harecrank/core/return_promises.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Ids of promised prompts start here. Wait queues count their ids from one and
// never reach it.
constexpr std::uint64_t kFirstPromiseId = std::uint64_t{1} << 63;

}  // namespace

ReturnPromises::ReturnPromises(MonotonicClock clock)
    : clock_(std::move(clock)) {}

bool ReturnPromises::IsDue(const ReturnPromise& promise) const {
  return clock_() + kEarlyTolerance >= promise.return_at;
}

Millis ReturnPromises::Make(ReturnPromise promise) {
  DropExpired();
  const auto found = promises_.find(promise.request);
  if (found != promises_.end()) {
    if (!IsDue(found->second)) {
      return std::chrono::duration_cast<Millis>(found->second.return_at -
                                                clock_());
    }
    promise.first_event_due = found->second.first_event_due;
  }
  const Millis delay =
      std::chrono::duration_cast<Millis>(promise.return_at - clock_());
  ++counts_.made;
  Insert(std::move(promise));
  return delay;
}

const ReturnPromise* ReturnPromises::Find(const RequestFingerprint& request) {
  DropExpired();
  const auto found = promises_.find(request);
  return found == promises_.end() ? nullptr : &found->second;
}

std::optional<ReturnPromise> ReturnPromises::Redeem(
    const RequestFingerprint& request) {
  DropExpired();
  const auto found = promises_.find(request);
  if (found == promises_.end() || !IsDue(found->second)) {
    return std::nullopt;
  }
  ReturnPromise promise = std::move(found->second);
  Erase(found);
  return promise;
}

void ReturnPromises::Cancel(const RequestFingerprint& request) {
  const auto found = promises_.find(request);
  if (found != promises_.end()) {
    Erase(found);
  }
}

std::vector<WaitingPrompt> ReturnPromises::Open(const ServiceName& service,
                                                std::size_t limit) {
  DropExpired();
  const TimePoint now = clock_();
  std::vector<WaitingPrompt> open;
  std::uint64_t id = kFirstPromiseId;
  for (const auto& [return_at, request] : by_due_) {
    if (open.size() == limit) {
      break;
    }
    const ReturnPromise& promise = promises_.at(request);
    if (promise.service != service || now - return_at > kRoomGrace) {
      continue;
    }
    WaitingPrompt prompt;
    prompt.id = WaitingRequestId{id++};
    prompt.prompt = promise.prompt;
    prompt.prompt.until_late = promise.first_event_due - now;
    prompt.first_event_due = promise.first_event_due;
    prompt.last_useful_event = promise.last_useful_event;
    prompt.not_before = std::max(return_at, now);
    prompt.has_promise = true;
    open.push_back(std::move(prompt));
  }
  return open;
}

bool ReturnPromises::IsPromise(WaitingRequestId id) {
  return id.value >= kFirstPromiseId;
}

FractionalMillis ReturnPromises::PromisedWork() {
  DropExpired();
  return promises_.empty() ? FractionalMillis(0) : work_;
}

void ReturnPromises::OnBroken(BrokenPromiseCause cause) {
  ++counts_.broken;
  switch (cause) {
    case BrokenPromiseCause::kEnginesLeft:
      ++counts_.broken_engines_left;
      break;
    case BrokenPromiseCause::kNearerDeadline:
      ++counts_.broken_nearer_deadline;
      break;
    case BrokenPromiseCause::kOther:
      break;
  }
}

std::vector<ReturnPromise> ReturnPromises::Entries() const {
  std::vector<ReturnPromise> entries;
  entries.reserve(promises_.size());
  for (const auto& [request, promise] : promises_) {
    entries.push_back(promise);
  }
  return entries;
}

void ReturnPromises::Restore(ReturnPromise promise) {
  Insert(std::move(promise));
  DropExpired();
}

void ReturnPromises::Clear() {
  promises_.clear();
  by_due_.clear();
  work_ = FractionalMillis(0);
}

void ReturnPromises::DropExpired() {
  const TimePoint now = clock_();
  while (!by_due_.empty() && now - by_due_.begin()->first > kGracePeriod) {
    Erase(promises_.find(by_due_.begin()->second));
  }
}

void ReturnPromises::Insert(ReturnPromise promise) {
  Cancel(promise.request);
  if (promises_.size() >= kMaxPromises) {
    Erase(promises_.find(by_due_.begin()->second));
  }
  by_due_.emplace(promise.return_at, promise.request);
  work_ += promise.prompt.prefill_time;
  const RequestFingerprint request = promise.request;
  promises_.emplace(request, std::move(promise));
}

void ReturnPromises::Erase(Promises::iterator found) {
  by_due_.erase({found->second.return_at, found->first});
  work_ -= found->second.prompt.prefill_time;
  promises_.erase(found);
}

}  // namespace harecrank
