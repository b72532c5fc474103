// Long prompts that wait in this host until engines are open for them, while no
// other host plans for it.
//
// An engine that is given more than it can read between two events of its
// streams makes all of them pause. So what cannot start yet waits here.

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
  // Tries to start the request. Returns false if it has to wait on.
  using Start = std::function<bool()>;

  // Of those that wait, `tried` are tried at a time: the first may want more
  // engines than are open, and the next fewer.
  DispatchQueue(boost::asio::io_context* io, MonotonicClock clock,
                std::size_t max_tried, bool shares_by_account);

  // `start` may be called until the waiter has been removed, also from within
  // Pump. A waiter whose `start` returns true is removed.
  WaitingRequestId Add(const WaitingRequest& request, Start start);
  void Remove(WaitingRequestId id);

  // Tries those that wait, soon. Called when an engine may have opened.
  void PumpSoon();

  // Returns the least work that waits here and can no longer be in time.
  std::optional<FractionalMillis> LeastLateWork() const {
    return queue_.LeastLateWork();
  }

  // Shares of what this host itself gives; it knows of no other's.
  void OnGranted(const ShareClaim& claim) { queue_.OnGranted(claim); }
  ShareRank ShareRankOf(const ShareClaim& claim) const {
    return queue_.ShareRankOf(claim);
  }

  std::size_t Count() const { return queue_.Count(); }

  // How often those that wait are tried while nothing is heard.
  static constexpr Millis kRetryInterval{40};

 private:
  void Pump();
  void Schedule(Millis delay);

  WaitQueue queue_;
  std::size_t max_tried_;
  std::map<WaitingRequestId, Start> starts_;
  Timer timer_;
  // When the next try is due; the clock's end while none is.
  TimePoint next_pump_ = TimePoint::max();
  MonotonicClock clock_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_DISPATCH_QUEUE_H_
