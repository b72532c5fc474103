#include "src/adapters/event_log.h"

#include <unistd.h>

#include <chrono>
#include <utility>

#include "src/adapters/system_sources.h"

namespace harecrank {
namespace {

std::int64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

}  // namespace

EventLog::EventLog(std::string node, MonotonicClock clock)
    : node_(std::move(node)),
      clock_(std::move(clock)),
      writer_(STDOUT_FILENO) {}

void EventLog::Write(const char* kind, nlohmann::json fields,
                     LogRateLimit weight) {
  if (!Admit(kind, weight, &fields)) {
    ++dropped_;
    return;
  }
  fields["event"] = kind;
  fields["node"] = node_;
  fields["steady_ms"] = ToMillis(clock_());
  fields["time_ms"] = WallMillis();
  if (no_room_ > 0) {
    fields["dropped_before"] = no_room_;
  }
  const bool written = writer_.Append(
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (!written) {
    ++dropped_;
  }
  no_room_ = written ? 0 : no_room_ + 1;
}

bool EventLog::Admit(const char* kind, LogRateLimit weight,
                     nlohmann::json* fields) {
  Rate& rate = rates_[kind];
  const TimePoint now = clock_();
  if (now - rate.second >= std::chrono::seconds(1)) {
    rate.second = now;
    rate.lines = 0;
  }
  ++rate.lines;
  if (weight == LogRateLimit::kLimited && rate.lines > kMaxLinesPerSecond) {
    ++rate.left_out;
    return false;
  }
  if (rate.left_out > 0) {
    (*fields)["left_out_before"] = rate.left_out;
    rate.left_out = 0;
  }
  return true;
}

}  // namespace harecrank
