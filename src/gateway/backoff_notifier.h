// Notifies waiting requests when an endpoint asks for back-off.
//
// When all endpoints of a service are overloaded, they reject requests one
// after the other. A waiting request has to be rejected as soon as the last of
// them backs off for longer than the request can usefully wait, and not only
// when it next checks by itself.

#ifndef HARECRANK_SRC_GATEWAY_BACKOFF_NOTIFIER_H_
#define HARECRANK_SRC_GATEWAY_BACKOFF_NOTIFIER_H_

#include <cstdint>
#include <functional>
#include <map>

namespace harecrank {

// Not thread-safe.
class BackoffNotifier {
 public:
  using Callback = std::function<void()>;
  using Id = std::uint64_t;

  // `run_soon` must run its argument once, later and not from within the call.
  explicit BackoffNotifier(std::function<void(std::function<void()>)> run_soon);

  // Registers `callback`, which is called after each back-off until Remove. It
  // may call Add and Remove.
  Id Add(Callback callback);
  void Remove(Id id) { callbacks_.erase(id); }

  // To be called when an endpoint has asked for back-off. Back-offs before the
  // callbacks run are notified together.
  void NotifyBackoff();

 private:
  void NotifyAll();

  std::function<void(std::function<void()>)> run_soon_;
  std::map<Id, Callback> callbacks_;
  Id last_id_ = 0;
  bool notify_scheduled_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_BACKOFF_NOTIFIER_H_
