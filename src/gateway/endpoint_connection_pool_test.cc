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

TEST_CASE_METHOD(PoolFixture, "A connection that comes back is used again") {
  pool_.PutIdle(Open());
  CHECK(pool_.TakeIdle(kId) != nullptr);
  CHECK(pool_.TakeIdle(kId) == nullptr);
}

// A server began its next incarnation elsewhere while a request was under way
// at the one before. Its connection came back after the idle ones had been
// closed, and every further request was placed by the new entry and sent over
// it: placed on s0, entry_revision 13, for five seconds, all at the address of
// revision 11.
TEST_CASE_METHOD(PoolFixture,
                 "A connection that was in use when its endpoint was forgotten "
                 "is not kept") {
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
