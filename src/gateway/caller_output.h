// Sends bytes to one caller and bounds what waits for a caller who is slow to
// read.

#ifndef HARECRANK_SRC_GATEWAY_CALLER_OUTPUT_H_
#define HARECRANK_SRC_GATEWAY_CALLER_OUTPUT_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "harecrank/core/strong_types.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Receives the events of a CallerOutput.
class CallerOutputObserver {
 public:
  CallerOutputObserver() = default;
  CallerOutputObserver(const CallerOutputObserver&) = delete;
  CallerOutputObserver& operator=(const CallerOutputObserver&) = delete;
  virtual ~CallerOutputObserver() = default;

  // The system has taken `bytes` more.
  virtual void OnFlushed(std::size_t bytes) = 0;
  // The connection is broken, or the caller has read too little in
  // kFlushTimeout.
  virtual void OnOutputFailed() = 0;
};

// The queue of bytes for one caller. Not thread-safe; runs on the io_context of
// its socket.
class CallerOutput {
 public:
  // `socket` and `observer` must live as long as what `owner` returns, which is
  // held while a write is in progress.
  CallerOutput(boost::asio::ip::tcp::socket* socket,
               CallerOutputObserver* observer,
               std::function<std::shared_ptr<void>()> owner);

  // Queues bytes, and sends them unless others are being sent.
  void Send(std::string bytes);

  // Frees the memory once everything is sent.
  void Shrink();

  // Stops the time-out. No function of the observer is called any more.
  void Close();

  // Returns whether nothing is left to send.
  bool IsEmpty() const { return in_flight_.empty() && queued_.empty(); }
  // Returns whether so much waits that no more of a stream should be fetched.
  bool IsCongested() const { return Waiting() > kCongestedBytes; }
  // Returns the memory that the queue occupies, in bytes.
  std::size_t Memory() const {
    return in_flight_.capacity() + queued_.capacity();
  }

  // From this many waiting bytes on a stream is not read further. Far more than
  // the events of an ordinary stream.
  static constexpr std::size_t kCongestedBytes = 256U << 10U;
  // Time in which a caller must read one piece.
  static constexpr Millis kFlushTimeout{10000};

 private:
  using Error = boost::system::error_code;

  std::size_t Waiting() const {
    return in_flight_.size() - sent_ + queued_.size();
  }
  void SendPiece();
  void OnSent(const Error& error, std::size_t bytes);
  void StartTimer();

  boost::asio::ip::tcp::socket* socket_;
  CallerOutputObserver* observer_;
  std::function<std::shared_ptr<void>()> owner_;
  Timer timer_;
  // Identifies the current wait on the timer, as in CallerSession.
  std::uint64_t timer_generation_ = 0;
  bool closed_ = false;
  std::string queued_;
  // What is being sent, of which the first `sent_` bytes are already sent.
  std::string in_flight_;
  std::size_t sent_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_CALLER_OUTPUT_H_
