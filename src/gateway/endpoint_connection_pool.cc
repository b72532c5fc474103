#include "src/gateway/endpoint_connection_pool.h"

#include <algorithm>
#include <utility>

#include "src/gateway/socket_options.h"

namespace harecrank {

EndpointConnectionPool::EndpointConnectionPool(boost::asio::io_context* io,
                                               MonotonicClock clock)
    : io_(io), clock_(std::move(clock)) {}

std::unique_ptr<EndpointConnection> EndpointConnectionPool::TakeIdle(
    const EndpointId& endpoint) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  std::unique_ptr<EndpointConnection> taken;
  while (!connections.empty() && taken == nullptr) {
    if (!IsUnusable(connections.back().get())) {
      taken = std::move(connections.back());
    }
    connections.pop_back();
  }
  if (connections.empty()) {
    idle_.erase(found);
  }
  return taken;
}

std::unique_ptr<EndpointConnection> EndpointConnectionPool::MakeNew(
    const EndpointId& endpoint) {
  auto connection = std::make_unique<EndpointConnection>(io_);
  connection->endpoint = endpoint;
  connection->opened = clock_();
  return connection;
}

void EndpointConnectionPool::PutIdle(
    std::unique_ptr<EndpointConnection> connection) {
  // A connection opened before the endpoint restarted elsewhere leads to the
  // earlier incarnation. If it were kept, all further requests would be sent
  // there.
  const auto forgotten = forgotten_.find(connection->endpoint);
  if (forgotten != forgotten_.end() &&
      connection->opened <= forgotten->second) {
    return;
  }
  auto& connections = idle_[connection->endpoint];
  if (connections.size() >= kMaxIdlePerEndpoint) {
    return;
  }
  connection->reused = true;
  connection->idle_since = clock_();
  if (connection->idle_limit == Millis(0)) {
    connection->idle_limit = kDefaultIdleLimit;
  }
  connections.push_back(std::move(connection));
}

void EndpointConnectionPool::Forget(const EndpointId& endpoint) {
  idle_.erase(endpoint);
  forgotten_[endpoint] = clock_();
}

void EndpointConnectionPool::Sweep() {
  for (auto it = forgotten_.begin(); it != forgotten_.end();) {
    const bool is_old = clock_() - it->second >= kForgottenRetention;
    it = is_old ? forgotten_.erase(it) : std::next(it);
  }
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& connections = it->second;
    connections.erase(
        std::remove_if(connections.begin(), connections.end(),
                       [this](const auto& c) { return IsUnusable(c.get()); }),
        connections.end());
    it = connections.empty() ? idle_.erase(it) : std::next(it);
  }
}

std::size_t EndpointConnectionPool::IdleCount() const {
  std::size_t count = 0;
  for (const auto& [endpoint, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

bool EndpointConnectionPool::IsUnusable(EndpointConnection* connection) const {
  if (clock_() - connection->idle_since >= connection->idle_limit) {
    return true;
  }
  return !IsQuiet(&connection->socket);
}

}  // namespace harecrank
