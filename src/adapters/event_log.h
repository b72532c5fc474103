// Structured logs: one JSON object a line on standard output.
//
// Writing never waits for whoever reads standard output: lines go through a
// bounded buffer, and those for which there is no room are dropped and counted.

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

// Whether a line may be left out when its kind exceeds its rate.
enum class LogRateLimit { kLimited, kExempt };

// Thread-compatible: one thread writes.
class EventLog {
 public:
  // `node` stands in every line.
  EventLog(std::string node, MonotonicClock clock);

  // Writes a line of `kind` with `fields`.
  void Write(const char* kind, nlohmann::json fields,
             LogRateLimit weight = LogRateLimit::kLimited);

  // Lines that were left out: beyond their kind's rate, or because the reader
  // of standard output did not keep up.
  std::uint64_t Dropped() const { return dropped_; }

  // Lines of one kind in a second, beyond which they are counted only. Some
  // hundred requests a second and host are the most that its share of a core
  // carries; failures are always kept.
  static constexpr int kMaxLinesPerSecond = 300;

 private:
  struct Rate {
    TimePoint second{};
    int lines = 0;
    std::uint64_t left_out = 0;
  };

  bool Admit(const char* kind, LogRateLimit weight, nlohmann::json* fields);

  std::string node_;
  MonotonicClock clock_;
  std::unordered_map<std::string, Rate> rates_;
  std::uint64_t dropped_ = 0;
  // Lines for which there was no room since the last that got in.
  std::uint64_t no_room_ = 0;
  LineWriter writer_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_EVENT_LOG_H_
