// Work in progress at each endpoint.
//
// A host tracks its own requests, a planner those of all hosts. The endpoints'
// own load reports are not used: they are older and cost a call each.

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

// Identifies one piece of work at one endpoint.
using WorkId = StrongNumber<struct WorkTag, std::uint64_t>;

// Kind of work, by its effect on other requests of the engine: a request with a
// short prompt or a tight gap, any other request, or a part that is prefilled
// for a request on another engine.
enum class WorkClass { kShort, kLong, kHelper };

// Work in progress at one endpoint.
struct EndpointLoad {
  // Time until all prompts sent to the endpoint are prefilled, if it does
  // nothing else.
  FractionalMillis prefill_backlog{0};
  // Prompts or parts of at least kLongPart whose first event has not come. They
  // still count if the predicted backlog has run out, since predictions may be
  // too short.
  int pending_prefills = 0;
  // Requests in prefill or decode, by class. Helper parts are not counted.
  int short_requests = 0;
  int long_requests = 0;
  // KV memory that the requests need at their expected ends.
  Tokens memory;
  // Shortest gap of the active streams; zero if there are none.
  FractionalMillis tightest_gap{0};

  // Number of active requests. On an engine they share each pass.
  int BatchSize() const { return short_requests + long_requests; }
};

// Work of one request at one endpoint.
struct WorkPart {
  EndpointId endpoint;
  WorkClass work_class = WorkClass::kShort;
  // Prefill time of the prompt or part.
  FractionalMillis prefill_time{0};
  // KV memory held until the work ends.
  Tokens memory;
  // Longest pause within the target of its stream; zero if it has no stream
  // here.
  Millis gap{0};
};

// Tracks the loads of all endpoints. Not thread-safe.
class EndpointLoads {
 public:
  explicit EndpointLoads(MonotonicClock clock);

  // Adds work that was sent to its endpoint. `first_event_due` is the time from
  // which its first event is late, if known.
  WorkId Begin(const WorkPart& part,
               std::optional<TimePoint> first_event_due = std::nullopt);

  // Records that the prefill of the work is done. Unknown ids are ignored.
  void OnPrefillDone(WorkId id);

  // Removes work that has ended for any reason. Unknown ids are ignored.
  void End(WorkId id);

  // Returns the current load of one endpoint.
  EndpointLoad Of(const EndpointId& endpoint) const;

  // Returns the pass forecast for a prompt that is sent to `endpoint` now.
  // `decode_pass` is the duration of a pass without prefill.
  PassForecast ForecastOf(const EndpointId& endpoint,
                          FractionalMillis decode_pass) const;

  // Returns the number of short requests at all endpoints.
  int ShortRequests() const { return short_requests_; }

  // Returns the rate at which prefill work for short requests is started, in
  // engines: 1 keeps one engine busy.
  double ShortPrefillRate() const;

  // Window of ShortPrefillRate(). It is short, so that a burst shows in the
  // rate while it arrives.
  static constexpr Millis kRateWindow{200};
  // Prefill time from which work counts as a pending prefill. Parts of long
  // prompts usually take about this long.
  static constexpr FractionalMillis kLongPart{100};

 private:
  struct Work {
    WorkPart part;
    EnginePasses::Prompt prompt;
    bool prefill_done = false;
  };
  struct EndpointState {
    EndpointLoad load;
    // Predicted end of the prefill of all work sent so far.
    TimePoint prefill_until{};
    // Work whose prefill is not done.
    int pending = 0;
    // Gaps of the active streams.
    std::multiset<Millis> gaps;
    EnginePasses passes;
  };
  // Prefill work started for a short request.
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
  // Endpoints with work in progress.
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  int short_requests_ = 0;
  // Entries of the last kRateWindow. Older ones are removed when a new short
  // request is added.
  std::deque<ShortPrefill> short_prefills_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_LOADS_H_
