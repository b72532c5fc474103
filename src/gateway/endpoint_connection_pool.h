// Kept connections to endpoints.

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
  // It has carried a request before.
  bool reused = false;
  TimePoint idle_since{};
  // How long the endpoint said that it keeps an idle connection.
  Millis idle_limit{0};
};

// Not thread-safe; runs on its io_context.
class EndpointConnectionPool {
 public:
  EndpointConnectionPool(boost::asio::io_context* io, MonotonicClock clock);

  // Returns the idle connection to `endpoint` that was used last, or null. One
  // that its endpoint has closed, or on which bytes have come that nobody asked
  // for, is not returned.
  std::unique_ptr<EndpointConnection> TakeIdle(const EndpointId& endpoint);

  // Returns a connection that is not open yet.
  std::unique_ptr<EndpointConnection> MakeNew(const EndpointId& endpoint);

  // Keeps a connection whose last answer has been read whole.
  void PutIdle(std::unique_ptr<EndpointConnection> connection);

  // Closes those that are spoiled or have been idle for too long. Called about
  // once a second.
  void Sweep();

  std::size_t IdleCount() const;

  // Closes the idle connections to an endpoint that has left, or to an earlier
  // incarnation of it. Those in use are not kept when they come back.
  void Forget(const EndpointId& endpoint);

  // Idle connections kept for one endpoint: as many as answers that end within
  // one another's round trips, with room for a burst.
  static constexpr std::size_t kMaxIdlePerEndpoint = 8;
  // How long a connection is kept whose endpoint said nothing of it.
  static constexpr Millis kDefaultIdleLimit{2500};
  // How long before the endpoint's own limit a connection is given up, so that
  // the two do not cross on the way.
  static constexpr Millis kIdleMargin{800};

  // Longer than any request may take.
  static constexpr Millis kForgottenRetention{600000};

 private:
  bool IsUnusable(EndpointConnection* connection) const;

  boost::asio::io_context* io_;
  MonotonicClock clock_;
  std::unordered_map<EndpointId,
                     std::vector<std::unique_ptr<EndpointConnection>>>
      idle_;
  // When endpoints were forgotten; for as long as a connection of before may
  // be in use.
  std::unordered_map<EndpointId, TimePoint> forgotten_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_CONNECTION_POOL_H_
