// Tells requests that wait for an endpoint that one more wants rest.
//
// Load: all endpoints of a service are overloaded and turn requests away, one
// after the other. Whoever waits for a place has to be told as soon as the last
// of them rests for longer than waiting is of use, and not when it looks next.

#ifndef HARECRANK_SRC_GATEWAY_BACKOFF_NOTIFIER_H_
#define HARECRANK_SRC_GATEWAY_BACKOFF_NOTIFIER_H_

#include <cstdint>
#include <functional>
#include <map>

namespace harecrank {

// Not thread-safe.
class BackoffNotifier {
 public:
  using Look = std::function<void()>;
  using Id = std::uint64_t;

  // `run_soon` runs what it is given once, later, and never from within.
  explicit BackoffNotifier(std::function<void(std::function<void()>)> run_soon);

  // `look` is called after each rest until Remove; it may add and remove.
  Id Add(Look look);
  void Remove(Id id) { looks_.erase(id); }

  // An endpoint has asked for rest. What is told together is looked at once.
  void NotifyBackoff();

 private:
  void LookAll();

  std::function<void(std::function<void()>)> run_soon_;
  std::map<Id, Look> looks_;
  Id last_ = 0;
  bool looks_soon_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_BACKOFF_NOTIFIER_H_
