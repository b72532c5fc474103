#include "src/gateway/caller_listener.h"

#include <algorithm>
#include <boost/asio/post.hpp>
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
// Minimum interval at which connections are closed to make room for new ones.
constexpr Millis kReliefInterval{20};
// How long a connection may be behind its pace while others need the memory or
// the place that it holds. Longer than pauses that the network causes.
constexpr Millis kMemoryPatience{1000};
constexpr Millis kPlacePatience{2000};
// Number of connections that are closed at once to make room for new ones.
constexpr std::size_t kPlacesAtOnce = 16;
// Ended sessions are removed from the session list when it has grown to twice
// the length that the previous removal left, and at least to this threshold.
constexpr std::size_t kMinSweepThreshold = 64;

std::vector<ConnectionHolding> HoldingsOf(
    const std::vector<std::shared_ptr<CallerSession>>& sessions) {
  std::vector<ConnectionHolding> holdings;
  holdings.reserve(sessions.size());
  for (const auto& session : sessions) {
    holdings.push_back(session->Holding());
  }
  return holdings;
}

}  // namespace

CallerListener::CallerListener(asio::io_context* io, const std::string& address,
                               AcceptGate* gate, RequestShare* share,
                               SessionContext context, EventLog* log,
                               Metrics* metrics)
    : io_(io),
      acceptor_(Listen(io, address)),
      retry_timer_(*io),
      gate_(gate),
      share_(share),
      context_(std::move(context)),
      log_(log),
      metrics_(metrics),
      sweep_threshold_(kMinSweepThreshold) {
  context_.make_memory = [this](std::size_t bytes) {
    MakeMemory([this, bytes] { return context_.bodies->Fits(bytes); });
    return context_.bodies->Fits(bytes);
  };
  context_.on_memory_exceeded = [this] { EndExcessSoon(); };
  context_.on_ended = [this](CallerFault fault, std::size_t held_bytes) {
    RecordEnd(fault, held_bytes);
  };
}

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
  AcceptDecision decision = Decide();
  if (decision == AcceptDecision::kNoRoom ||
      decision == AcceptDecision::kNoMemory) {
    Relieve(decision);
    decision = Decide();
  }
  // Without memory for bodies a caller is taken nevertheless, since most send
  // small requests. A body that does not fit is rejected once its head is read.
  if (decision != AcceptDecision::kTaken &&
      decision != AcceptDecision::kNoMemory) {
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

void CallerListener::Relieve(AcceptDecision decision) {
  const TimePoint now = context_.clock();
  if (now - last_relief_at_ < kReliefInterval) {
    return;
  }
  last_relief_at_ = now;
  if (decision == AcceptDecision::kNoRoom) {
    MakePlaces();
    RemoveClosed();
  } else {
    MakeMemory([this] { return !context_.bodies->IsNearlyUsed(); });
  }
}

std::vector<std::shared_ptr<CallerSession>> CallerListener::OpenSessions()
    const {
  std::vector<std::shared_ptr<CallerSession>> open;
  for (const auto& weak : sessions_) {
    auto session = weak.lock();
    if (session != nullptr && !session->IsClosed()) {
      open.push_back(std::move(session));
    }
  }
  return open;
}

void CallerListener::MakePlaces() {
  const auto open = OpenSessions();
  const auto order =
      OrderForRoom(HoldingsOf(open), context_.clock(), kPlacePatience);
  for (std::size_t i = 0; i < std::min(kPlacesAtOnce, order.size()); ++i) {
    open[order[i]]->EndFor(CallerFault::kHeldPlace);
  }
}

void CallerListener::MakeMemory(const std::function<bool()>& is_enough) {
  const auto open = OpenSessions();
  for (const std::size_t i :
       OrderForMemory(HoldingsOf(open), context_.clock(), kMemoryPatience)) {
    if (is_enough()) {
      return;
    }
    open[i]->EndFor(CallerFault::kHeldMemory);
  }
}

void CallerListener::EndExcessSoon() {
  if (ends_excess_) {
    return;
  }
  ends_excess_ = true;
  asio::post(*io_, [this] {
    ends_excess_ = false;
    EndExcess();
  });
}

void CallerListener::EndExcess() {
  const auto open = OpenSessions();
  std::size_t holding = 0;
  for (const auto& session : open) {
    holding += session->Holding().bytes > 0 ? 1 : 0;
  }
  for (const std::size_t i :
       OrderAllForMemory(HoldingsOf(open), context_.clock(), kMemoryPatience)) {
    // One request alone may need more than the limit.
    if (!context_.bodies->IsExceeded() || holding <= 1) {
      return;
    }
    --holding;
    open[i]->EndFor(CallerFault::kHeldMemory);
  }
}

void CallerListener::RecordEnd(CallerFault fault, std::size_t held_bytes) {
  metrics_
      ->GetCounter("harecrank_gateway_callers_ended_total",
                   std::string("cause=\"") + NameOf(fault) + "\"")
      ->Add();
  log_->Write("caller_ended", {{"cause", NameOf(fault)},
                               {"held_bytes", held_bytes},
                               {"held_by_all", context_.bodies->Reserved()},
                               {"callers", sessions_.size()}});
}

void CallerListener::RetryAccept() {
  // Usually no descriptor is left.
  MakePlaces();
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
