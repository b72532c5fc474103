// State of one request in a sidecar.

#ifndef HARECRANK_SRC_SIDECAR_SIDECAR_STREAM_H_
#define HARECRANK_SRC_SIDECAR_SIDECAR_STREAM_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/ticket_registry.h"
#include "src/adapters/link_server.h"
#include "src/adapters/wire.h"

namespace harecrank {

// Credit-based flow control of one stream: the sidecar sends a token only if
// the entry host has granted credit for it. Thread-safe.
class FlowWindow {
 public:
  explicit FlowWindow(std::int64_t credit) : credit_(credit) {}

  // Waits for credit and uses one unit, which permits one message. Returns
  // false if the window is closed or `until` has passed.
  bool Take(TimePoint until);

  void Add(std::int64_t credit);

  // Closes the window and wakes all waiting threads.
  void Close();

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t credit_;
  bool closed_ = false;
};

// The answer to a request that may run only once. It is kept so that a caller
// who repeats the request receives the answer without a second execution.
// Thread-safe.
class AnswerLog {
 public:
  void Append(std::string token);

  // Marks the answer as complete. `end` is the message that ended the
  // execution.
  void End(wire::Message end);

  // Waits for the token at `position`. Returns nullopt if the log ends before
  // that position, or if `until` has passed.
  std::optional<std::string> WaitFor(std::size_t position, TimePoint until);

  // Returns the message that ended the execution, or nullopt while it runs.
  std::optional<wire::Message> GetEnd() const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> tokens_;
  std::optional<wire::Message> end_;
};

// Processing state of a request.
enum class StreamState { kReceiving, kQueued, kRunning };

// A request that a sidecar has received, from its first message to its end. The
// mutex of SidecarNode guards all members except the atomics and `window`.
struct SidecarStream {
  SidecarStream(std::uint64_t stream_key, ConnectionId from,
                wire::Submit submission)
      : key(stream_key),
        connection(from),
        submit(std::move(submission)),
        window(submit.window) {}

  const std::uint64_t key;
  const ConnectionId connection;
  const wire::Submit submit;
  std::string body;
  StreamState state = StreamState::kReceiving;
  TimePoint deadline;
  std::atomic<bool> cancelled{false};
  FlowWindow window;
  // Set only for a request with a ticket.
  std::shared_ptr<AnswerLog> log;
  // Set only for a member of a group: the key of its reservation.
  std::uint64_t reservation_key = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_SIDECAR_STREAM_H_
