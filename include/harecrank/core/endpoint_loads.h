// What is under way at each endpoint, as far as its owner knows.
//
// A host knows its own requests, a planner those of all hosts. Reports of the
// endpoints themselves are older than that and cost a call each.

#ifndef HARECRANK_CORE_ENDPOINT_LOADS_H_
#define HARECRANK_CORE_ENDPOINT_LOADS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/pass_forecast.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Names one piece of work of this host at one endpoint.
using WorkId = StrongNumber<struct WorkTag, std::uint64_t>;

// How a request weighs on those beside it.
enum class WorkClass { kShort, kLong, kHelper };

// What is under way at one endpoint.
struct EndpointLoad {
  // Until prompts that were given to it are read, if it does nothing else.
  FractionalMillis prefill_backlog{0};
  // Prompts or parts of them that take long and have not been followed by a
  // first event. Where a prediction fails they are still there when the
  // backlog has run out.
  int pending_prefills = 0;
  // Requests that read or write, by class.
  int short_requests = 0;
  int long_requests = 0;
  // KV memory that they need up to their expected end.
  Tokens memory;
  // The shortest pause that keeps all of its streams in time; zero if no
  // stream is under way.
  FractionalMillis tightest_gap{0};

  int BatchSize() const { return short_requests + long_requests; }
};

// What one request has under way at one endpoint.
struct WorkPart {
  EndpointId endpoint;
  WorkClass work_class = WorkClass::kShort;
  // How long the prompt, or its part, takes to read.
  FractionalMillis prefill_time{0};
  // Needed until it ends.
  Tokens memory;
  // The longest pause that keeps its stream in time; zero if it has none there.
  Millis gap{0};
};

// Keeps the loads. Not thread-safe.
class EndpointLoads {
 public:
  explicit EndpointLoads(MonotonicClock clock);

  // Notes that work was sent to its endpoint. Its first event is late at
  // `late_at`, if that is known.
  WorkId Begin(const WorkPart& part,
               std::optional<TimePoint> first_event_due = std::nullopt);

  // Notes that the work's prompt has been read: its first event came.
  void OnPrefillDone(WorkId id);

  // Notes that the work has ended, however. Unknown ids are passed over.
  void End(WorkId id);

  // Returns the load of one endpoint.
  EndpointLoad Of(const EndpointId& endpoint) const;

  // Returns what a prompt meets that is sent there now. `bare_pass` is how long
  // the engine's pass takes that reads nothing.
  PassForecast ForecastOf(const EndpointId& endpoint,
                          FractionalMillis decode_pass) const;

  // Returns how many short requests are under way at all endpoints.
  int ShortRequests() const { return short_members_; }

  // Returns how much reading has lately been begun for short requests, in
  // engine time for each time: 1 keeps one engine reading all the time.
  double ShortPrefillRate() const;

  // Over how long the rate of short requests is taken: short, so that a wave of
  // them is seen while it arrives.
  static constexpr Millis kRateWindow{200};
  // What takes this long to read counts as a part: about as long as the parts
  // that prompts are cut into.
  static constexpr FractionalMillis kLongPart{100};

 private:
  struct Work {
    WorkPart part;
    EnginePasses::Prompt prompt;
    bool prefill_done = false;
  };
  struct EndpointState {
    EndpointLoad load;
    // When the prompts given so far will be read.
    TimePoint prefill_until{};
    int pending = 0;
    // Of its streams.
    std::multiset<Millis> gaps;
    EnginePasses passes;
  };
  struct ShortPrefill {
    TimePoint started_at;
    FractionalMillis prefill_time{0};
  };

  EndpointLoad LoadAt(const EndpointState& state, TimePoint now) const;
  void MarkPrefillDone(Work* work);
  void RecordShortPrefill(FractionalMillis prefill_time);

  MonotonicClock clock_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<WorkId, Work> work_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  int short_members_ = 0;
  // Of the last kRateWindow, and older ones until the next short request.
  std::deque<ShortPrefill> short_prefills_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_LOADS_H_
