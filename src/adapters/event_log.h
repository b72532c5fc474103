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

// Whether a line is dropped if too many lines of its kind are written in the
// same second.
enum class LogRateLimit { kLimited, kExempt };

// Writes the structured event log of one process. Not thread-safe: only one
// thread may call Write.
class EventLog {
 public:
  // `node` is the name of this process; every line contains it.
  EventLog(std::string node, MonotonicClock clock);

  // Writes a line that consists of `fields`, the event name `kind`, the node,
  // the time of day and the monotonic time.
  void Write(const char* kind, nlohmann::json fields,
             LogRateLimit rate_limit = LogRateLimit::kLimited);

  // Number of lines that were not written, because of the rate limit or because
  // the buffer was full.
  std::uint64_t Dropped() const { return dropped_; }

  // Maximum number of lines of one kind per second; further lines are only
  // counted. The CPU share of a host limits it to a few hundred requests per
  // second. Failures are logged as kExempt, without this limit.
  static constexpr int kMaxLinesPerSecond = 300;

 private:
  // State of the rate limit for one kind of line.
  struct Rate {
    // Start of the current period of one second.
    TimePoint period_start{};
    // Number of lines in the current period, including suppressed ones.
    int lines = 0;
    // Number of lines that the limit has suppressed since the last line that it
    // allowed.
    std::uint64_t left_out = 0;
  };

  // Returns whether the rate limit allows the line. If it does, adds to
  // `fields` the number of lines of this kind that were suppressed since the
  // last allowed one.
  bool Admit(const char* kind, LogRateLimit rate_limit, nlohmann::json* fields);

  std::string node_;
  MonotonicClock clock_;
  std::unordered_map<std::string, Rate> rates_;
  std::uint64_t dropped_ = 0;
  // Number of consecutive lines, up to the latest one, that were dropped
  // because the buffer was full.
  std::uint64_t dropped_since_append_ = 0;
  LineWriter writer_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_EVENT_LOG_H_
