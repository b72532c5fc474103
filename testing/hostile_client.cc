#include "testing/hostile_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace harecrank::testing {
namespace {

constexpr int kReceiveBufferBytes = 4096;
constexpr std::size_t kReadBytes = 65536;
// Pause between two rounds over the connections of a crowd.
constexpr Millis kRoundPause{5};

timeval ToTimeval(Millis time) {
  return {time.count() / 1000, (time.count() % 1000) * 1000};
}

sockaddr_in ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

}  // namespace

HostileConnection::HostileConnection(const std::string& address)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  const timeval patience = ToTimeval(kPatience);
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
  const sockaddr_in to = ParseAddress(address);
  // A connection that fails shows in the first Send.
  static_cast<void>(
      connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
}

HostileConnection::~HostileConnection() { close(socket_); }

bool HostileConnection::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool HostileConnection::SendRepeatedly(std::string_view piece,
                                       std::size_t bytes) const {
  for (std::size_t sent = 0; sent < bytes; sent += piece.size()) {
    if (!Send(piece)) {
      return false;
    }
  }
  return true;
}

void HostileConnection::SendNow(std::string_view bytes) const {
  // What is not taken is not sent: the next piece follows soon.
  static_cast<void>(
      send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
}

std::string HostileConnection::ReadSome() const {
  std::string bytes(kReadBytes, '\0');
  const ssize_t received = recv(socket_, bytes.data(), bytes.size(), 0);
  bytes.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
  return bytes;
}

std::string HostileConnection::ReadAll() const {
  std::string all;
  std::string bytes = ReadSome();
  while (!bytes.empty()) {
    all += bytes;
    bytes = ReadSome();
  }
  return all;
}

bool HostileConnection::IsClosed() const {
  std::array<char, 1024> bytes{};
  while (true) {
    const ssize_t received =
        recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (received <= 0) {
      return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
  }
}

PersistentCrowd::PersistentCrowd(const std::string& address, std::size_t size,
                                 Open open)
    : address_(address),
      open_(std::move(open)),
      thread_([this, size] { Run(size); }) {
  while (!complete_) {
    std::this_thread::sleep_for(kRoundPause);
  }
}

PersistentCrowd::~PersistentCrowd() {
  stopping_ = true;
  thread_.join();
}

void PersistentCrowd::Run(std::size_t size) {
  std::vector<std::unique_ptr<HostileConnection>> connections(size);
  while (!stopping_) {
    for (auto& connection : connections) {
      if (connection == nullptr || connection->IsClosed()) {
        connection = std::make_unique<HostileConnection>(address_);
        open_(*connection);
      }
    }
    complete_ = true;
    std::this_thread::sleep_for(kRoundPause);
  }
}

Crowd::Crowd(const std::string& address, std::size_t size,
             const std::function<void(const HostileConnection&)>& act) {
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < size; ++i) {
    connections_.push_back(std::make_unique<HostileConnection>(address));
    threads.emplace_back(
        [&act, connection = connections_.back().get()] { act(*connection); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace harecrank::testing
