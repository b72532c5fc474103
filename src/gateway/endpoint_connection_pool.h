// Pool of connections to endpoints.

#ifndef HARECRANK_SRC_GATEWAY_ENDPOINT_CONNECTION_POOL_H_
#define HARECRANK_SRC_GATEWAY_ENDPOINT_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// One connection to one endpoint.
struct EndpointConnection {
  explicit EndpointConnection(boost::asio::io_context* io) : socket(*io) {}

  TimePoint opened{};
  EndpointId endpoint;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  // Whether the connection has carried a request before.
  bool reused = false;
  TimePoint idle_since{};
  // How long this connection may stay idle: the time-out in the endpoint's
  // Keep-Alive header less kIdleMargin. Zero if the endpoint has sent no such
  // header.
  Millis idle_limit{0};
};

// Keeps idle connections to endpoints so that later requests can reuse them.
// Not thread-safe.
class EndpointConnectionPool {
 public:
  EndpointConnectionPool(boost::asio::io_context* io, MonotonicClock clock);

  // Returns the idle connection to `endpoint` that was used last, or null.
  // Connections that the endpoint has closed, or on which unexpected bytes have
  // arrived, are closed and not returned.
  std::unique_ptr<EndpointConnection> TakeIdle(const EndpointId& endpoint);

  // Returns a new connection object whose socket is not open yet.
  std::unique_ptr<EndpointConnection> MakeNew(const EndpointId& endpoint);

  // Takes back a connection whose last response has been read completely.
  // Closes it if the pool is full, or if Forget was called for the endpoint
  // after the connection was opened.
  void PutIdle(std::unique_ptr<EndpointConnection> connection);

  // Closes the idle connections that are unusable or have been idle for too
  // long. Called about once a second.
  void Sweep();

  std::size_t IdleCount() const;

  // Closes the idle connections to an endpoint that has left, or to an earlier
  // incarnation of it. Connections in use are closed when they are returned.
  void Forget(const EndpointId& endpoint);

  // Maximum number of idle connections for each endpoint. Covers the responses
  // that end within one round trip of each other, with room for a burst.
  static constexpr std::size_t kMaxIdlePerEndpoint = 8;
  // Idle limit of a connection whose endpoint has sent no Keep-Alive time-out.
  static constexpr Millis kDefaultIdleLimit{2500};
  // A connection is closed this long before the endpoint would close it, so
  // that a request is not sent while the endpoint is closing the connection.
  static constexpr Millis kIdleMargin{800};

  // How long the time of a Forget call is retained. Longer than any request may
  // take, since a connection that is in use during the call must be recognised
  // as outdated when it is returned.
  static constexpr Millis kForgottenRetention{600000};

 private:
  bool IsUnusable(EndpointConnection* connection) const;

  boost::asio::io_context* io_;
  MonotonicClock clock_;
  std::unordered_map<EndpointId,
                     std::vector<std::unique_ptr<EndpointConnection>>>
      idle_;
  // The time of the last Forget call for each endpoint. Retained while a
  // connection that was opened before the call may still be in use.
  std::unordered_map<EndpointId, TimePoint> forgotten_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_CONNECTION_POOL_H_
