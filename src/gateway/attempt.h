// One attempt to run a request on one endpoint.

#ifndef HARECRANK_SRC_GATEWAY_ATTEMPT_H_
#define HARECRANK_SRC_GATEWAY_ATTEMPT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "harecrank/core/answer_form.h"
#include "src/gateway/endpoint_connection_pool.h"
#include "src/gateway/protocol_names.h"
#include "src/gateway/response_sink.h"
#include "src/gateway/timer.h"

namespace harecrank {

// The attempt failed before any byte of the request left this host.
struct AttemptNotSent {
  std::string reason;
};
// The attempt failed after the request was sent, so the request may have run.
struct AttemptBroken {
  std::string reason;
  // Whether the head of a response had arrived before the failure.
  bool response_began = false;
  // Whether the connection had carried an earlier request. If so, the endpoint
  // may have closed it as idle while this request was on its way.
  bool reused = false;
  // Whether the endpoint closed or reset the connection. If not, the data
  // received was not a valid response, or the connection timed out.
  bool closed_by_endpoint = false;
};
// The endpoint sent what is no answer. The request may have run.
struct AttemptMalformed {
  HeadFault fault = HeadFault::kStatus;
};
using AttemptFailure =
    std::variant<AttemptNotSent, AttemptBroken, AttemptMalformed>;

// The request as it is sent to an endpoint. `body` is shared, since the request
// may be sent several times.
struct OutgoingRequest {
  std::string request_id;
  std::string head;
  std::shared_ptr<const std::string> body;
  // Whether the response has no body whatever its headers say, as for HEAD
  // requests.
  bool response_has_no_body = false;
};

// Receives the events of one attempt. No function is called after OnResponseEnd
// or OnFailure.
class AttemptObserver {
 public:
  AttemptObserver() = default;
  AttemptObserver(const AttemptObserver&) = delete;
  AttemptObserver& operator=(const AttemptObserver&) = delete;
  virtual ~AttemptObserver() = default;

  virtual void OnSent() = 0;
  virtual void OnResponseHead(const ResponseHead& head) = 0;
  virtual void OnResponseBytes(std::string_view bytes) = 0;
  // The response is complete.
  virtual void OnResponseEnd() = 0;
  virtual void OnFailure(const AttemptFailure& failure) = 0;
};

// Sends a request over one connection and reads the response. Not thread-safe;
// runs on its io_context.
class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  // `observer` must live until the attempt has ended or was cancelled. A
  // connection that can be reused is returned to `connections`.
  Attempt(boost::asio::io_context* io, EndpointConnectionPool* connections,
          const ProtocolNames* names, AttemptObserver* observer);

  // Sends `request` over `connection`. A new connection is opened to `address`
  // first; if that takes longer than `connect_timeout`, the attempt fails with
  // AttemptNotSent.
  void Start(std::unique_ptr<EndpointConnection> connection,
             const std::string& address, OutgoingRequest request,
             Millis connect_timeout);

  // Closes the connection, which makes the endpoint stop processing the
  // request. The observer is not called any more.
  void Cancel();

  // Stops reading the response after the bytes that were already passed on, and
  // reads on. The endpoint waits meanwhile, since it can send no more.
  void PauseReading() { paused_ = true; }
  void ResumeReading();
  bool IsPaused() const { return paused_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  using Error = boost::system::error_code;
  static constexpr std::size_t kReadBytes = 4096;
  // Less than half of the time limit for bytes that nobody acknowledges.
  static constexpr Millis kSendCheckInterval{1000};

  void Connect(const std::string& address, Millis timeout);
  void OnConnected(const Error& error);
  void Send();
  void OnWritten(const Error& error);
  // Checks after kSendCheckInterval, and again until all bytes of the request
  // have arrived, whether the endpoint is alive though it reads nothing.
  void CheckSendLater();
  void CheckSend();
  void ReadHead();
  void OnHead(const Error& error);
  bool IsResponseToThisRequest() const;
  void ReadBody();
  void OnBody(const Error& error);
  void OnMessageEnd();
  // Decides whether the response is whole that has ended with its connection.
  void JudgeConnectionEnd();
  void JudgeConnectionEndLater();
  void Complete();
  void NoteKeepAlive(const ResponseHead& head);
  void Fail(const AttemptFailure& failure);
  void FailBroken(const std::string& step, const Error& error);

  boost::asio::io_context* io_;
  EndpointConnectionPool* connections_;
  const ProtocolNames* names_;
  AttemptObserver* observer_;
  std::unique_ptr<EndpointConnection> connection_;
  Timer connect_timer_;
  Timer send_timer_;
  Timer end_timer_;
  // Whether the endpoint may leave bytes unacknowledged without a time limit.
  bool is_unlimited_ = false;
  OutgoingRequest request_;
  std::unique_ptr<Parser> parser_;
  std::array<char, kReadBytes> bytes_{};
  // Whether the connection is being opened, so that no byte of the request has
  // been written yet.
  bool connecting_ = false;
  bool request_written_ = false;
  // The error of the write, which the socket then reports to no other
  // operation.
  Error write_error_;
  bool response_began_ = false;
  // Whether the message being read is the response to an earlier request on
  // this connection.
  bool is_stale_ = false;
  int stale_messages_ = 0;
  AnswerHeads heads_;
  // Whether the connection is asked for the second time how it has ended.
  bool end_was_early_ = false;
  bool paused_ = false;
  // Whether the next read waits for ResumeReading.
  bool read_is_due_ = false;
  bool ended_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ATTEMPT_H_
