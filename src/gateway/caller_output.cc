#include "src/gateway/caller_output.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace harecrank {
namespace {

namespace asio = boost::asio;

// Large answers are sent in pieces, so that a caller who reads slowly shows
// progress.
constexpr std::size_t kPieceBytes = 256U << 10U;

}  // namespace

CallerOutput::CallerOutput(asio::ip::tcp::socket* socket,
                           CallerOutputObserver* observer,
                           std::function<std::shared_ptr<void>()> owner)
    : socket_(socket),
      observer_(observer),
      owner_(std::move(owner)),
      timer_(socket->get_executor()) {}

void CallerOutput::Send(std::string bytes) {
  if (closed_) {
    return;
  }
  if (queued_.empty()) {
    queued_ = std::move(bytes);
  } else {
    queued_.append(bytes);
  }
  if (in_flight_.empty() && !queued_.empty()) {
    in_flight_.swap(queued_);
    SendPiece();
  }
}

void CallerOutput::SendPiece() {
  StartTimer();
  const std::size_t size = std::min(kPieceBytes, in_flight_.size() - sent_);
  asio::async_write(
      *socket_, asio::buffer(in_flight_.data() + sent_, size),
      [this, owner = owner_()](const Error& error, std::size_t bytes) {
        OnSent(error, bytes);
      });
}

void CallerOutput::OnSent(const Error& error, std::size_t bytes) {
  if (closed_) {
    return;
  }
  if (error) {
    observer_->OnOutputFailed();
    return;
  }
  sent_ += bytes;
  if (sent_ < in_flight_.size()) {
    SendPiece();
  } else {
    sent_ = 0;
    in_flight_.clear();
    in_flight_.swap(queued_);
    if (in_flight_.empty()) {
      ++timer_generation_;
    } else {
      SendPiece();
    }
  }
  observer_->OnFlushed(bytes);
}

void CallerOutput::Shrink() {
  if (IsEmpty()) {
    std::string().swap(in_flight_);
    std::string().swap(queued_);
  }
}

void CallerOutput::Close() {
  closed_ = true;
  ++timer_generation_;
  timer_.cancel();
}

void CallerOutput::StartTimer() {
  const std::uint64_t generation = ++timer_generation_;
  timer_.expires_after(kFlushTimeout);
  timer_.async_wait([this, generation,
                     weak = std::weak_ptr<void>(owner_())](const Error& error) {
    const auto owner = weak.lock();
    if (!error && owner != nullptr && timer_generation_ == generation) {
      observer_->OnOutputFailed();
    }
  });
}

}  // namespace harecrank
