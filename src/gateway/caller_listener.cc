#include "src/gateway/caller_listener.h"

#include <algorithm>
#include <utility>

#include "src/gateway/simple_http_server.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;

// Delay before the next connection is accepted after an accept has failed, for
// example for lack of file descriptors.
constexpr Millis kAcceptRetryDelay{50};
// Minimum interval at which ended sessions are searched for to take a new one.
constexpr Millis kSweepInterval{20};
// Ended sessions are removed from the session list when it has grown to twice
// the length that the previous removal left, and at least to this threshold.
constexpr std::size_t kMinSweepThreshold = 64;

}  // namespace

CallerListener::CallerListener(asio::io_context* io, const std::string& address,
                               AcceptGate* gate, RequestShare* share,
                               SessionContext context, Metrics* metrics)
    : io_(io),
      acceptor_(Listen(io, address)),
      retry_timer_(*io),
      gate_(gate),
      share_(share),
      context_(std::move(context)),
      metrics_(metrics),
      sweep_threshold_(kMinSweepThreshold) {}

void CallerListener::Start() { Accept(); }

void CallerListener::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

void CallerListener::CloseIdle() {
  // CloseIfIdle does not modify `sessions_`, so the loop may call it.
  for (const auto& weak : sessions_) {
    if (const auto session = weak.lock()) {
      session->CloseIfIdle();
    }
  }
  RemoveClosed();
}

std::size_t CallerListener::BusyCount() {
  RemoveClosed();
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(), [](const auto& weak) {
        const auto session = weak.lock();
        return session != nullptr && session->IsBusy();
      }));
}

void CallerListener::Accept() {
  acceptor_.async_accept(*io_, [this](boost::system::error_code error,
                                      asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      RetryAccept();
      return;
    }
    OnAccepted(std::move(socket));
    Accept();
  });
}

void CallerListener::OnAccepted(asio::ip::tcp::socket socket) {
  const AcceptDecision decision = Decide();
  if (decision != AcceptDecision::kTaken) {
    share_->OnRequest();
    // The socket's destructor closes the connection, of which nothing was read.
    metrics_
        ->GetCounter("harecrank_gateway_callers_refused_total",
                     std::string("cause=\"") + NameOf(decision) + "\"")
        ->Add();
    return;
  }
  const auto session =
      std::make_shared<CallerSession>(std::move(socket), &context_);
  sessions_.push_back(session);
  session->Start();
  if (sessions_.size() >= sweep_threshold_) {
    RemoveClosed();
    sweep_threshold_ = std::max(kMinSweepThreshold, 2 * sessions_.size());
  }
}

AcceptDecision CallerListener::Decide() {
  const TimePoint now = context_.clock();
  if (!gate_->HasRoom(sessions_.size()) &&
      now - last_sweep_at_ >= kSweepInterval) {
    last_sweep_at_ = now;
    RemoveClosed();
  }
  return gate_->Decide(sessions_.size());
}

void CallerListener::RetryAccept() {
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Accept();
    }
  });
}

void CallerListener::RemoveClosed() {
  sessions_.erase(std::remove_if(sessions_.begin(), sessions_.end(),
                                 [](const auto& weak) {
                                   const auto session = weak.lock();
                                   return session == nullptr ||
                                          session->IsClosed();
                                 }),
                  sessions_.end());
}

}  // namespace harecrank
