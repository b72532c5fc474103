#include "src/gateway/backoff_notifier.h"

#include <utility>

namespace harecrank {

BackoffNotifier::BackoffNotifier(
    std::function<void(std::function<void()>)> run_soon)
    : run_soon_(std::move(run_soon)) {}

BackoffNotifier::Id BackoffNotifier::Add(Callback callback) {
  callbacks_.emplace(++last_id_, std::move(callback));
  return last_id_;
}

void BackoffNotifier::NotifyBackoff() {
  if (notify_scheduled_ || callbacks_.empty()) {
    return;
  }
  notify_scheduled_ = true;
  run_soon_([this] {
    notify_scheduled_ = false;
    NotifyAll();
  });
}

void BackoffNotifier::NotifyAll() {
  // Callbacks that are added while this loop runs are not called: their
  // requests began to wait after the back-off and have already taken it into
  // account.
  const Id last_id = last_id_;
  for (auto next = callbacks_.begin();
       next != callbacks_.end() && next->first <= last_id;) {
    const Id id = next->first;
    // A copy, since the callback may remove itself.
    const Callback callback = next->second;
    callback();
    next = callbacks_.upper_bound(id);
  }
}

}  // namespace harecrank
