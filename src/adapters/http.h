// HTTP calls and servers, as thin covers over POCO Net.

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

namespace harecrank {

// Why a call brought no answer.
struct Unreachable {
  std::string reason;
};
// The call was sent, and what became of it is not known.
struct NoResponse {
  std::string reason;
};
struct ResponseTooLarge {
  std::size_t limit = 0;
};
using HttpError = std::variant<Unreachable, NoResponse, ResponseTooLarge>;

// Returns one sentence for a person.
std::string Describe(const HttpError& error);

// A header field of a call or an answer.
struct HttpHeader {
  std::string name;
  std::string value;
};

// One call.
struct HttpCall {
  std::string address;
  std::string method = "GET";
  std::string path = "/";
  std::string body;
  std::string content_type = "application/json";
  std::vector<HttpHeader> fields;
  // How long to wait for a connection, and for each read.
  Millis timeout{2000};
};

// One answer. The status is zero where there was none.
struct HttpResponse {
  int status = 0;
  std::string content_type;
  std::string retry_after;
  std::string body;
};

// Makes a call and reads the whole answer, up to `max_bytes`.
boost::leaf::result<HttpResponse> SendHttpRequest(
    const HttpCall& call, std::size_t max_bytes = 64U << 20U);

// Makes a call and gives the answer's body to `read` as it comes. `read` is
// called once, also for answers that tell of an error.
boost::leaf::result<void> StreamHttp(
    const HttpCall& call,
    const std::function<void(int status, std::istream& body)>& read);

// Handles one request on a thread of the server's pool.
using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&,
                                       Poco::Net::HTTPServerResponse&)>;

// How a server is set.
struct HttpServerOptions {
  std::string address;
  int threads = 8;
  // Connections that may wait for a thread.
  int queued = 64;
};

// A server that gives each request to one handler. It listens from its
// construction to Stop.
class HttpServer {
 public:
  // Throws Poco::Exception if the address cannot be listened on.
  HttpServer(const HttpServerOptions& options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Stops taking connections. Requests in hand go on to their end.
  void StopListening();

  // Stops taking connections and cuts those in hand.
  void Stop();

  int Threads() const { return server_->currentThreads(); }

 private:
  Poco::ThreadPool pool_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

// Writes a whole answer.
void SendResponse(Poco::Net::HTTPServerResponse& response, int status,
                  const std::string& body,
                  const std::string& content_type = "application/json");

// Reads a body of at most `limit` bytes. Returns false if it is longer.
bool ReadBody(Poco::Net::HTTPServerRequest& request, std::size_t limit,
              std::string* body);

// Reads and drops what is left of a body, up to `limit` bytes. A caller that is
// still sending would lose an answer that came before its last byte was read.
void DiscardBody(Poco::Net::HTTPServerRequest& request, std::size_t limit);

// Returns whether the caller's side of the connection is still open. Does not
// wait.
bool IsCallerConnected(Poco::Net::HTTPServerRequest& request);

// Returns the value of `name` in the query of `uri`, or `otherwise`.
std::string QueryValue(const std::string& uri, const std::string& name,
                       const std::string& otherwise);

// Returns the part of `uri` before its query.
std::string PathOf(const std::string& uri);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_HTTP_H_
