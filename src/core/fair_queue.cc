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
  const auto place = std::find_if(
      waiting_.begin(), waiting_.end(),
      [start](const Waiting& other) { return other.start_tag > start; });
  waiting_.insert(place, Waiting{request, start, 0});
  return true;
}

std::optional<QueuedRequest> FairQueue::PopFirst(
    const std::function<bool(const QueuedRequest&)>& fits) {
  for (auto place = waiting_.begin(); place != waiting_.end(); ++place) {
    if (fits(place->request)) {
      const QueuedRequest request = place->request;
      virtual_time_ = std::max(virtual_time_, place->start_tag);
      for (auto ahead = waiting_.begin(); ahead != place; ++ahead) {
        ++ahead->passed;
      }
      waiting_.erase(place);
      ForgetIdleFlows();
      return request;
    }
    if (place->passed >= kMaxBypasses) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

bool FairQueue::Remove(std::uint64_t key) {
  const auto place = std::find_if(
      waiting_.begin(), waiting_.end(),
      [key](const Waiting& other) { return other.request.key == key; });
  if (place == waiting_.end()) {
    return false;
  }
  waiting_.erase(place);
  return true;
}

std::vector<QueuedRequest> FairQueue::DropOverdue(TimePoint now) {
  std::vector<QueuedRequest> overdue;
  for (auto place = waiting_.begin(); place != waiting_.end();) {
    if (place->request.start_by > now) {
      ++place;
      continue;
    }
    overdue.push_back(place->request);
    place = waiting_.erase(place);
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

void FairQueue::ForgetIdleFlows() {
  if (!waiting_.empty()) {
    return;
  }
  // An idle queue owes nobody: a flow that was served while alone is not made
  // to pay for it when others come.
  finish_tags_.clear();
  virtual_time_ = 0;
}

}  // namespace harecrank
