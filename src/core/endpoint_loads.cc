#include "harecrank/core/endpoint_loads.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

int* RequestCountOf(EndpointLoad* load, WorkClass work_class) {
  switch (work_class) {
    case WorkClass::kShort:
      return &load->short_requests;
    case WorkClass::kLong:
      return &load->long_requests;
    case WorkClass::kHelper:
      break;
  }
  return nullptr;
}

TimePoint::duration ToSteady(FractionalMillis time) {
  return std::chrono::duration_cast<TimePoint::duration>(time);
}

}  // namespace

EndpointLoads::EndpointLoads(MonotonicClock clock) : clock_(std::move(clock)) {}

WorkId EndpointLoads::Begin(const WorkPart& part,
                            std::optional<TimePoint> first_event_due) {
  const WorkId id{next_id_++};
  const EnginePasses::Prompt prompt{clock_(), part.prefill_time,
                                    first_event_due};
  work_.emplace(id, Work{part, prompt, false});
  EndpointState& state = endpoints_[part.endpoint];
  state.passes.OnSent(prompt);
  state.prefill_until =
      std::max(state.prefill_until, clock_()) + ToSteady(part.prefill_time);
  ++state.pending;
  if (part.gap > Millis(0)) {
    state.streams.push_back(
        Stream{id, part.gap, part.decode_time,
               StreamEnd(state.prefill_until, part.decode_time)});
  }
  state.load.pending_prefills += part.prefill_time >= kLongPart ? 1 : 0;
  state.load.memory = state.load.memory + part.memory;
  if (int* count = RequestCountOf(&state.load, part.work_class)) {
    ++*count;
  }
  if (part.work_class == WorkClass::kShort) {
    ++short_requests_;
    RecordShortPrefill(part.prefill_time);
  }
  return id;
}

TimePoint EndpointLoads::StreamEnd(TimePoint first,
                                   FractionalMillis decode_time) {
  return decode_time > FractionalMillis(0) ? first + ToSteady(decode_time)
                                           : TimePoint::max();
}

void EndpointLoads::RecordShortPrefill(FractionalMillis prefill_time) {
  const TimePoint now = clock_();
  short_prefills_.push_back(ShortPrefill{now, prefill_time});
  while (now - short_prefills_.front().started_at > kRateWindow) {
    short_prefills_.pop_front();
  }
}

double EndpointLoads::ShortPrefillRate() const {
  const TimePoint now = clock_();
  FractionalMillis sum(0);
  for (const ShortPrefill& prefill : short_prefills_) {
    if (now - prefill.started_at <= kRateWindow) {
      sum += prefill.prefill_time;
    }
  }
  return sum / FractionalMillis(kRateWindow);
}

void EndpointLoads::OnPrefillDone(WorkId id) {
  const auto found = work_.find(id);
  if (found != work_.end() && !found->second.prefill_done) {
    const Work& work = found->second;
    endpoints_[work.part.endpoint].passes.OnPrefillDone(work.prompt, clock_());
    MarkPrefillDone(id, &found->second);
  }
}

void EndpointLoads::End(WorkId id) {
  const auto found = work_.find(id);
  if (found == work_.end()) {
    return;
  }
  Work& work = found->second;
  MarkPrefillDone(id, &work);
  const WorkPart& part = work.part;
  EndpointState& state = endpoints_[part.endpoint];
  state.load.memory = state.load.memory - part.memory;
  state.streams.erase(
      std::remove_if(state.streams.begin(), state.streams.end(),
                     [id](const Stream& stream) { return stream.id == id; }),
      state.streams.end());
  if (int* count = RequestCountOf(&state.load, part.work_class)) {
    --*count;
  }
  if (part.work_class == WorkClass::kShort) {
    --short_requests_;
  }
  if (state.pending == 0 && state.load.BatchSize() == 0) {
    endpoints_.erase(part.endpoint);
  }
  work_.erase(found);
}

EndpointLoad EndpointLoads::Of(const EndpointId& endpoint) const {
  const auto state = endpoints_.find(endpoint);
  return state == endpoints_.end() ? EndpointLoad{}
                                   : LoadAt(state->second, clock_());
}

std::vector<ActiveStream> EndpointLoads::StreamsAt(
    const EndpointId& endpoint) const {
  std::vector<ActiveStream> streams;
  const auto state = endpoints_.find(endpoint);
  if (state == endpoints_.end()) {
    return streams;
  }
  const TimePoint now = clock_();
  for (const Stream& stream : state->second.streams) {
    TimePoint end = stream.end;
    if (end <= now) {
      end = now + std::max<TimePoint::duration>(now - end, kMinOverrun);
    }
    streams.push_back(ActiveStream{FractionalMillis(stream.gap), end});
  }
  return streams;
}

PassForecast EndpointLoads::ForecastOf(const EndpointId& endpoint,
                                       FractionalMillis decode_pass) const {
  const auto state = endpoints_.find(endpoint);
  return state == endpoints_.end()
             ? PassForecast{}
             : state->second.passes.Forecast(clock_(), decode_pass);
}

EndpointLoad EndpointLoads::LoadAt(const EndpointState& state,
                                   TimePoint now) const {
  EndpointLoad load = state.load;
  load.prefill_backlog = std::max(FractionalMillis(0),
                                  FractionalMillis(state.prefill_until - now));
  if (state.load.pending_prefills > 0) {
    load.prefill_overrun = std::max(
        FractionalMillis(0), FractionalMillis(now - state.prefill_until));
  }
  for (const Stream& stream : state.streams) {
    const FractionalMillis gap(stream.gap);
    load.tightest_gap = load.tightest_gap > FractionalMillis(0)
                            ? std::min(load.tightest_gap, gap)
                            : gap;
  }
  return load;
}

void EndpointLoads::MarkPrefillDone(WorkId id, Work* work) {
  if (work->prefill_done) {
    return;
  }
  work->prefill_done = true;
  EndpointState& state = endpoints_[work->part.endpoint];
  state.passes.Remove(work->prompt);
  for (Stream& stream : state.streams) {
    if (stream.id == id) {
      stream.end = StreamEnd(clock_(), stream.decode_time);
    }
  }
  --state.pending;
  state.load.pending_prefills -= work->part.prefill_time >= kLongPart ? 1 : 0;
  if (state.pending == 0) {
    // No prefill work is left, even if the predicted end has not been reached.
    state.prefill_until = clock_();
  }
}

}  // namespace harecrank
