// HTTP client calls that block the calling thread.
//
// They use Boost.Beast: POCO Net takes an answer whose head or chunks stop
// halfway for a complete one.

#ifndef HARECRANK_SRC_ADAPTERS_HTTP_CALL_H_
#define HARECRANK_SRC_ADAPTERS_HTTP_CALL_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <functional>
#include <istream>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// The call failed because no connection could be opened. Nothing was sent.
struct Unreachable {
  std::string reason;
};
// The call failed after the connection had been opened. The server may have
// processed the request.
struct NoResponse {
  std::string reason;
};
// The call failed because the response body exceeds the limit.
struct ResponseTooLarge {
  // In bytes.
  std::size_t limit = 0;
};
// Why a call failed.
using HttpError = std::variant<Unreachable, NoResponse, ResponseTooLarge>;

// Returns a one-line message for logs and operators.
std::string Describe(const HttpError& error);

// One header field of a request.
struct HttpHeader {
  std::string name;
  std::string value;
};

// A request that this process sends to an HTTP server.
struct HttpCall {
  // IP address and port of the server.
  std::string address;
  std::string method = "GET";
  std::string path = "/";
  std::string body;
  std::string content_type = "application/json";
  // Additional header fields.
  std::vector<HttpHeader> fields;
  // Time-out of the whole call.
  Millis timeout{2000};
};

// A response to a call. `status` is the HTTP status code, or zero if there was
// no response.
struct HttpResponse {
  int status = 0;
  std::string content_type;
  // Value of the Retry-After header; empty if absent.
  std::string retry_after;
  // The body has a Content-Encoding.
  bool is_encoded = false;
  // The body ends with the connection, since the head does not tell its length.
  // A server that is killed ends a body in the same way.
  bool ends_with_connection = false;
  std::string body;
};

// Sends `call` and reads the complete response. Fails with ResponseTooLarge if
// the body exceeds `max_bytes`, and with NoResponse if there is no complete
// response in time.
boost::leaf::result<HttpResponse> SendHttpRequest(
    const HttpCall& call, std::size_t max_bytes = 64U << 20U);

// Returns whether the body of a response may occupy `bytes` of memory. May wait
// for memory: the server waits meanwhile, since it can send no more.
using FitsInMemory = std::function<bool(std::size_t bytes)>;

// Like the function above, but asks `fits` each time before the body needs more
// memory, and fails with ResponseTooLarge if it does not fit. What the body
// needs may be more than its size.
boost::leaf::result<HttpResponse> SendHttpRequest(const HttpCall& call,
                                                  std::size_t max_bytes,
                                                  const FitsInMemory& fits);

// Sends `call` and passes the response body to `read` as a stream, which ends
// where the body ends or is cut off. `read` is called once for each response,
// including responses with an error status. Fails with NoResponse if `read`
// has met the place where the body was cut off.
boost::leaf::result<void> StreamHttp(
    const HttpCall& call,
    const std::function<void(int status, std::istream& body)>& read);

// Returns whether the server at `address` accepts a connection within
// `timeout`.
bool AcceptsConnection(const std::string& address, Millis timeout);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_HTTP_CALL_H_
