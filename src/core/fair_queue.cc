#include "harecrank/core/fair_queue.h"

#include <algorithm>
#include <tuple>

namespace harecrank {
namespace {

constexpr double kPercent = 100.0;

}  // namespace

const char* LengthClassName(LengthClass length) {
  return length == LengthClass::kShort ? "short" : "long";
}

bool FairQueue::FlowKey::operator<(const FlowKey& other) const {
  return std::tie(account, length) < std::tie(other.account, other.length);
}

FairQueue::FairQueue(std::size_t limit, int long_weight_percent)
    : limit_(limit), long_weight_percent_(std::max(long_weight_percent, 1)) {}

void FairQueue::SetLongWeightPercent(int percent) {
  long_weight_percent_ = std::max(percent, 1);
}

bool FairQueue::Push(const QueuedRequest& request) {
  if (waiting_.size() >= limit_) {
    return false;
  }
  double weight = std::max(request.account_weight, 1);
  if (request.length == LengthClass::kLong) {
    weight *= long_weight_percent_ / kPercent;
  }
  const FlowKey flow{request.account, request.length};
  const double start = std::max(virtual_time_, finish_tags_[flow]);
  finish_tags_[flow] = start + static_cast<double>(request.cost.value) / weight;
  const auto it = std::find_if(
      waiting_.begin(), waiting_.end(),
      [start](const Waiting& other) { return other.start_tag > start; });
  waiting_.insert(it, Waiting{request, start, 0});
  return true;
}

std::optional<QueuedRequest> FairQueue::PopFirst(
    const std::function<bool(const QueuedRequest&)>& fits) {
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (fits(it->request)) {
      const QueuedRequest request = it->request;
      virtual_time_ = std::max(virtual_time_, it->start_tag);
      for (auto ahead = waiting_.begin(); ahead != it; ++ahead) {
        ++ahead->bypasses;
      }
      waiting_.erase(it);
      ResetIfIdle();
      return request;
    }
    if (it->bypasses >= kMaxBypasses) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

bool FairQueue::Remove(std::uint64_t key) {
  const auto it = std::find_if(
      waiting_.begin(), waiting_.end(),
      [key](const Waiting& other) { return other.request.key == key; });
  if (it == waiting_.end()) {
    return false;
  }
  waiting_.erase(it);
  return true;
}

std::vector<QueuedRequest> FairQueue::DropOverdue(TimePoint now) {
  std::vector<QueuedRequest> overdue;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->request.start_by > now) {
      ++it;
      continue;
    }
    overdue.push_back(it->request);
    it = waiting_.erase(it);
  }
  return overdue;
}

Tokens FairQueue::Backlog(LengthClass length) const {
  Tokens backlog;
  for (const Waiting& waiting : waiting_) {
    if (waiting.request.length == length) {
      backlog = backlog + waiting.request.cost;
    }
  }
  return backlog;
}

void FairQueue::ResetIfIdle() {
  if (!waiting_.empty()) {
    return;
  }
  // Clears the tags of an empty queue. Otherwise a flow that was served while
  // no other flow waited would be delayed for this service when other flows
  // arrive.
  finish_tags_.clear();
  virtual_time_ = 0;
}

}  // namespace harecrank
