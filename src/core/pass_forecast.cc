#include "harecrank/core/pass_forecast.h"

#include <algorithm>
#include <cmath>

namespace harecrank {
namespace {

// Delay from the planner's placement of a prompt until the prompt reaches the
// engine through its host. The prompt is not included in passes that begin
// earlier.
constexpr FractionalMillis kDispatchDelay{1.5};
// Delay from the end of a pass until the planner knows of it: the first event
// goes to the host, which then sends a progress report to the planner.
constexpr FractionalMillis kReplyDelay{4};
// If the last known pass began longer ago than this, it is not used for the
// forecast.
constexpr FractionalMillis kMaxAge{5000};

TimePoint After(TimePoint time, FractionalMillis wait) {
  return time + std::chrono::duration_cast<TimePoint::duration>(wait);
}

bool IsSame(const EnginePasses::Prompt& a, const EnginePasses::Prompt& b) {
  return a.sent == b.sent && a.prefill_time == b.prefill_time;
}

}  // namespace

void EnginePasses::OnSent(const Prompt& prompt) { pending_.push_back(prompt); }

void EnginePasses::OnPrefillDone(const Prompt& prompt, TimePoint now) {
  Remove(prompt);
  pass_start_ = std::max(pass_start_, After(now, -kReplyDelay));
}

void EnginePasses::Remove(const Prompt& prompt) {
  const auto found = std::find_if(
      pending_.begin(), pending_.end(),
      [&prompt](const Prompt& pending) { return IsSame(pending, prompt); });
  if (found != pending_.end()) {
    pending_.erase(found);
  }
}

PassForecast EnginePasses::Forecast(TimePoint now,
                                    FractionalMillis decode_pass) const {
  PassForecast forecast;
  TimePoint pass_start = pass_start_;
  if (FractionalMillis(now - pass_start) > kMaxAge) {
    // The time since the start of the current pass is unknown; half a pass is
    // assumed.
    pass_start = After(now, -decode_pass / 2);
  }
  // Advances `pass_start` over the passes without prefill that have run since
  // the last known pass: up to the current pass, or to the first pass that
  // includes a pending prompt.
  const auto first_sent = pending_.empty() ? now : pending_.front().sent;
  const FractionalMillis elapsed =
      std::min(now, After(first_sent, kDispatchDelay)) - pass_start;
  if (elapsed > FractionalMillis(0)) {
    pass_start =
        After(pass_start, std::ceil(elapsed / decode_pass) * decode_pass);
  }
  const auto is_in_current_pass = [pass_start, now](const Prompt& pending) {
    return pass_start <= now &&
           After(pending.sent, kDispatchDelay) <= pass_start;
  };
  FractionalMillis current_pass_prefill(0);
  for (const Prompt& pending : pending_) {
    (is_in_current_pass(pending) ? current_pass_prefill
                                 : forecast.next_pass_prefill) +=
        pending.prefill_time;
  }
  const TimePoint pass_end =
      pass_start > now ? pass_start
                       : After(pass_start, current_pass_prefill + decode_pass);
  forecast.until_next_pass =
      std::max(FractionalMillis(0), FractionalMillis(pass_end - now));
  const TimePoint next_pass_end = After(
      now, forecast.until_next_pass + forecast.next_pass_prefill + decode_pass);
  for (const Prompt& pending : pending_) {
    const bool in_time = pending.first_event_due.has_value() &&
                         *pending.first_event_due >= next_pass_end;
    if (in_time && !is_in_current_pass(pending)) {
      const FractionalMillis left = *pending.first_event_due - now;
      forecast.next_pass_deadline =
          std::min(left, forecast.next_pass_deadline.value_or(left));
    }
  }
  return forecast;
}

}  // namespace harecrank
