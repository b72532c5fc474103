// The sidecar's end of the links from entry hosts.

#ifndef HARECRANK_SRC_ADAPTERS_LINK_SERVER_H_
#define HARECRANK_SRC_ADAPTERS_LINK_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/adapters/wire.h"

namespace harecrank {

// Names one connection. Never reused within one incarnation.
using ConnectionId = StrongNumber<struct ConnectionTag, std::uint64_t>;

// Takes links and the messages on them. Sending is thread-safe; the handlers
// are called on the server's own thread and must not wait.
class LinkServer {
 public:
  struct Handlers {
    std::function<void(ConnectionId, wire::Message)> on_message;
    std::function<void(ConnectionId)> on_close;
  };

  // Listens on `address`, an IP number and port. Throws std::exception if that
  // cannot be had. Links wait until Start.
  LinkServer(const std::string& address, Handlers handlers);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  // Takes links from now on. To be called once, by an owner that can be called
  // back: a handler that ran while its owner was still making the server ended
  // a sidecar that had just started. Beside busy processes that came in 48 of
  // 1,600 starts.
  void Start();

  // Sends a message. Returns false if the connection is gone.
  bool Send(ConnectionId connection, const wire::Message& message);

  // Cuts one connection.
  void Close(ConnectionId connection);

  // Cuts all connections and ends the server's thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_LINK_SERVER_H_
