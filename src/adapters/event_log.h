// Structured event log: one JSON object per line on standard output.
//
// Writing never blocks on the process that reads standard output. Lines pass
// through a bounded buffer; lines that do not fit are dropped and counted.

#ifndef HARECRANK_SRC_ADAPTERS_EVENT_LOG_H_
#define HARECRANK_SRC_ADAPTERS_EVENT_LOG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"
#include "src/adapters/line_writer.h"

namespace harecrank {

// Whether a line is subject to the rate limit of its kind.
enum class LogRateLimit { kLimited, kExempt };

// Thread-compatible: one thread writes.
class EventLog {
 public:
  // `node` is the name of this process; every line contains it.
  EventLog(std::string node, MonotonicClock clock);

  // Writes a line with the event name `kind` and the given fields. Adds the
  // node, the time of day and the monotonic time.
  void Write(const char* kind, nlohmann::json fields,
             LogRateLimit rate_limit = LogRateLimit::kLimited);

  // Number of lines that were not written, because of the rate limit or because
  // the buffer was full.
  std::uint64_t Dropped() const { return dropped_; }

  // Maximum number of lines of one kind per second; further lines are only
  // counted. The CPU share of a host is sufficient for a few hundred requests
  // per second at most. Failures are logged as kExempt.
  static constexpr int kMaxLinesPerSecond = 300;

 private:
  // Rate limit state of one kind of line.
  struct Rate {
    // Start of the current period of one second.
    TimePoint period_start{};
    // Lines in the current period, written or not.
    int lines = 0;
    // Lines suppressed by the limit since the last line that was written.
    std::uint64_t left_out = 0;
  };

  // Returns whether the rate limit allows the line. If it does, adds the number
  // of suppressed lines before it to `fields`.
  bool Admit(const char* kind, LogRateLimit rate_limit, nlohmann::json* fields);

  std::string node_;
  MonotonicClock clock_;
  std::unordered_map<std::string, Rate> rates_;
  std::uint64_t dropped_ = 0;
  // Lines dropped because the buffer was full since the last line that was
  // buffered.
  std::uint64_t dropped_since_append_ = 0;
  LineWriter writer_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_EVENT_LOG_H_
