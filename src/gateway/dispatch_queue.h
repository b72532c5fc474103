// Queue of requests that wait on this host for free engines while no planner
// places them.
//
// An engine that is given more prompt tokens than it can process between two
// events of its streams makes all of these streams pause. Requests that cannot
// start yet are therefore held back on the host.

#ifndef HARECRANK_SRC_GATEWAY_DISPATCH_QUEUE_H_
#define HARECRANK_SRC_GATEWAY_DISPATCH_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>

#include "harecrank/core/wait_queue.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Not thread-safe; runs on its io_context.
class DispatchQueue {
 public:
  // Tries to start the request. Returns false if it has to wait longer.
  using Start = std::function<bool()>;

  // Up to `max_tried` requests are tried at a time, since the first one may
  // need more engines than are free and a later one fewer. `shares_by_account`
  // is as in WaitQueue.
  DispatchQueue(boost::asio::io_context* io, MonotonicClock clock,
                std::size_t max_tried, bool shares_by_account);

  // `start` may be called until the request has been removed, also from within
  // Pump. A request whose `start` returns true is removed.
  WaitingRequestId Add(const WaitingRequest& request, Start start);
  void Remove(WaitingRequestId id);

  // Tries the waiting requests in a later turn of the event loop. Called when
  // an engine may have become free.
  void PumpSoon();

  // Returns the least work among the waiting requests that can no longer meet
  // their latency targets, or nothing if there are none.
  std::optional<FractionalMillis> LeastLateWork() const {
    return queue_.LeastLateWork();
  }

  // Fair shares cover only the engine time that this host itself has granted;
  // it does not know what other hosts grant.
  void OnGranted(const ShareClaim& claim) { queue_.OnGranted(claim); }
  ShareRank ShareRankOf(const ShareClaim& claim) const {
    return queue_.ShareRankOf(claim);
  }

  std::size_t Count() const { return queue_.Count(); }

  // Interval in which the waiting requests are tried when PumpSoon is not
  // called.
  static constexpr Millis kRetryInterval{40};

 private:
  void Pump();
  void Schedule(Millis delay);

  WaitQueue queue_;
  std::size_t max_tried_;
  std::map<WaitingRequestId, Start> starts_;
  Timer timer_;
  // Time of the next scheduled Pump; TimePoint::max() if none is scheduled.
  TimePoint next_pump_ = TimePoint::max();
  MonotonicClock clock_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_DISPATCH_QUEUE_H_
