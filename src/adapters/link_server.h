// The sidecar's side of the links from entry hosts. A link is a websocket
// connection between an entry host and a sidecar.

#ifndef HARECRANK_SRC_ADAPTERS_LINK_SERVER_H_
#define HARECRANK_SRC_ADAPTERS_LINK_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/adapters/wire.h"

namespace harecrank {

// Identifies a connection. Never reused within one incarnation of the process.
using ConnectionId = StrongNumber<struct ConnectionTag, std::uint64_t>;

// Accepts links from entry hosts, and sends and receives messages over them.
// Sending is thread-safe. The handlers are called on the server's own thread
// and must not block.
class LinkServer {
 public:
  // Functions that the server calls on events of its links.
  struct Handlers {
    std::function<void(ConnectionId, wire::Message)> on_message;
    std::function<void(ConnectionId)> on_close;
  };

  // Listens on `address`, an IP address and port. Throws std::exception if it
  // cannot be bound. Incoming connections are not accepted until Start is
  // called.
  LinkServer(const std::string& address, Handlers handlers);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  // Starts to accept connections. Must be called once, after the owner has
  // stored the server: a handler that runs while the owner is still
  // constructing the server dereferences a null pointer. If the constructor
  // accepted connections, about 3% of starts would crash on a busy machine.
  void Start();

  // Sends a message. Returns false if the connection is closed.
  bool Send(ConnectionId connection, const wire::Message& message);

  // Closes one connection.
  void Close(ConnectionId connection);

  // Closes all connections and stops the server's thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_LINK_SERVER_H_
