#include "review/standins/client.h"

#include <thread>

#include "platform/names.h"
#include "review/standins/address.h"
#include "review/standins/answers.h"

namespace harecrank::review {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

// How long a client waits for an answer, as on the users' sheets.
constexpr milliseconds kDeadline{10000};
// How long a client allows a channel to come up, and how long it waits after a
// failure.
constexpr milliseconds kConnectTime{1000};
constexpr milliseconds kFailurePause{100};

// Runs the handlers of `io` until the asynchronous operation that was started
// has ended.
void Finish(asio::io_context* io) {
  io->restart();
  io->run();
}

}  // namespace

Client::Client(const ClientOptions& options, int number)
    : options_(options),
      number_(number),
      names_(platform::MakeProtocolNames()),
      record_(options.record, "client-" + std::to_string(number)) {}

void Client::Run(std::chrono::steady_clock::time_point end) {
  std::size_t turn = static_cast<std::size_t>(number_);
  while (std::chrono::steady_clock::now() < end) {
    SendOne(options_.paths[turn++ % options_.paths.size()]);
    std::this_thread::sleep_for(milliseconds(options_.pause_ms));
  }
}

void Client::SendOne(const std::string& path) {
  const std::string id = options_.name + "-" + std::to_string(number_) + "-" +
                         std::to_string(++sent_);
  boost::system::error_code error;
  if (channel_ == nullptr) {
    buffer_.clear();
    channel_ = std::make_unique<beast::tcp_stream>(io_);
    const std::size_t gateway =
        static_cast<std::size_t>(number_) % options_.gateways.size();
    channel_->expires_after(kConnectTime);
    channel_->async_connect(
        ParseAddress(options_.gateways[gateway]),
        [&error](boost::system::error_code result) { error = result; });
    Finish(&io_);
  }
  const std::string text = RequestText(id, path + id);
  if (!error) {
    record_.Write("sends " + id + " to " + path + id);
    channel_->expires_after(kDeadline);
    asio::async_write(*channel_, asio::buffer(text),
                      [&error](boost::system::error_code result, std::size_t) {
                        error = result;
                      });
    Finish(&io_);
  }
  if (error) {
    record_.Write("could not send " + id + ": " + error.message());
    channel_.reset();
    std::this_thread::sleep_for(kFailurePause);
    return;
  }
  ReadAnswer(id, path);
}

std::string Client::RequestText(const std::string& id,
                                const std::string& path) const {
  const bool is_read = path.rfind(kPlainPath, 0) == 0;
  std::string text = (is_read ? "GET " : "POST ") + path +
                     " HTTP/1.1\r\nHost: a.example\r\n" + names_.request_id +
                     ": " + id + "\r\n" + names_.time_left + ": " +
                     std::to_string(kDeadline.count()) +
                     "\r\nAuthorization: Bearer " + options_.key + "\r\n";
  if (EventCount(path) > 0) {
    text += names_.token_counts + ": 1000,4000\r\n" + names_.prompt_parts +
            ": a1:40,b" + std::to_string(number_) + ":960\r\n";
  }
  return text + (is_read ? "\r\n" : "Content-Length: 0\r\n\r\n");
}

void Client::ReadAnswer(const std::string& id, const std::string& path) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  boost::system::error_code error;
  channel_->expires_after(kDeadline);
  http::async_read(*channel_, buffer_, parser,
                   [&error](boost::system::error_code result, std::size_t) {
                     error = result;
                   });
  Finish(&io_);
  if (!parser.is_header_done()) {
    record_.Write("got no answer to " + id + ": " + error.message());
    channel_.reset();
    return;
  }
  const auto& answer = parser.get();
  const bool sealed = answer.count(names_.answer_signature) != 0;
  const std::string framing =
      error ? "broken off (" + error.message() + ")" : "complete";
  record_.Write("got " + std::to_string(answer.result_int()) + " to " + id +
                (sealed ? " sealed " : " unsealed ") + framing + ", body " +
                Compare(id, path, answer.body()));
  if (error || !parser.keep_alive()) {
    channel_.reset();
  }
}

std::string Client::Compare(const std::string& id, const std::string& path,
                            const std::string& body) const {
  const int events = EventCount(path);
  std::string expected;
  if (events == 0) {
    expected = PlainBody(id);
  }
  for (int number = 1; number <= events; ++number) {
    expected += StreamEvent(id, number);
  }
  if (body == expected) {
    return "whole";
  }
  const std::string sizes = std::to_string(body.size()) + " of " +
                            std::to_string(expected.size()) + " bytes";
  return (expected.compare(0, body.size(), body) == 0 ? "cut at " : "other, ") +
         sizes;
}

void RunClients(const ClientOptions& options) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(options.clients));
  for (int i = 0; i < options.clients; ++i) {
    threads.emplace_back([&options, i, end] { Client(options, i).Run(end); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace harecrank::review
