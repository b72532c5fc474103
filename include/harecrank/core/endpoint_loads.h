// Tracks the work in progress at each endpoint.
//
// A host tracks the work of its own requests; the planner tracks the work of
// all hosts. Load reports of the endpoints are not used: they are less recent,
// and each one costs a call.

#ifndef HARECRANK_CORE_ENDPOINT_LOADS_H_
#define HARECRANK_CORE_ENDPOINT_LOADS_H_

#include <cstdint>
#include <deque>
#include <optional>
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

// Kind of work, by its effect on other requests on the same engine. kShort: a
// request with a short prompt or a tight inter-token gap. kLong: any other
// request. kHelper: a part of a prompt that this engine prefills for a request
// that another engine decodes.
enum class WorkClass { kShort, kLong, kHelper };

// The total of the work in progress at one endpoint.
struct EndpointLoad {
  // Predicted time until all prompts that were sent to the endpoint are
  // prefilled, if the endpoint does nothing else.
  FractionalMillis prefill_backlog{0};
  // Number of prompts and prompt parts with a prefill time of at least
  // kLongPart whose prefill has not been reported as done. They count even
  // after their predicted end, since predictions may be too short.
  int pending_prefills = 0;
  // Time since the predicted end of the prefill; zero unless a prefill is
  // pending although its predicted end has passed.
  FractionalMillis prefill_overrun{0};
  // Number of requests in prefill or decode, by work class. Work of class
  // kHelper is not counted.
  int short_requests = 0;
  int long_requests = 0;
  // KV memory, in tokens, that the work at the endpoint needs when it reaches
  // its expected end.
  Tokens memory;
  // Shortest inter-token gap that is allowed by the targets of the active
  // streams; zero if there are no streams.
  FractionalMillis tightest_gap{0};

  // Returns the number of active requests. All of them take part in each
  // forward pass of the engine.
  int BatchSize() const { return short_requests + long_requests; }
};

// The work that one request causes at one endpoint: the whole request, or one
// part of its prompt.
struct WorkPart {
  EndpointId endpoint;
  WorkClass work_class = WorkClass::kShort;
  // Prefill time of the prompt, or of the prompt part that this endpoint
  // prefills.
  FractionalMillis prefill_time{0};
  // KV memory, in tokens, that is held until the work ends.
  Tokens memory;
  // Longest pause between two events that the target of the request's stream
  // allows; zero if the stream is decoded by another endpoint.
  Millis gap{0};
  // Predicted time from the first event to the end of the stream; zero if it is
  // unknown or the stream is decoded by another endpoint.
  FractionalMillis decode_time{0};
};

// A stream that an endpoint decodes, or will decode after its prefill.
struct ActiveStream {
  // Longest pause between two events that the target of the stream allows.
  FractionalMillis gap{0};
  // Predicted end of the stream, in the future; TimePoint::max() if unknown.
  TimePoint end{};
};

// Adds up the work in progress at each endpoint, so that new requests can be
// placed where they meet their targets. Not thread-safe.
class EndpointLoads {
 public:
  explicit EndpointLoads(MonotonicClock clock);

  // Adds work that was sent to its endpoint. `first_event_due` is the time
  // after which the request's first event is late, if known.
  WorkId Begin(const WorkPart& part,
               std::optional<TimePoint> first_event_due = std::nullopt);

  // Records that the prefill of the work is done. Unknown ids are ignored.
  void OnPrefillDone(WorkId id);

  // Removes work that has ended for any reason. Unknown ids are ignored.
  void End(WorkId id);

  // Returns the current load of one endpoint.
  EndpointLoad Of(const EndpointId& endpoint) const;

  // Returns the streams at `endpoint` that have a gap.
  std::vector<ActiveStream> StreamsAt(const EndpointId& endpoint) const;

  // Returns the forecast of the engine's forward passes for a prompt that is
  // sent to `endpoint` now. `decode_pass` is the duration of a pass without
  // prefill.
  PassForecast ForecastOf(const EndpointId& endpoint,
                          FractionalMillis decode_pass) const;

  // Returns the number of short requests at all endpoints.
  int ShortRequests() const { return short_requests_; }

  // Returns the prefill time of the short requests that were started within
  // kRateWindow, divided by kRateWindow. A value of 1 keeps one engine busy.
  double ShortPrefillRate() const;

  // Window over which ShortPrefillRate() is measured. It is short so that the
  // rate rises while a burst is still arriving.
  static constexpr Millis kRateWindow{200};
  // Minimum prefill time of work that counts in EndpointLoad::pending_prefills.
  // Parts of long prompts usually take about this long.
  static constexpr FractionalMillis kLongPart{100};
  // A stream that lasts longer than predicted is expected to last as long again
  // as it has overrun its prediction, and at least for this time.
  static constexpr Millis kMinOverrun{100};

 private:
  // One piece of work between Begin() and End().
  struct Work {
    WorkPart part;
    EnginePasses::Prompt prompt;
    bool prefill_done = false;
  };
  // A stream with a gap between Begin() and End().
  struct Stream {
    WorkId id;
    Millis gap{0};
    FractionalMillis decode_time{0};
    // Predicted end; TimePoint::max() if the decode time is unknown.
    TimePoint end{};
  };
  // The work in progress at one endpoint, with what is needed to update its
  // load.
  struct EndpointState {
    EndpointLoad load;
    // Predicted end of the prefill of all work sent so far.
    TimePoint prefill_until{};
    // Number of pieces of work whose prefill is not done.
    int pending = 0;
    std::vector<Stream> streams;
    EnginePasses passes;
  };
  // The prefill of one short request, as ShortPrefillRate() needs it.
  struct ShortPrefill {
    TimePoint started_at;
    FractionalMillis prefill_time{0};
  };

  EndpointLoad LoadAt(const EndpointState& state, TimePoint now) const;
  // Returns the predicted end of a stream with its first event at `first`.
  static TimePoint StreamEnd(TimePoint first, FractionalMillis decode_time);
  void MarkPrefillDone(WorkId id, Work* work);
  void RecordShortPrefill(FractionalMillis prefill_time);

  MonotonicClock clock_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<WorkId, Work> work_;
  // Endpoints with work in progress.
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  int short_requests_ = 0;
  // Prefills of short requests that were started within kRateWindow, oldest
  // first. Older entries are removed only when a new short request is added.
  std::deque<ShortPrefill> short_prefills_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_LOADS_H_
