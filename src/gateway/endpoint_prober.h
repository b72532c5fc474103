// Whether a process listens at an endpoint's address.

#ifndef HARECRANK_SRC_GATEWAY_ENDPOINT_PROBER_H_
#define HARECRANK_SRC_GATEWAY_ENDPOINT_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// What an endpoint's address says to a new connection.
enum class ProbeResult {
  // Nobody listens: its process has ended.
  kRefused,
  // Its process runs.
  kAccepted,
  // No word in time: a link may be cut, or its whole machine be gone.
  kTimedOut,
  // It was not asked.
  kSkipped
};

// Names it in logs.
const char* Name(ProbeResult result);

// Opens connections and closes them at once. Not thread-safe; runs on its
// io_context.
class EndpointProber {
 public:
  using OnResult = std::function<void(ProbeResult result)>;

  explicit EndpointProber(boost::asio::io_context* io) : io_(io) {}

  // Calls `on_result` once, never from within. All that ask for an address
  // while a probe of it is under way share that one: an engine that ends breaks
  // dozens of requests at once, and each connection has a price.
  void Probe(const std::string& address, OnResult on_result);

  // Calls `on_result` with kSkipped, never from within.
  void Skip(OnResult on_result);

  // How long a connection may take to come up, as for requests.
  static constexpr Millis kTimeout{250};

 private:
  void OnDone(const std::string& address, ProbeResult result);

  boost::asio::io_context* io_;
  std::map<std::string, std::vector<OnResult>> under_way_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_PROBER_H_
