// Clients that keep to no limit, for tests of what they can do to a process.

#ifndef HARECRANK_TESTING_HOSTILE_CLIENT_H_
#define HARECRANK_TESTING_HOSTILE_CLIENT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank::testing {

// A TCP connection that sends and reads arbitrary bytes. It has a small receive
// buffer, so that what is not read waits in the other process. No function
// throws: the other process may close the connection at any time.
class HostileConnection {
 public:
  // Longest wait of one call for the other process, far longer than it needs.
  static constexpr Millis kPatience{10000};

  // Connects to `address`, "IP:PORT".
  explicit HostileConnection(const std::string& address);
  ~HostileConnection();
  HostileConnection(const HostileConnection&) = delete;
  HostileConnection& operator=(const HostileConnection&) = delete;

  // Sends all of `bytes`. Returns false once the other process has closed the
  // connection or has read nothing for kPatience.
  bool Send(std::string_view bytes) const;

  // Sends `piece` again and again, `bytes` in total. Returns false like Send.
  bool SendRepeatedly(std::string_view piece, std::size_t bytes) const;

  // Sends what the system takes of `bytes` at once.
  void SendNow(std::string_view bytes) const;

  // Reads what arrives next; empty once the connection has ended or if nothing
  // arrives within kPatience.
  std::string ReadSome() const;

  // Reads until the connection ends or nothing arrives for kPatience.
  std::string ReadAll() const;

  // Returns whether the other process has closed the connection. Discards bytes
  // that have arrived.
  bool IsClosed() const;

 private:
  int socket_;
};

// Keeps `size` connections to `address` open from threads of its own until it
// is destroyed, and replaces at once each that is closed. `open` is called with
// each new connection.
class PersistentCrowd {
 public:
  using Open = std::function<void(const HostileConnection& connection)>;

  PersistentCrowd(const std::string& address, std::size_t size, Open open);
  ~PersistentCrowd();
  PersistentCrowd(const PersistentCrowd&) = delete;
  PersistentCrowd& operator=(const PersistentCrowd&) = delete;

 private:
  void Run(std::size_t size);

  std::string address_;
  Open open_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> complete_{false};
  std::thread thread_;
};

// Calls `act` with a new connection to `address` in each of `size` threads, and
// keeps the connections open until the object is destroyed.
class Crowd {
 public:
  Crowd(const std::string& address, std::size_t size,
        const std::function<void(const HostileConnection&)>& act);

 private:
  std::vector<std::unique_ptr<HostileConnection>> connections_;
};

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_HOSTILE_CLIENT_H_
