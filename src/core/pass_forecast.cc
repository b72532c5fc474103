#include "harecrank/core/pass_forecast.h"

#include <algorithm>
#include <cmath>

namespace harecrank {
namespace {

// From the planner over the host to the engine: a prompt is not read in a pass
// that begins sooner after its place was given.
constexpr FractionalMillis kWayToEngine{1.5};
// From the end of a pass over the host to the planner, notes included.
constexpr FractionalMillis kWayBack{4};
// A pass that was known so long ago tells nothing of the ones now.
constexpr FractionalMillis kForgets{5000};

TimePoint After(TimePoint time, FractionalMillis wait) {
  return time + std::chrono::duration_cast<TimePoint::duration>(wait);
}

bool IsSame(const EnginePasses::Prompt& a, const EnginePasses::Prompt& b) {
  return a.sent == b.sent && a.prefill_time == b.prefill_time;
}

}  // namespace

void EnginePasses::OnSent(const Prompt& prompt) { unread_.push_back(prompt); }

void EnginePasses::OnPrefillDone(const Prompt& prompt, TimePoint now) {
  Remove(prompt);
  began_ = std::max(began_, After(now, -kWayBack));
}

void EnginePasses::Remove(const Prompt& prompt) {
  const auto found = std::find_if(
      unread_.begin(), unread_.end(),
      [&prompt](const Prompt& one) { return IsSame(one, prompt); });
  if (found != unread_.end()) {
    unread_.erase(found);
  }
}

PassForecast EnginePasses::Forecast(TimePoint now,
                                    FractionalMillis bare_pass) const {
  PassForecast forecast;
  TimePoint began = began_;
  if (FractionalMillis(now - began) > kForgets) {
    // Somewhere in a pass: half of one is left on average.
    began = After(now, -bare_pass / 2);
  }
  // Passes that read nothing follow each other up to the one under way, or up
  // to the one that has begun to read.
  const auto first_sent = unread_.empty() ? now : unread_.front().sent;
  const FractionalMillis skipped =
      std::min(now, After(first_sent, kWayToEngine)) - began;
  if (skipped > FractionalMillis(0)) {
    began = After(began, std::ceil(skipped / bare_pass) * bare_pass);
  }
  const auto is_read_now = [began, now](const Prompt& one) {
    return began <= now && After(one.sent, kWayToEngine) <= began;
  };
  FractionalMillis reads_now(0);
  for (const Prompt& one : unread_) {
    (is_read_now(one) ? reads_now : forecast.next_pass_prefill) +=
        one.prefill_time;
  }
  const TimePoint ends =
      began > now ? began : After(began, reads_now + bare_pass);
  forecast.until_next_pass =
      std::max(FractionalMillis(0), FractionalMillis(ends - now));
  const TimePoint next_ends = After(
      now, forecast.until_next_pass + forecast.next_pass_prefill + bare_pass);
  for (const Prompt& one : unread_) {
    const bool in_time = one.late_at.has_value() && *one.late_at >= next_ends;
    if (in_time && !is_read_now(one)) {
      const FractionalMillis left = *one.late_at - now;
      forecast.next_pass_deadline =
          std::min(left, forecast.next_pass_deadline.value_or(left));
    }
  }
  return forecast;
}

}  // namespace harecrank
