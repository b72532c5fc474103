#include "src/adapters/http_call.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <streambuf>
#include <string_view>
#include <utility>

#include "src/adapters/answer_facts.h"
#include "src/adapters/tcp_endpoint.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Error = boost::system::error_code;

constexpr std::uint32_t kMaxHeaderBytes = 64U << 10U;
// Maximum size of the read buffer, which holds a head, the line of a chunk's
// size with its extensions, a trailer, or a piece of the body.
constexpr std::size_t kMaxBufferedBytes = std::size_t{2} * kMaxHeaderBytes;
constexpr std::size_t kReadBytes = 16384;
constexpr unsigned kHttp11 = 11;

struct Describer {
  std::string operator()(const Unreachable& error) const {
    return "no connection: " + error.reason;
  }
  std::string operator()(const NoResponse& error) const {
    return "no answer: " + error.reason;
  }
  std::string operator()(const ResponseTooLarge& error) const {
    return "the answer is larger than " + std::to_string(error.limit) +
           " bytes";
  }
};

http::request<http::string_body> MakeRequest(const HttpCall& call) {
  http::request<http::string_body> request(http::string_to_verb(call.method),
                                           call.path, kHttp11);
  request.method_string(call.method);
  request.set(http::field::host, call.address);
  request.set(http::field::connection, "close");
  for (const HttpHeader& field : call.fields) {
    request.set(field.name, field.value);
  }
  if (!call.body.empty() || call.method == "POST") {
    request.set(http::field::content_type, call.content_type);
    request.body() = call.body;
    request.content_length(call.body.size());
  }
  return request;
}

// One call, from its connection to the end of its response.
class Session {
 public:
  explicit Session(const HttpCall& call)
      : call_(call), ends_at_(Clock::now() + call.timeout), stream_(io_) {
    stream_.expires_at(ends_at_);
  }

  Error Connect() {
    const auto endpoint = ParseTcpEndpoint(call_.address);
    if (!endpoint.has_value()) {
      return asio::error::invalid_argument;
    }
    std::optional<Error> result;
    stream_.async_connect(*endpoint,
                          [&result](const Error& error) { result = error; });
    RunUntil(result);
    Error ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    return *result;
  }

  // Begins to send the request and reads the head of the response. A server may
  // answer before it has read the whole request, so that the request is sent
  // while the response is read. The body is released once it is written.
  std::optional<HttpError> Exchange() {
    request_ = MakeRequest(call_);
    http::async_write(stream_, request_,
                      [this](const Error& error, std::size_t /*bytes*/) {
                        write_error_ = error;
                        is_written_ = !error;
                        std::string().swap(request_.body());
                      });
    return ReadHead();
  }

  // Reads what arrives next of the body. Returns 0 at its end, or after an
  // error.
  std::size_t Read(char* data, std::size_t size) {
    while (!error_ && !parser_->is_done()) {
      // The stream's own time-out does not pass while bytes are ready.
      if (Clock::now() >= ends_at_) {
        error_ = beast::error::timeout;
        return 0;
      }
      auto& body = parser_->get().body();
      body.data = data;
      body.size = size;
      std::optional<Error> result;
      http::async_read_some(
          stream_, buffer_, *parser_,
          [&result](const Error& error, std::size_t /*bytes*/) {
            result = error;
          });
      RunUntil(result);
      const std::size_t received = size - body.size;
      if (*result != http::error::need_buffer) {
        error_ = *result;
      }
      if (!error_ && parser_->is_done() && parser_->need_eof()) {
        error_ = EndError();
      }
      if (received > 0) {
        return received;
      }
    }
    return 0;
  }

  // Returns the length of the body that the head tells, or 0 if it tells none.
  std::uint64_t AnnouncedBytes() const {
    return parser_->content_length().value_or(0);
  }

  // Returns why the body was cut off, if it was.
  const Error& BodyError() const { return error_; }

  HttpResponse Head() const {
    const auto& head = parser_->get();
    HttpResponse response;
    response.status = static_cast<int>(head.result_int());
    response.content_type = std::string(head[http::field::content_type]);
    response.retry_after = std::string(head[http::field::retry_after]);
    const auto coding = head.find(http::field::content_encoding);
    response.is_encoded =
        coding != head.end() && !beast::iequals(coding->value(), "identity");
    response.ends_with_connection = parser_->need_eof();
    return response;
  }

 private:
  using Clock = std::chrono::steady_clock;
  using Parser = http::response_parser<http::buffer_body>;

  // Returns why there is no response.
  std::optional<HttpError> ReadHead() {
    buffer_.max_size(kMaxBufferedBytes);
    AnswerHeads heads;
    for (;;) {
      if (const Error error = ReadNextHead()) {
        return NoResponse{(write_error_ ? write_error_ : error).message()};
      }
      const HeadVerdict verdict = heads.Check(FactsOf(parser_->get()));
      if (const auto* fault = std::get_if<HeadFault>(&verdict)) {
        return NoResponse{std::string("malformed: ") + NameOf(*fault)};
      }
      if (std::get<AnswerStage>(verdict) == AnswerStage::kFinal) {
        return std::nullopt;
      }
    }
  }

