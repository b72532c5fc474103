// Queue of requests that wait on this host for free engines. Used while no
// planner can be reached.
//
// If an engine receives more prompt tokens than it can process between two
// events of its streams, all of these streams pause. Requests that cannot start
// yet are therefore held back on the host.

#ifndef HARECRANK_SRC_GATEWAY_DISPATCH_QUEUE_H_
#define HARECRANK_SRC_GATEWAY_DISPATCH_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>

#include "harecrank/core/wait_queue.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Holds waiting requests and tries to start them, in the order of WaitQueue,
// whenever an engine may have become free. Not thread-safe; runs on its
// io_context.
class DispatchQueue {
 public:
  // Tries to start the request. Returns false if it has to wait longer.
  using Start = std::function<bool()>;

  // The first `max_tried` requests of the queue are tried each time, since the
  // first request may need more engines than are free and a later one fewer. If
  // `shares_by_account` is set, requests of accounts that are over their fair
  // share of engine time go last (see WaitQueue).
  DispatchQueue(boost::asio::io_context* io, MonotonicClock clock,
                std::size_t max_tried, bool shares_by_account);

  // Adds a request. `start` is called repeatedly, from the event loop, until it
  // returns true, which removes the request, or until Remove is called.
  WaitingRequestId Add(const WaitingRequest& request, Start start);
  void Remove(WaitingRequestId id);

  // Tries to start the waiting requests in a later turn of the event loop. To
  // be called when an engine may have become free.
  void PumpSoon();

  // Returns the least work among the waiting requests that can no longer meet
  // their latency targets, or nothing if there are none.
  std::optional<FractionalMillis> LeastLateWork() const {
    return queue_.LeastLateWork();
  }

  // OnGranted charges granted engine time to an account. ShareRankOf returns
  // how a new request ranks against the waiting ones by the fair shares of
  // their accounts. The shares cover only engine time that this host has
  // granted; it does not know what other hosts grant.
  void OnGranted(const ShareClaim& claim) { queue_.OnGranted(claim); }
  ShareRank ShareRankOf(const ShareClaim& claim) const {
    return queue_.ShareRankOf(claim);
  }

  std::size_t Count() const { return queue_.Count(); }

  // Interval at which the waiting requests are tried even if PumpSoon is not
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
