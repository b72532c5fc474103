// HTTP client calls and servers: thin wrappers around POCO Net.

#ifndef HARECRANK_SRC_ADAPTERS_HTTP_H_
#define HARECRANK_SRC_ADAPTERS_HTTP_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <boost/leaf.hpp>
#include <functional>
#include <istream>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/strong_types.h"
#include "src/adapters/body_memory.h"
#include "src/adapters/guarded_socket.h"

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
  // Time-out for opening the connection, and for each read.
  Millis timeout{2000};
};

// A response to a call. `status` is the HTTP status code, or zero if there was
// no response.
struct HttpResponse {
  int status = 0;
  std::string content_type;
  // Value of the Retry-After header; empty if absent.
  std::string retry_after;
  std::string body;
};

// Sends `call` and reads the complete response. Fails with ResponseTooLarge if
// the body exceeds `max_bytes`, and with NoResponse if it is truncated.
boost::leaf::result<HttpResponse> SendHttpRequest(
    const HttpCall& call, std::size_t max_bytes = 64U << 20U);

// Sends `call` and passes the response body to `read` as a stream. `read` is
// called once for each response, including responses with an error status.
boost::leaf::result<void> StreamHttp(
    const HttpCall& call,
    const std::function<void(int status, std::istream& body)>& read);

// Handles one request on a thread of the server's pool.
using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&,
                                       Poco::Net::HTTPServerResponse&)>;

// Address and limits of an HttpServer.
struct HttpServerOptions {
  // IP address and port to listen on.
  std::string address;
  // Maximum number of connections that are handled concurrently.
  int threads = 8;
  // Maximum number of accepted connections that wait for a thread.
  int queued = 64;
  // Time for the head of a request.
  Millis head_timeout{10000};
};

// A server that passes each request to one handler. It listens from its
// construction until StopListening or Stop is called.
class HttpServer {
 public:
  // Throws Poco::Exception if the address cannot be bound.
  HttpServer(const HttpServerOptions& options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Stops accepting connections. Active requests are completed.
  void StopListening();

  // Stops accepting connections and closes the active ones.
  void Stop();

  // Number of threads that are handling connections.
  int Threads() const { return server_->currentThreads(); }

  // Number of connections that were closed since their peers were slow or sent
  // too much.
  std::uint64_t ClosedConnections() const { return guard_->Closed(); }

 private:
  std::shared_ptr<ConnectionGuard> guard_;
  Poco::ThreadPool pool_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

// Sends a complete response.
void SendResponse(Poco::Net::HTTPServerResponse& response, int status,
                  const std::string& body,
                  const std::string& content_type = "application/json");

// Reads a request body of at most `limit` bytes. Returns false if the body is
// longer.
bool ReadBody(Poco::Net::HTTPServerRequest& request, std::size_t limit,
              std::string* body);

// Why ReadBodyInto has not read a body.
enum class BodyFault { kNone, kTooLarge, kNoMemory };

// Reads a request body of at most `limit` bytes, whose memory is held in
// `memory` as it grows.
BodyFault ReadBodyInto(Poco::Net::HTTPServerRequest& request, std::size_t limit,
                       BodyMemory::Holding* memory, std::string* body);

// Returns whether the end of the request's body is known, and known alike to
// all HTTP parsers: it has one length or the coding "chunked" alone. What
// follows any other head must not be read.
bool HasKnownEnd(const Poco::Net::HTTPServerRequest& request);

// Reads and discards the rest of a request body, up to `limit` bytes. Call this
// before an early response: a caller that is still sending its body may
// otherwise not receive the response.
void DiscardBody(Poco::Net::HTTPServerRequest& request, std::size_t limit);

// Returns whether the caller's side of the connection is still open. Does not
// block.
bool IsCallerConnected(Poco::Net::HTTPServerRequest& request);

// Returns the value of the query parameter `name` of `uri`, or `default_value`
// if there is none.
std::string QueryValue(const std::string& uri, const std::string& name,
                       const std::string& default_value);

// Returns `uri` without its query.
std::string PathOf(const std::string& uri);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_HTTP_H_
