#include "src/gateway/attempt.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "src/adapters/system_sources.h"
#include "src/gateway/http_client.h"
#include "src/gateway/socket_options.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;

class RecordingObserver : public AttemptObserver {
 public:
  void OnSent() override { ++sent_; }
  void OnResponseHead(const ResponseHead&) override {}
  void OnResponseBytes(std::string_view) override {}
  void OnResponseEnd() override {}
  void OnFailure(const AttemptFailure& failure) override {
    failures_.push_back(failure);
  }

  int Sent() const { return sent_; }
  const std::vector<AttemptFailure>& Failures() const { return failures_; }

 private:
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
 protected:
  void Start(const std::string& address, Millis connect_timeout) {
    OutgoingRequest request;
    request.head = "GET / HTTP/1.1\r\n\r\n";
    request.body = std::make_shared<const std::string>();
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
