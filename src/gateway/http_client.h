// HTTP client for one address. Requests are sent one at a time over a
// persistent connection.

#ifndef HARECRANK_SRC_GATEWAY_HTTP_CLIENT_H_
#define HARECRANK_SRC_GATEWAY_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "harecrank/core/answer_form.h"
#include "harecrank/core/strong_types.h"
#include "src/adapters/tcp_endpoint.h"

namespace harecrank {

// The reason for which a call got no response.
struct CallFailure {
  std::string reason;
};

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpReply = boost::beast::http::response<boost::beast::http::string_body>;
using CallResult = std::variant<CallFailure, HttpReply>;

// Sends HTTP requests to one address, one at a time, over a persistent
// connection. Not thread-safe; runs on its io_context. If the client is
// destroyed during a call, the handler is not called.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Handler = std::function<void(CallResult)>;

  HttpClient(boost::asio::io_context* io, std::string address);

  // Sends a GET of `target` and passes the result to `handler`. `timeout`
  // includes the time to connect. No other call may be in progress.
  void Get(const std::string& target, Millis timeout, Handler handler);

  // Sends a POST with a JSON body. Otherwise like Get.
  void Post(const std::string& target, std::string json, Millis timeout,
            Handler handler);

  const std::string& Address() const { return address_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Start(HttpRequest request, Millis timeout, Handler handler);
  void Connect();
  void Send();
  void ReceiveHead();
  void OnHead(const boost::system::error_code& error);
  void ReceiveBody();
  void OnReceived(const boost::system::error_code& error);
  // Closes the connection if there is something to read on it: it is no reply
  // to a call that has not been sent yet.
  void DropUnusable();
  void Close();
  void Finish(CallResult result);
  void Fail(const std::string& step, const boost::system::error_code& error);
  void FailWith(const std::string& reason);

  boost::asio::io_context* io_;
  std::string address_;
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
  HttpRequest request_;
  std::optional<Parser> parser_;
  AnswerHeads heads_;
  Handler handler_;
  // Whether the connection has served an earlier call. If so, a failure may
  // mean that the server has closed it as idle.
  bool reused_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_HTTP_CLIENT_H_
