#include "review/standins/server.h"

#include <charconv>
#include <sstream>
#include <thread>
#include <utility>

#include "platform/names.h"
#include "review/standins/address.h"
#include "review/standins/answers.h"

namespace harecrank::review {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

// Time from a plain request to its answer.
constexpr milliseconds kPlainTime{60};
// An answer without a length is sent as it is made: so many pieces, with this
// pause before each.
constexpr std::size_t kPieces = 4;
constexpr milliseconds kPieceTime{100};
// Pause before each event of a stream.
constexpr milliseconds kEventTime{60};
constexpr unsigned kMisdirected = 421;

std::string Chunk(const std::string& bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

// Writes `bytes`. Returns false if the connection has ended.
bool Write(asio::ip::tcp::socket* socket, const std::string& bytes) {
  boost::system::error_code error;
  asio::write(*socket, asio::buffer(bytes), error);
  return !error;
}

}  // namespace

Server::Server(ServerOptions options)
    : options_(std::move(options)),
      names_(platform::MakeProtocolNames()),
      record_(options_.record, options_.id) {}

void Server::Run() {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, ParseAddress(options_.address));
  record_.Write("listens at " + options_.address);
  while (true) {
    Socket socket(io);
    acceptor.accept(socket);
    std::thread([this, accepted = std::move(socket)]() mutable {
      Serve(std::move(accepted));
    }).detach();
  }
}

void Server::StartUnframed() {
  const std::lock_guard<std::mutex> lock(mutex_);
  unframed_until_ =
      std::chrono::steady_clock::now() + milliseconds(options_.unframed_ms);
  answers_ = 0;
  unframed_answers_ = 0;
}

void Server::Serve(Socket socket) {
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
  while (true) {
    Request request;
    http::read(socket, buffer, request, error);
    if (error || !Answer(request, &socket)) {
      return;
    }
  }
}

bool Server::Answer(const Request& request, Socket* socket) {
  if (request[names_.expected_endpoint] != options_.id) {
    return Misdirected(request, socket);
  }
  const std::string path(request.target());
  record_.Write("runs " + std::string(request[names_.request_id]) + " " +
                std::string(request.method_string()) + " " + path);
  const int events = EventCount(path);
  const bool is_plain = events == 0;
  const bool is_long = is_plain || path.rfind(kLongStreamPath, 0) == 0;
  const bool unframed = TakeUnframed(is_long);
  return is_plain ? AnswerPlain(request, unframed, socket)
                  : AnswerStream(request, unframed, socket);
}

bool Server::Misdirected(const Request& request, Socket* socket) {
  const std::string id(request[names_.request_id]);
  record_.Write("is not meant by " + id);
  return Write(socket, "HTTP/1.1 " + std::to_string(kMisdirected) +
                           " Misdirected Request\r\n" + names_.request_id +
                           ": " + id + "\r\n" + names_.not_run +
                           ": 1\r\nContent-Length: 0\r\n\r\n");
}

bool Server::TakeUnframed(bool is_long) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (std::chrono::steady_clock::now() >= unframed_until_) {
    return false;
  }
  ++answers_;
  const bool unframed =
      is_long && unframed_answers_ + 1 <= options_.unframed_share * answers_;
  unframed_answers_ += unframed ? 1 : 0;
  return unframed;
}

std::string Server::Head(const Request& request,
                         const std::string& fields) const {
  return "HTTP/1.1 200 OK\r\n" + names_.request_id + ": " +
         std::string(request[names_.request_id]) + "\r\n" +
         names_.answer_signature + ": s.1\r\n" + fields + "\r\n";
}

bool Server::AnswerPlain(const Request& request, bool unframed,
                         Socket* socket) {
  const std::string id(request[names_.request_id]);
  const std::string body = PlainBody(id);
  if (!unframed) {
    std::this_thread::sleep_for(kPlainTime);
    const std::string length = std::to_string(body.size());
    return Write(socket,
                 Head(request, "Content-Length: " + length + "\r\n") + body);
  }
  const std::size_t piece = body.size() / kPieces;
  record_.Write("begins " + id + " without a length");
  if (!Write(socket, Head(request, "Connection: close\r\n"))) {
    return false;
  }
  for (std::size_t i = 0; i < kPieces; ++i) {
    std::this_thread::sleep_for(kPieceTime);
    if (!Write(socket, body.substr(i * piece, piece))) {
      return false;
    }
    record_.Write("sent piece " + std::to_string(i + 1) + " of " +
                  std::to_string(kPieces) + " of " + id);
  }
  return false;
}

bool Server::AnswerStream(const Request& request, bool unframed,
                          Socket* socket) {
  const std::string id(request[names_.request_id]);
  const std::string after(request["Last-Event-Id"]);
  int last = 0;
  std::from_chars(after.data(), after.data() + after.size(), last);
  const int events = EventCount(std::string(request.target()));
  if (unframed) {
    record_.Write("begins " + id + " without a length");
  }
  const std::string framing =
      unframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
  if (!Write(socket,
             Head(request, "Content-Type: text/event-stream\r\n" + framing))) {
    return false;
  }
  for (int number = last + 1; number <= events; ++number) {
    std::this_thread::sleep_for(kEventTime);
    const std::string event = StreamEvent(id, number);
    if (!Write(socket, unframed ? event : Chunk(event))) {
      record_.Write("lost the channel of " + id);
      return false;
    }
  }
  record_.Write("ends " + id + " with event " + std::to_string(events));
  return !unframed && Write(socket, "0\r\n\r\n");
}

}  // namespace harecrank::review
