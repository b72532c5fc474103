// The entry host's side of the links to sidecars. A link is a websocket
// connection between an entry host and a sidecar.

#ifndef HARECRANK_SRC_ADAPTERS_LINK_CLIENT_H_
#define HARECRANK_SRC_ADAPTERS_LINK_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/adapters/wire.h"

namespace harecrank {

// Identifies a connection that this process opened or tried to open. Never
// reused.
using DialId = StrongNumber<struct DialTag, std::uint64_t>;

// Opens links to sidecars, and sends and receives messages over them. Sending
// is thread-safe. The handlers are called on the client's own thread and must
// not block.
class LinkClient {
 public:
  // Functions that the client calls on events of its links.
  struct Handlers {
    std::function<void(DialId)> on_open;
    std::function<void(DialId, wire::Message)> on_message;
    // The link was closed or could not be opened. Called once for each Dial.
    std::function<void(DialId)> on_close;
  };

  explicit LinkClient(Handlers handlers);
  ~LinkClient();
  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  // Starts to open a link to `address`, an IP address and port.
  DialId Dial(const std::string& address);

  // Sends a message. Returns false if the link is not open.
  bool Send(DialId dial, const wire::Message& message);

  // Closes a link.
  void Close(DialId dial);

  // Closes all links and stops the client's thread. No handler is called after
  // this returns.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_LINK_CLIENT_H_
