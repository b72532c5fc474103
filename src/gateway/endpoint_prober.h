// Probes whether a process listens at an endpoint's address.

#ifndef HARECRANK_SRC_GATEWAY_ENDPOINT_PROBER_H_
#define HARECRANK_SRC_GATEWAY_ENDPOINT_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// Result of a probe of an endpoint's address.
enum class ProbeResult {
  // The connection was refused: the endpoint's process has ended.
  kRefused,
  // The connection was accepted or reset: the process is running.
  kAccepted,
  // No response within the time-out, or the address cannot be reached: a
  // network link may have failed, or the whole machine.
  kTimedOut,
  // Skip was called instead of Probe, so no connection was attempted.
  kSkipped,
  // The process of the endpoint is running (EndpointIdentifier).
  kSame,
  // Another process listens at the address (EndpointIdentifier).
  kReplaced
};

// Returns the name of `result` in logs.
const char* Name(ProbeResult result);

// Probes an address by opening a connection and closing it at once. Not
// thread-safe; runs on its io_context.
class EndpointProber {
 public:
  using OnResult = std::function<void(ProbeResult result)>;

  explicit EndpointProber(boost::asio::io_context* io) : io_(io) {}

  // Calls `on_result` once, never from within this call. Concurrent probes of
  // the same address share one connection attempt, since the crash of an engine
  // aborts dozens of requests at once and each connection has a cost.
  void Probe(const std::string& address, OnResult on_result);

  // Calls `on_result` with kSkipped, never from within this call.
  void Skip(OnResult on_result);

  // Time-out of a probe's connection attempt; the same as the connect time-out
  // of requests.
  static constexpr Millis kTimeout{250};

 private:
  void OnDone(const std::string& address, ProbeResult result);

  boost::asio::io_context* io_;
  std::map<std::string, std::vector<OnResult>> in_progress_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_PROBER_H_
