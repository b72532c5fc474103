#include "src/adapters/http.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <array>
#include <utility>

namespace harecrank {
namespace {

using Poco::Net::HTTPResponse;

// Maximum number of connections that the kernel queues until they are accepted.
constexpr int kBacklog = 512;
constexpr std::size_t kReadChunk = 16384;
constexpr int kKeepAliveSeconds = 5;
constexpr std::int64_t kMicrosPerMilli = 1000;
// Number of threads that the pool has in addition to
// HttpServerOptions::threads.
constexpr int kSpareThreads = 2;

Poco::Timespan ToTimespan(Millis time) {
  return {
      static_cast<Poco::Timespan::TimeDiff>(time.count() * kMicrosPerMilli)};
}

// Appends the rest of `source` to `to`, as long as `fits` returns true for the
// size of `to`. Returns whether it did.
bool ReadWhile(std::istream& source,
               const std::function<bool(std::size_t size)>& fits,
               std::string* to) {
  std::array<char, kReadChunk> chunk{};
  while (source.good()) {
    source.read(chunk.data(), chunk.size());
    const auto received = static_cast<std::size_t>(source.gcount());
    if (!fits(to->size() + received)) {
      return false;
    }
    to->append(chunk.data(), received);
  }
  return true;
}

// Appends the rest of `source` to `to`. Returns false if `to` would exceed
// `limit` bytes.
bool ReadAll(std::istream& source, std::size_t limit, std::string* to) {
  return ReadWhile(
      source, [limit](std::size_t size) { return size <= limit; }, to);
}

int CountFields(const Poco::Net::HTTPServerRequest& request,
                const std::string& name) {
  auto it = request.find(name);
  int count = 0;
  for (; it != request.end() && Poco::icompare(it->first, name) == 0; ++it) {
    ++count;
  }
  return count;
}

// Adapts an HttpHandler to POCO's interface for one request.
class FunctionHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit FunctionHandler(const HttpHandler& handler) : handler_(handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    // Without this, Nagle's algorithm would delay a token until the next one
    // fills a segment.
    auto& implementation =
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request);
    implementation.socket().setNoDelay(true);
    GuardedSocket* socket = GuardedSocketOf(request);
    socket->BeginBody();
    try {
      Handle(request, response);
    } catch (const Poco::Exception&) {
      // The peer has disconnected or is beyond the limits, so the error cannot
      // be reported to it.
      response.setKeepAlive(false);
    } catch (const std::exception&) {
      response.setKeepAlive(false);
      ReportException(response);
    }
    socket->BeginHead();
  }

 private:
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response) {
    if (HasKnownEnd(request)) {
      handler_(request, response);
      return;
    }
    response.setKeepAlive(false);
    SendResponse(response, HTTPResponse::HTTP_BAD_REQUEST,
                 R"({"error":{"code":"two_lengths","outcome":"not_run",)"
                 R"("message":"send either one Content-Length or the )"
                 R"(Transfer-Encoding chunked"}})");
  }

  // Whether the request has run is not known to this class.
  static void ReportException(Poco::Net::HTTPServerResponse& response) {
    if (!response.sent()) {
      SendResponse(response, HTTPResponse::HTTP_INTERNAL_SERVER_ERROR,
                   R"({"error":{"code":"internal_error"}})");
    }
  }

  const HttpHandler& handler_;
};

ConnectionLimits LimitsFor(const HttpServerOptions& options) {
  ConnectionLimits limits;
  limits.max_handled = static_cast<std::size_t>(options.threads);
  limits.head_timeout = options.head_timeout;
  return limits;
}

// Makes a FunctionHandler for each request that the server receives.
class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit FunctionHandlerFactory(HttpHandler handler)
      : handler_(std::move(handler)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new FunctionHandler(handler_);
  }

 private:
  HttpHandler handler_;
};

}  // namespace

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler handler)
    : guard_(std::make_shared<ConnectionGuard>(LimitsFor(options))),
      pool_(kSpareThreads, options.threads + kSpareThreads) {
  auto* params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(options.threads);
  params->setMaxQueued(options.queued);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  params->setTimeout(ToTimespan(options.head_timeout));
  const Poco::Net::SocketAddress address(options.address);
  GuardedServerSocket socket(guard_);
  socket.bind(address, true, false);
  socket.listen(kBacklog);
  server_ = std::make_unique<Poco::Net::HTTPServer>(
      new FunctionHandlerFactory(std::move(handler)), pool_, socket, params);
  server_->start();
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::StopListening() { server_->stop(); }

void HttpServer::Stop() {
  server_->stopAll(true);
  pool_.stopAll();
}

void SendResponse(Poco::Net::HTTPServerResponse& response, int status,
                  const std::string& body, const std::string& content_type) {
  response.setStatus(static_cast<HTTPResponse::HTTPStatus>(status));
  response.setReason(HTTPResponse::getReasonForStatus(response.getStatus()));
  response.setContentType(content_type);
  response.sendBuffer(body.data(), body.size());
}

bool ReadBody(Poco::Net::HTTPServerRequest& request, std::size_t limit,
              std::string* body) {
  if (request.hasContentLength() &&
      request.getContentLength64() > static_cast<Poco::Int64>(limit)) {
    return false;
  }
  const bool is_read = ReadAll(request.stream(), limit, body);
  GuardedSocketOf(request)->BeginRun();
  return is_read;
}

BodyFault ReadBodyInto(Poco::Net::HTTPServerRequest& request, std::size_t limit,
                       BodyMemory::Holding* memory, std::string* body) {
  const auto announced = request.hasContentLength()
                             ? request.getContentLength64()
                             : Poco::Int64{0};
  BodyFault fault = announced > static_cast<Poco::Int64>(limit)
                        ? BodyFault::kTooLarge
                        : BodyFault::kNone;
  const auto fits = [&](std::size_t size) {
    if (size > limit) {
      fault = BodyFault::kTooLarge;
    } else if (!memory->TryResize(size)) {
      fault = BodyFault::kNoMemory;
    }
    return fault == BodyFault::kNone;
  };
  if (fault == BodyFault::kNone) {
    ReadWhile(request.stream(), fits, body);
  }
  GuardedSocketOf(request)->BeginRun();
  return fault;
}

bool HasKnownEnd(const Poco::Net::HTTPServerRequest& request) {
  const int codings = CountFields(request, "Transfer-Encoding");
  if (CountFields(request, "Content-Length") + codings > 1) {
    return false;
  }
  return codings == 0 ||
         Poco::icompare(request.get("Transfer-Encoding"), "chunked") == 0;
}

void DiscardBody(Poco::Net::HTTPServerRequest& request, std::size_t limit) {
  std::array<char, kReadChunk> chunk{};
  std::istream& body = request.stream();
  for (std::size_t read = 0; body.good() && read < limit;
       read += chunk.size()) {
    body.read(chunk.data(), chunk.size());
  }
}

bool IsCallerConnected(Poco::Net::HTTPServerRequest& request) {
  auto& implementation =
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  Poco::Net::StreamSocket& socket = implementation.socket();
  try {
    if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      return true;
    }
    char byte = 0;
    return socket.receiveBytes(&byte, 1, MSG_PEEK) > 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

std::string QueryValue(const std::string& uri, const std::string& name,
                       const std::string& default_value) {
  for (const auto& [key, value] : Poco::URI(uri).getQueryParameters()) {
    if (key == name) {
      return value;
    }
  }
  return default_value;
}

std::string PathOf(const std::string& uri) {
  return uri.substr(0, uri.find('?'));
}

}  // namespace harecrank
