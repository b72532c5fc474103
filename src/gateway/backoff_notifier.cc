#include "src/gateway/backoff_notifier.h"

#include <utility>

namespace harecrank {

BackoffNotifier::BackoffNotifier(
    std::function<void(std::function<void()>)> run_soon)
    : run_soon_(std::move(run_soon)) {}

BackoffNotifier::Id BackoffNotifier::Add(Look look) {
  looks_.emplace(++last_, std::move(look));
  return last_;
}

void BackoffNotifier::NotifyBackoff() {
  if (looks_soon_ || looks_.empty()) {
    return;
  }
  looks_soon_ = true;
  run_soon_([this] {
    looks_soon_ = false;
    LookAll();
  });
}

void BackoffNotifier::LookAll() {
  // Those that are added meanwhile have seen this rest.
  const Id last = last_;
  for (auto next = looks_.begin();
       next != looks_.end() && next->first <= last;) {
    const Id id = next->first;
    // A copy, since the look may remove itself.
    const Look look = next->second;
    look();
    next = looks_.upper_bound(id);
  }
}

}  // namespace harecrank
