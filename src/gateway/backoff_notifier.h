// Notifies waiting requests when an endpoint asks for back-off.
//
// When all endpoints of a service are overloaded, they reject requests one
// after the other. A waiting request has to be rejected as soon as the last of
// these endpoints asks for a back-off that ends too late for the request.
// Without a notification the request would wait on until its next periodic
// check.

#ifndef HARECRANK_SRC_GATEWAY_BACKOFF_NOTIFIER_H_
#define HARECRANK_SRC_GATEWAY_BACKOFF_NOTIFIER_H_

#include <cstdint>
#include <functional>
#include <map>

namespace harecrank {

// Calls the registered callbacks of waiting requests after an endpoint has
// asked this host for back-off. Not thread-safe.
class BackoffNotifier {
 public:
  using Callback = std::function<void()>;
  using Id = std::uint64_t;

  // `run_soon` must run its argument once, after `run_soon` itself has
  // returned.
  explicit BackoffNotifier(std::function<void(std::function<void()>)> run_soon);

  // Registers `callback`, which is called after each back-off until it is
  // removed with Remove. The callback may call Add and Remove.
  Id Add(Callback callback);
  void Remove(Id id) { callbacks_.erase(id); }

  // To be called when an endpoint has asked for back-off. The callbacks run
  // later, once for all back-offs that were reported until then.
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
