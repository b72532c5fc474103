#include "src/adapters/guarded_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace harecrank {
namespace {

// How long a connection may be behind while others wait to be handled. The more
// of them wait, the shorter it is.
constexpr Millis kPlacePatience{2000};
constexpr Millis kMinPlacePatience{100};
// Number of connections that are closed at once to make room for new ones.
constexpr std::size_t kPlacesAtOnce = 16;

class GuardedServerSocketImpl : public Poco::Net::ServerSocketImpl {
 public:
  explicit GuardedServerSocketImpl(std::shared_ptr<ConnectionGuard> guard)
      : guard_(std::move(guard)) {}

  Poco::Net::SocketImpl* acceptConnection(
      Poco::Net::SocketAddress& client) override {
    Poco::Net::SocketImpl* accepted =
        Poco::Net::ServerSocketImpl::acceptConnection(client);
    const poco_socket_t descriptor = ::dup(accepted->sockfd());
    accepted->release();
    if (descriptor == POCO_INVALID_SOCKET) {
      throw Poco::Net::NetException("no descriptor for a connection");
    }
    return new GuardedSocket(descriptor, guard_);
  }

 private:
  std::shared_ptr<ConnectionGuard> guard_;
};

}  // namespace

void ConnectionGuard::Add(GuardedSocket* socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  sockets_.insert(socket);
  MakeRoom();
}

void ConnectionGuard::Remove(GuardedSocket* socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  sockets_.erase(socket);
}

void ConnectionGuard::MakeRoom() {
  if (sockets_.size() <= limits_.max_handled) {
    return;
  }
  const std::vector<GuardedSocket*> open(sockets_.begin(), sockets_.end());
  std::vector<ConnectionHolding> holdings;
  holdings.reserve(open.size());
  for (const GuardedSocket* socket : open) {
    holdings.push_back(socket->Holding());
  }
  const auto handled = static_cast<std::int64_t>(limits_.max_handled);
  const auto open_count = static_cast<std::int64_t>(sockets_.size());
  const Millis patience =
      std::max(kMinPlacePatience, kPlacePatience * handled / open_count);
  const auto order = OrderForRoom(holdings, BootClock::now(), patience);
  for (std::size_t i = 0; i < std::min(kPlacesAtOnce, order.size()); ++i) {
    open[order[i]]->Interrupt();
    sockets_.erase(open[order[i]]);
    RecordClosed();
  }
}

GuardedSocket::GuardedSocket(poco_socket_t socket,
                             std::shared_ptr<ConnectionGuard> guard)
    : Poco::Net::StreamSocketImpl(socket), guard_(std::move(guard)) {
  guard_->Add(this);
}

GuardedSocket::~GuardedSocket() { guard_->Remove(this); }

int GuardedSocket::receiveBytes(void* buffer, int length, int flags) {
  if (flags != 0) {
    return Poco::Net::StreamSocketImpl::receiveBytes(buffer, length, flags);
  }
  LeaveQueue();
  const int received =
      Poco::Net::StreamSocketImpl::receiveBytes(buffer, length, flags);
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint now = BootClock::now();
  if (phase_ == Phase::kHead) {
    head_began_at_ = head_bytes_ == 0 ? now : head_began_at_;
    head_bytes_ += static_cast<std::size_t>(std::max(0, received));
  } else {
    pace_.OnBytes(static_cast<std::size_t>(std::max(0, received)), now);
  }
  CheckLimits();
  return received;
}

bool GuardedSocket::poll(const Poco::Timespan& timeout, int mode) {
  LeaveQueue();
  return Poco::Net::StreamSocketImpl::poll(timeout, mode);
}

void GuardedSocket::LeaveQueue() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (phase_ == Phase::kQueued) {
    phase_ = Phase::kHead;
    pace_.Restart(BootClock::now());
  }
}

void GuardedSocket::CheckLimits() {
  const ConnectionLimits& limits = guard_->Limits();
  const TimePoint now = BootClock::now();
  if (phase_ == Phase::kHead && head_bytes_ > limits.max_head_bytes) {
    guard_->RecordClosed();
    throw Poco::Net::NetException("the head is larger than allowed");
  }
  const bool is_late = phase_ == Phase::kHead
                           ? now - head_began_at_ > limits.head_timeout
                           : phase_ == Phase::kBody &&
                                 now - pace_.KeptUntil() > limits.body_patience;
  if (is_late) {
    guard_->RecordClosed();
    throw Poco::TimeoutException("the request did not come in time");
  }
}

void GuardedSocket::BeginBody() {
  const std::lock_guard<std::mutex> lock(mutex_);
  phase_ = Phase::kBody;
  pace_.Restart(BootClock::now());
}

void GuardedSocket::BeginHead() {
  const std::lock_guard<std::mutex> lock(mutex_);
  phase_ = Phase::kHead;
  head_bytes_ = 0;
  pace_.Restart(BootClock::now());
}

void GuardedSocket::BeginRun() {
  const std::lock_guard<std::mutex> lock(mutex_);
  phase_ = Phase::kRun;
}

ConnectionHolding GuardedSocket::Holding() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool is_behind_nothing =
      phase_ == Phase::kQueued || phase_ == Phase::kRun;
  return {0, pace_.KeptUntil(), is_behind_nothing};
}

void GuardedSocket::Interrupt() { ::shutdown(sockfd(), SHUT_RDWR); }

GuardedServerSocket::GuardedServerSocket(std::shared_ptr<ConnectionGuard> guard)
    : Poco::Net::ServerSocket(new GuardedServerSocketImpl(std::move(guard)),
                              true) {}

GuardedSocket* GuardedSocketOf(Poco::Net::HTTPServerRequest& request) {
  auto& implementation =
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  return dynamic_cast<GuardedSocket*>(implementation.socket().impl());
}

}  // namespace harecrank
