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
                     LogRateLimit rate_limit) {
  if (!Admit(kind, rate_limit, &fields)) {
    ++dropped_;
    return;
  }
  fields["event"] = kind;
  fields["node"] = node_;
  fields["steady_ms"] = ToMillis(clock_());
  fields["time_ms"] = WallMillis();
  if (dropped_since_append_ > 0) {
    fields["dropped_before"] = dropped_since_append_;
  }
  const bool written = writer_.Append(
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (!written) {
    ++dropped_;
  }
  dropped_since_append_ = written ? 0 : dropped_since_append_ + 1;
}

bool EventLog::Admit(const char* kind, LogRateLimit rate_limit,
                     nlohmann::json* fields) {
  Rate& rate = rates_[kind];
  const TimePoint now = clock_();
  if (now - rate.period_start >= std::chrono::seconds(1)) {
    rate.period_start = now;
    rate.lines = 0;
  }
  ++rate.lines;
  if (rate_limit == LogRateLimit::kLimited && rate.lines > kMaxLinesPerSecond) {
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
