// HTTP servers: thin wrappers around POCO Net. Includes the calls of
// http_call.h.

#ifndef HARECRANK_SRC_ADAPTERS_HTTP_H_
#define HARECRANK_SRC_ADAPTERS_HTTP_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>

#include "harecrank/core/strong_types.h"
#include "src/adapters/body_memory.h"
#include "src/adapters/guarded_socket.h"
#include "src/adapters/http_call.h"

namespace harecrank {

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
