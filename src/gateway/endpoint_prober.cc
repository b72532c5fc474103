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

struct Attempted {
  explicit Attempted(asio::io_context* io) : socket(*io), timer(*io) {}

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
  // An endpoint that has all the connections it takes resets a further one.
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
    case ProbeResult::kTimedOut:
      break;
  }
  return "silent";
}

void EndpointProber::Probe(const std::string& address, OnResult on_result) {
  std::vector<OnResult>& waiting = under_way_[address];
  waiting.push_back(std::move(on_result));
  if (waiting.size() > 1) {
    return;
  }
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint.has_value()) {
    asio::post(*io_,
               [this, address] { OnDone(address, ProbeResult::kTimedOut); });
    return;
  }
  const auto attempted = std::make_shared<Attempted>(io_);
  attempted->timer.expires_after(kTimeout);
  attempted->timer.async_wait([attempted](const Error& error) {
    if (!error) {
      attempted->timed_out = true;
      Error ignored;
      attempted->socket.close(ignored);
    }
  });
  attempted->socket.async_connect(
      *endpoint, [this, attempted, address](const Error& error) {
        attempted->timer.cancel();
        Error ignored;
        attempted->socket.close(ignored);
        OnDone(address, ResultOf(error, attempted->timed_out));
      });
}

void EndpointProber::Skip(OnResult on_result) {
  asio::post(*io_, [on_result = std::move(on_result)] {
    on_result(ProbeResult::kSkipped);
  });
}

void EndpointProber::OnDone(const std::string& address, ProbeResult result) {
  const std::vector<OnResult> waiting = std::move(under_way_.at(address));
  under_way_.erase(address);
  for (const OnResult& on_result : waiting) {
    on_result(result);
  }
}

}  // namespace harecrank
