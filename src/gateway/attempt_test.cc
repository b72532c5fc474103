#include "src/gateway/attempt.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/adapters/system_sources.h"
#include "src/gateway/http_client.h"
#include "src/gateway/socket_options.h"
#include "testing/byte_server.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;

class RecordingObserver : public AttemptObserver {
 public:
  void OnSent() override { ++sent_; }
  void OnResponseHead(const ResponseHead&) override { has_head_ = true; }
  void OnResponseBytes(std::string_view) override {}
  void OnResponseEnd() override { has_ended_ = true; }
  void OnFailure(const AttemptFailure& failure) override {
    failures_.push_back(failure);
  }

  int Sent() const { return sent_; }
  bool HasHead() const { return has_head_; }
  bool HasEnded() const { return has_ended_; }
  const std::vector<AttemptFailure>& Failures() const { return failures_; }

 private:
  bool has_head_ = false;
  bool has_ended_ = false;
  int sent_ = 0;
  std::vector<AttemptFailure> failures_;
};

// A listening socket whose connections are never answered.
class SilentEndpoint {
 public:
  explicit SilentEndpoint(asio::io_context* io)
      : acceptor_(*io, {asio::ip::make_address("127.0.0.1"), 0}) {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  asio::ip::tcp::acceptor acceptor_;
};

// One attempt and the events that its observer has received.
class AttemptFixture {
 public:
  void Start(const std::string& address, Millis connect_timeout,
             std::string body = "") {
    names_.request_id = "Id";
    OutgoingRequest request;
    request.request_id = "r1";
    request.head = "GET / HTTP/1.1\r\n\r\n";
    request.body = std::make_shared<const std::string>(std::move(body));
    attempt_->Start(connections_.MakeNew(EndpointId{"e"}), address,
                    std::move(request), connect_timeout);
  }

  asio::io_context io_;
  EndpointConnectionPool connections_{&io_, SystemClock()};
  ProtocolNames names_;
  RecordingObserver observer_;
  std::shared_ptr<Attempt> attempt_ =
      std::make_shared<Attempt>(&io_, &connections_, &names_, &observer_);
};

TEST_CASE_METHOD(
    AttemptFixture,
    "A connection established together with its time-out counts as sent",
    "[gateway][attempt]") {
  const SilentEndpoint endpoint(&io_);
  constexpr Millis kConnectTimeout{1};
  Start(endpoint.Address(), kConnectTimeout);

  // The process is stalled: the connection and the time-out are both due in
  // the next turn of the event loop.
  std::this_thread::sleep_for(20 * kConnectTimeout);
  io_.run_for(20 * kConnectTimeout);

  REQUIRE(observer_.Sent() == 1);
  REQUIRE(observer_.Failures().empty());
  attempt_->Cancel();
}

TEST_CASE_METHOD(AttemptFixture,
                 "An attempt at an invalid address fails as not sent",
                 "[gateway][attempt]") {
  Start("no address", Millis(1000));
  io_.run_for(Millis(20));

  REQUIRE(observer_.Sent() == 0);
  REQUIRE(observer_.Failures().size() == 1);
  REQUIRE(std::holds_alternative<AttemptNotSent>(observer_.Failures().front()));
}

// The request is written in pieces beside the read of the answer. Depending on
// where the event loop stands when the reset comes, a piece takes the error
// from the socket, and the read sees an end before the write has told of it.
TEST_CASE("A reset that the write learns of first cuts an answer off",
          "[gateway][attempt]") {
  constexpr std::size_t kBodyBytes = 64U << 20U;
  constexpr int kMaxTurns = 12;
  int heads = 0;
  for (int turns = 0; turns < kMaxTurns; ++turns) {
    std::promise<void> may_reset;
    std::promise<void> was_reset;
    const testing::ByteServer server([&](testing::ByteConnection& connection) {
      connection.ReadHead();
      connection.Send("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n");
      may_reset.get_future().wait();
      connection.Reset();
      was_reset.set_value();
    });
    AttemptFixture attempt;
    attempt.Start(server.Address(), Millis(1000), std::string(kBodyBytes, 'b'));
    const auto limit = std::chrono::steady_clock::now() + Millis(2000);
    while (!attempt.observer_.HasHead() &&
           std::chrono::steady_clock::now() < limit) {
      attempt.io_.poll_one();
    }
    heads += attempt.observer_.HasHead() ? 1 : 0;
    for (int i = 0; i < turns; ++i) {
      attempt.io_.poll_one();
    }
    may_reset.set_value();
    was_reset.get_future().wait();
    std::this_thread::sleep_for(Millis(10));
    attempt.io_.run_for(Millis(200));
    CAPTURE(turns);
    CHECK_FALSE(attempt.observer_.HasEnded());
    CHECK(attempt.observer_.Failures().size() == 1);
    attempt.attempt_->Cancel();
  }
  CHECK(heads > 0);
}

TEST_CASE("Endpoint sockets detect a silent host by TCP keep-alive",
          "[gateway][attempt]") {
  asio::io_context io;
  const SilentEndpoint endpoint(&io);
  asio::ip::tcp::socket socket(io);
  socket.connect(*ParseTcpEndpoint(endpoint.Address()));
  SetEndpointOptions(&socket);

  asio::socket_base::keep_alive keep_alive_option;
  socket.get_option(keep_alive_option);
  CHECK(keep_alive_option.value());
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE> idle;
  socket.get_option(idle);
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL> interval;
  socket.get_option(interval);
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT> count;
  socket.get_option(count);
  const Millis detection_time(
      1000 * (idle.value() + interval.value() * count.value()));
  CHECK(detection_time == kKeepaliveTimeout);
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> limit;
  socket.get_option(limit);
  CHECK(Millis(limit.value()) == kKeepaliveTimeout);
  // Engines must free memory that no request uses within four seconds.
  CHECK(kKeepaliveTimeout < Millis(4000));
}

}  // namespace
}  // namespace harecrank