  Error ReadNextHead() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(boost::none);
    parser_->skip(call_.method == "HEAD");
    std::optional<Error> result;
    http::async_read_header(
        stream_, buffer_, *parser_,
        [&result](const Error& error, std::size_t /*bytes*/) {
          result = error;
        });
    RunUntil(result);
    return *result;
  }

  // Returns why the body was cut off that has ended with its connection, if it
  // was.
  Error EndError() {
    EndVerdict verdict = JudgeEnd(End());
    if (verdict == EndVerdict::kTooEarly) {
      SendOn(kEarlyEndPause);
      verdict = JudgeEnd(End());
    }
    if (verdict != EndVerdict::kCutOff) {
      return {};
    }
    return write_error_ ? write_error_ : asio::error::connection_reset;
  }

  ConnectionEnd End() {
    return AskEnd(&stream_.socket(), static_cast<bool>(write_error_),
                  is_written_);
  }

  // Lets the request be written for `time`.
  void SendOn(Millis time) {
    asio::steady_timer timer(io_, time);
    std::optional<Error> result;
    timer.async_wait([&result](const Error& error) { result = error; });
    RunUntil(result);
  }

  // Runs what was begun until there is a `result`.
  void RunUntil(const std::optional<Error>& result) {
    io_.restart();
    while (!result.has_value() && io_.run_one() > 0) {
    }
  }

  const HttpCall& call_;
  Clock::time_point ends_at_;
  asio::io_context io_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<Parser> parser_;
  bool is_written_ = false;
  Error write_error_;
  Error error_;
};

// The body of a response as the source of a stream.
class BodySource : public std::streambuf {
 public:
  explicit BodySource(Session* session) : session_(session) {}

 protected:
  int_type underflow() override {
    const std::size_t size = session_->Read(bytes_.data(), bytes_.size());
    setg(bytes_.data(), bytes_.data(), bytes_.data() + size);
    return size == 0 ? traits_type::eof() : traits_type::to_int_type(*gptr());
  }

 private:
  Session* session_;
  std::array<char, kReadBytes> bytes_{};
};

// Collects a body. Its memory grows by doubling.
class BodyBuffer {
 public:
  BodyBuffer(std::size_t max_bytes, const FitsInMemory& fits)
      : max_bytes_(max_bytes), fits_(fits) {}

  // Makes room for a body of `bytes`. Returns whether there is.
  bool Grow(std::uint64_t bytes) {
    if (bytes > max_bytes_) {
      return false;
    }
    const auto wanted = static_cast<std::size_t>(bytes);
    if (wanted <= bytes_.capacity()) {
      return true;
    }
    // What was read is copied, and held twice meanwhile.
    if (!fits_(wanted + bytes_.size())) {
      return false;
    }
    bytes_.reserve(wanted);
    return true;
  }

  bool Append(std::string_view bytes) {
    const std::size_t size = bytes_.size() + bytes.size();
    if (size > max_bytes_ ||
        (size > bytes_.capacity() && !Grow(std::min(2 * size, max_bytes_)))) {
      return false;
    }
    bytes_.append(bytes);
    return true;
  }

  std::string Take() { return std::move(bytes_); }

 private:
  std::size_t max_bytes_;
  const FitsInMemory& fits_;
  std::string bytes_;
};

leaf::error_id NewNoResponse(const Error& error) {
  return leaf::new_error(HttpError{NoResponse{error.message()}});
}

// Connects, sends the request and reads the head of the response.
leaf::result<void> Begin(Session* session) {
  if (const Error error = session->Connect()) {
    return leaf::new_error(HttpError{Unreachable{error.message()}});
  }
  if (auto error = session->Exchange()) {
    return leaf::new_error(*std::move(error));
  }
  return {};
}

}  // namespace

std::string Describe(const HttpError& error) {
  return std::visit(Describer{}, error);
}

leaf::result<HttpResponse> SendHttpRequest(const HttpCall& call,
                                           std::size_t max_bytes) {
  return SendHttpRequest(call, max_bytes, [](std::size_t) { return true; });
}

leaf::result<HttpResponse> SendHttpRequest(const HttpCall& call,
                                           std::size_t max_bytes,
                                           const FitsInMemory& fits) {
  Session session(call);
  BOOST_LEAF_CHECK(Begin(&session));
  HttpResponse response = session.Head();
  BodyBuffer body(max_bytes, fits);
  bool has_room = body.Grow(session.AnnouncedBytes());
  std::array<char, kReadBytes> bytes{};
  while (has_room) {
    const std::size_t size = session.Read(bytes.data(), bytes.size());
    if (size == 0) {
      break;
    }
    has_room = body.Append(std::string_view(bytes.data(), size));
  }
  if (!has_room) {
    return leaf::new_error(HttpError{ResponseTooLarge{max_bytes}});
  }
  if (const Error& error = session.BodyError()) {
    return NewNoResponse(error);
  }
  response.body = body.Take();
  return response;
}

leaf::result<void> StreamHttp(
    const HttpCall& call,
    const std::function<void(int status, std::istream& body)>& read) {
  Session session(call);
  BOOST_LEAF_CHECK(Begin(&session));
  BodySource source(&session);
  std::istream body(&source);
  read(session.Head().status, body);
  if (const Error& error = session.BodyError()) {
    return NewNoResponse(error);
  }
  return {};
}

bool AcceptsConnection(const std::string& address, Millis timeout) {
  HttpCall call;
  call.address = address;
  call.timeout = timeout;
  return !Session(call).Connect();
}

}  // namespace harecrank
