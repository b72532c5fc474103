// HTTP session on one caller's connection, which carries one request at a time.

#ifndef HARECRANK_SRC_GATEWAY_CALLER_SESSION_H_
#define HARECRANK_SRC_GATEWAY_CALLER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "harecrank/core/body_budget.h"
#include "harecrank/core/clock.h"
#include "harecrank/core/connection_relief.h"
#include "harecrank/core/routing_table.h"
#include "src/gateway/caller_output.h"
#include "src/gateway/request_framing.h"
#include "src/gateway/response_sink.h"
#include "src/gateway/timer.h"

namespace harecrank {

using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// The interface through which a caller's session notifies its request in
// progress.
class RequestHandle {
 public:
  RequestHandle() = default;
  RequestHandle(const RequestHandle&) = delete;
  RequestHandle& operator=(const RequestHandle&) = delete;
  virtual ~RequestHandle() = default;

  // The caller has closed its connection, so the response is no longer needed.
  virtual void OnCallerDisconnected() = 0;

  // The caller has read on after ResponseSink::IsCongested had returned true.
  virtual void OnCallerReadOn() = 0;

  // The memory that the request and its response hold is needed for others. The
  // request must be ended now.
  virtual void OnMemoryNeeded() = 0;
};

// Starts the handling of one request. `arrived` is the time at which its header
// was complete. The response is written to `sink`. Returns null if the response
// was written before the call returned.
using RequestStarter = std::function<std::shared_ptr<RequestHandle>(
    CallerRequest request, TimePoint arrived,
    std::shared_ptr<ResponseSink> sink)>;

// Why this host ended a connection.
enum class CallerFault {
  // The head or the framing of the body was larger than allowed.
  kLargeHead,
  kLargeBody,
  // What was sent is not a request of HTTP, or the end of its body is unknown.
  kNotHttp,
  // The head or the body did not come in time.
  kSlowToSend,
  // The answer was not read in time.
  kSlowToRead,
  // It held memory that others needed, or a place among the connections.
  kHeldMemory,
  kHeldPlace,
  // A part of this process threw an exception while it handled the request.
  kException
};

// Name of `fault` for metrics and logs.
const char* NameOf(CallerFault fault);

// Callbacks and the clock that all sessions of a listener share.
struct SessionContext {
  RequestStarter start_request;
  // Returns the current limits for callers' requests: sizes and time-outs.
  std::function<CallerLimits()> limits;
  // Returns whether this host is shutting down, so that connections are closed
  // after the current response.
  std::function<bool()> is_draining;
  // The memory for requests and answers. Must outlive the use of the context.
  const BodyBudget* bodies = nullptr;
  MonotonicClock clock;
  // Closes connections that hold memory and have been behind for a while, until
  // `bytes` more fit. Returns whether they fit.
  std::function<bool(std::size_t bytes)> make_memory;
  // More memory is held than allowed. Closes connections later, never from
  // within this call.
  std::function<void()> on_memory_exceeded;
  // Records that this host has ended a connection because of what its caller
  // did or held.
  std::function<void(CallerFault fault, std::size_t held_bytes)> on_ended;
};

// Reads the requests of one caller connection and writes the responses to it.
// Not thread-safe; runs on its socket's io_context.
class CallerSession : public ResponseSink,
                      public CallerOutputObserver,
                      public std::enable_shared_from_this<CallerSession> {
 public:
  // `context` must outlive the session.
  CallerSession(boost::asio::ip::tcp::socket socket,
                const SessionContext* context);

  // Reads requests until the connection ends.
  void Start();

  // Closes the connection if no request is in progress and no byte of the next
  // request has arrived.
  void CloseIfIdle();

  // Returns whether a request is being read or in progress, or the connection
  // has been closed.
  bool IsBusy() const { return state_ != State::kIdle; }
  bool IsClosed() const { return state_ == State::kClosed; }

  // Returns what this connection holds.
  ConnectionHolding Holding() const;

  // Ends the connection because others need what it holds. A request that was
  // not read whole is rejected, as one that has not run, and one that awaits
  // its response is ended by RequestHandle::OnMemoryNeeded.
  void EndFor(CallerFault fault);

  void SendWhole(ResponseHead head, std::string body) override;
  void BeginStream(ResponseHead head) override;
  void SendEvents(std::string bytes) override;
  void EndStream() override;
  void AbortStream() override;
  bool IsCongested() const override { return output_.IsCongested(); }
  void OnResponseHeld(const HeldResponse& held) override;
  void OnFlushed(std::size_t bytes) override;
  void OnOutputFailed() override { EndFor(CallerFault::kSlowToRead); }

 private:
  enum class State { kIdle, kReading, kResponding, kClosed };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Error = boost::system::error_code;

  // Memory of each connection that is not counted: what an ordinary small
  // request needs. All connections together need little of the rest of the
  // process's memory for it.
  static constexpr std::size_t kUncountedBytes = 8U << 10U;

  void AwaitRequest();
  void WatchSocket();
  void OnReadable(const Error& error);
  void CheckCallerConnection();
  void ReadHead();
  void OnHead(const Error& error);
  // Returns whether the body whose head has been read has a known end. If not,
  // the request is rejected.
  bool HasKnownEnd();
  // Reserves memory for the body whose head has been read. Returns false if it
  // does not fit.
  bool ReserveBody();
  void ReadBody();
  void OnBodyBytes(const Error& error, std::size_t bytes);
  void OnRequest();
  void StartRequest(CallerRequest request);
  void RejectUnreadable(const Error& error);
  void StartTimer(Millis limit, void (CallerSession::*expired)());
  void OnIdleTimeout();
  void OnReadTimeout();
  // Rejects the request whose body does not fit; nothing of it was sent on.
  void RejectForMemory();
  void RespondAndClose(CallerFault fault, unsigned status,
                       const std::string& reason);
  void RecordEnd(CallerFault fault) const;
  void Send(std::string bytes);
  // Reserves the memory that this connection occupies now.
  void UpdateMemory();
  // Frees what reading the request has occupied.
  void DropRequestMemory();
  void FinishResponse();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  const SessionContext* context_;
  Timer timer_;
  // Identifies the current wait on the timer. A handler of an earlier wait may
  // still run after the wait was cancelled; it is ignored since its number
  // differs.
  std::uint64_t timer_generation_ = 0;
  CallerOutput output_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  // The head of a request with a chunked body, which is kept apart from the
  // fields of its trailer.
  std::optional<RequestHead> head_;
  TimePoint arrived_{};
  State state_ = State::kIdle;
  bool watching_ = false;
  std::shared_ptr<RequestHandle> request_;
  CallerPace pace_;
  // All memory of this connection: `request_bytes_` for the request that is
  // being read or in progress, `response_` for its response before that is
  // sent, and the buffers.
  BodyBudget::Reservation memory_;
  std::size_t request_bytes_ = 0;
  HeldResponse response_;
  // Properties of the current request's response: whether the connection stays
  // open afterwards, whether there is no body, and whether a streamed body is
  // sent in chunks.
  bool keep_alive_ = false;
  bool response_has_no_body_ = false;
  bool chunked_ = false;
  // A response has begun whose only end is that of the connection.
  bool ends_with_connection_ = false;
  bool close_after_flush_ = false;
  bool response_complete_ = false;
  // Whether the request in progress waits to be told that the caller reads on.
  bool was_congested_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_CALLER_SESSION_H_
