#include "src/sidecar/sidecar_stream.h"

#include <utility>

namespace harecrank {

bool FlowWindow::Take(TimePoint until) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_until(lock, until, [this] { return closed_ || credit_ > 0; });
  if (closed_ || credit_ <= 0) {
    return false;
  }
  --credit_;
  return true;
}

void FlowWindow::Add(std::int64_t credit) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    credit_ += credit;
  }
  changed_.notify_all();
}

void FlowWindow::Close() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
  }
  changed_.notify_all();
}

void AnswerLog::Append(std::string token) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    tokens_.push_back(std::move(token));
  }
  changed_.notify_all();
}

void AnswerLog::End(wire::Message end) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    end_ = std::move(end);
  }
  changed_.notify_all();
}

std::optional<std::string> AnswerLog::WaitFor(std::size_t position,
                                              TimePoint until) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_until(lock, until, [&] {
    return position < tokens_.size() || end_.has_value();
  });
  if (position >= tokens_.size()) {
    return std::nullopt;
  }
  return tokens_[position];
}

std::optional<wire::Message> AnswerLog::GetEnd() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return end_;
}

}  // namespace harecrank
