#include "src/gateway/endpoint_connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

namespace harecrank {
namespace {

namespace asio = boost::asio;

const EndpointId kId{"a"};

class PoolFixture {
 protected:
  std::unique_ptr<EndpointConnection> Open() {
    auto connection = pool_.MakeNew(kId);
    connection->socket.connect(acceptor_.local_endpoint());
    return connection;
  }

  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_{
      io_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  TimePoint now_{std::chrono::hours(1)};
  EndpointConnectionPool pool_{&io_, [this] { return now_; }};
};

TEST_CASE_METHOD(PoolFixture, "A returned connection is reused") {
  pool_.PutIdle(Open());
  CHECK(pool_.TakeIdle(kId) != nullptr);
  CHECK(pool_.TakeIdle(kId) == nullptr);
}

// An endpoint may restart elsewhere while a request to its earlier incarnation
// is in progress. If the connection of that request were pooled afterwards, all
// further requests would be sent over it to the earlier incarnation.
TEST_CASE_METHOD(PoolFixture,
                 "A connection in use during Forget is not pooled") {
  pool_.PutIdle(Open());
  auto in_use = Open();
  now_ += Millis(5);
  pool_.Forget(kId);
  CHECK(pool_.IdleCount() == 0);
  pool_.PutIdle(std::move(in_use));
  CHECK(pool_.TakeIdle(kId) == nullptr);
  now_ += Millis(5);
  pool_.PutIdle(Open());
  CHECK(pool_.TakeIdle(kId) != nullptr);
}

}  // namespace
}  // namespace harecrank
