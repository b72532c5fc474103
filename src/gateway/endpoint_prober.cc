#include "src/gateway/endpoint_prober.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

#include "src/gateway/http_client.h"
#include "src/gateway/timer.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;

// Socket and time-out timer of one probe.
struct ConnectAttempt {
  explicit ConnectAttempt(asio::io_context* io) : socket(*io), timer(*io) {}

  asio::ip::tcp::socket socket;
  Timer timer;
  bool timed_out = false;
};

ProbeResult ResultOf(const Error& error, bool timed_out) {
  if (!error) {
    return ProbeResult::kAccepted;
  }
  if (error == asio::error::connection_refused) {
    return ProbeResult::kRefused;
  }
  // An endpoint that has reached its connection limit resets further
  // connections, so a reset shows that its process is running.
  return timed_out || error != asio::error::connection_reset
             ? ProbeResult::kTimedOut
             : ProbeResult::kAccepted;
}

}  // namespace

const char* Name(ProbeResult result) {
  switch (result) {
    case ProbeResult::kRefused:
      return "refused";
    case ProbeResult::kAccepted:
      return "accepted";
    case ProbeResult::kSkipped:
      return "not_asked";
    case ProbeResult::kSame:
      return "same";
    case ProbeResult::kReplaced:
      return "replaced";
    case ProbeResult::kTimedOut:
      break;
  }
  return "silent";
}

void EndpointProber::Probe(const std::string& address, OnResult on_result) {
  std::vector<OnResult>& callbacks = in_progress_[address];
  callbacks.push_back(std::move(on_result));
  if (callbacks.size() > 1) {
    return;
  }
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint.has_value()) {
    asio::post(*io_,
               [this, address] { OnDone(address, ProbeResult::kTimedOut); });
    return;
  }
  const auto attempt = std::make_shared<ConnectAttempt>(io_);
  attempt->timer.expires_after(kTimeout);
  attempt->timer.async_wait([attempt](const Error& error) {
    if (!error) {
      attempt->timed_out = true;
      Error ignored;
      attempt->socket.close(ignored);
    }
  });
  attempt->socket.async_connect(
      *endpoint, [this, attempt, address](const Error& error) {
        attempt->timer.cancel();
        Error ignored;
        attempt->socket.close(ignored);
        OnDone(address, ResultOf(error, attempt->timed_out));
      });
}

void EndpointProber::Skip(OnResult on_result) {
  asio::post(*io_, [on_result = std::move(on_result)] {
    on_result(ProbeResult::kSkipped);
  });
}

void EndpointProber::OnDone(const std::string& address, ProbeResult result) {
  const std::vector<OnResult> callbacks = std::move(in_progress_.at(address));
  in_progress_.erase(address);
  for (const OnResult& on_result : callbacks) {
    on_result(result);
  }
}

}  // namespace harecrank
