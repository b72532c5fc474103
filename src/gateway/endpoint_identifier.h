// Asks whether the process of an endpoint still runs at its address.

#ifndef HARECRANK_SRC_GATEWAY_ENDPOINT_IDENTIFIER_H_
#define HARECRANK_SRC_GATEWAY_ENDPOINT_IDENTIFIER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "harecrank/core/strong_types.h"
#include "src/gateway/endpoint_prober.h"
#include "src/gateway/protocol_names.h"

namespace harecrank {

// Asks the process that listens at an address for its health, naming the
// endpoint that it should be. A connection alone does not tell who accepts it:
// an endpoint that has crashed may be up again within milliseconds. Not
// thread-safe; runs on its io_context.
class EndpointIdentifier {
 public:
  struct Question {
    EndpointId endpoint;
    std::string address;
    // Path of the endpoint's health check. Without one nothing can be asked.
    std::string health_path;
    // How long to wait for an answer. An endpoint may answer late, since a
    // health check waits for a slot as a request does.
    Millis patience{0};
  };
  // Called with kSame, kReplaced, kRefused or kTimedOut.
  using OnResult = std::function<void(ProbeResult result)>;

  // `names` must outlive this.
  EndpointIdentifier(boost::asio::io_context* io, const ProtocolNames* names)
      : io_(io), names_(names) {}

  // Calls `on_result` once, never from within this call. Waits for
  // kProcessEndingTime first, so that a process that is ending does not answer.
  // A connection that ends without an answer is tried again, since a busy
  // endpoint resets connections. An answer that is malformed is none.
  void Ask(Question question, OnResult on_result);

 private:
  boost::asio::io_context* io_;
  const ProtocolNames* names_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_IDENTIFIER_H_
