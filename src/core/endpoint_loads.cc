#include "harecrank/core/endpoint_loads.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

int* MembersOf(EndpointLoad* load, WorkClass work_class) {
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
                            std::optional<TimePoint> late_at) {
  const WorkId id{next_id_++};
  const EnginePasses::Prompt prompt{clock_(), part.prefill_time, late_at};
  work_.emplace(id, Work{part, prompt, false});
  OwnLoad& own = own_[part.endpoint];
  own.passes.OnSent(prompt);
  own.read_until =
      std::max(own.read_until, clock_()) + ToSteady(part.prefill_time);
  ++own.unread;
  if (part.gap > Millis(0)) {
    own.gaps.insert(part.gap);
  }
  own.load.pending_prefills += part.prefill_time >= kLongPart ? 1 : 0;
  own.load.memory = own.load.memory + part.memory;
  if (int* members = MembersOf(&own.load, part.work_class)) {
    ++*members;
  }
  if (part.work_class == WorkClass::kShort) {
    ++short_members_;
    NoteShortRead(part.prefill_time);
  }
  return id;
}

void EndpointLoads::NoteShortRead(FractionalMillis read) {
  const TimePoint now = clock_();
  short_reads_.push_back(ShortRead{now, read});
  while (now - short_reads_.front().begun > kRateWindow) {
    short_reads_.pop_front();
  }
}

double EndpointLoads::ShortPrefillRate() const {
  const TimePoint now = clock_();
  FractionalMillis sum(0);
  for (const ShortRead& one : short_reads_) {
    if (now - one.begun <= kRateWindow) {
      sum += one.prefill_time;
    }
  }
  return sum / FractionalMillis(kRateWindow);
}

void EndpointLoads::OnPrefillDone(WorkId id) {
  const auto found = work_.find(id);
  if (found != work_.end() && !found->second.is_read) {
    const Work& work = found->second;
    own_[work.part.endpoint].passes.OnPrefillDone(work.prompt, clock_());
    MarkRead(&found->second);
  }
}

void EndpointLoads::End(WorkId id) {
  const auto found = work_.find(id);
  if (found == work_.end()) {
    return;
  }
  Work& work = found->second;
  MarkRead(&work);
  const WorkPart& part = work.part;
  OwnLoad& own = own_[part.endpoint];
  own.load.memory = own.load.memory - part.memory;
  if (const auto gap = own.gaps.find(part.gap); gap != own.gaps.end()) {
    own.gaps.erase(gap);
  }
  if (int* members = MembersOf(&own.load, part.work_class)) {
    --*members;
  }
  if (part.work_class == WorkClass::kShort) {
    --short_members_;
  }
  if (own.unread == 0 && own.load.BatchSize() == 0) {
    own_.erase(part.endpoint);
  }
  work_.erase(found);
}

EndpointLoad EndpointLoads::Of(const EndpointId& endpoint) const {
  const auto own = own_.find(endpoint);
  return own == own_.end() ? EndpointLoad{} : OwnAt(own->second, clock_());
}

PassForecast EndpointLoads::ForecastOf(const EndpointId& endpoint,
                                       FractionalMillis bare_pass) const {
  const auto own = own_.find(endpoint);
  return own == own_.end() ? PassForecast{}
                           : own->second.passes.Forecast(clock_(), bare_pass);
}

EndpointLoad EndpointLoads::OwnAt(const OwnLoad& own, TimePoint now) const {
  EndpointLoad load = own.load;
  load.prefill_backlog =
      std::max(FractionalMillis(0), FractionalMillis(own.read_until - now));
  if (!own.gaps.empty()) {
    load.tightest_gap = FractionalMillis(*own.gaps.begin());
  }
  return load;
}

void EndpointLoads::MarkRead(Work* work) {
  if (work->is_read) {
    return;
  }
  work->is_read = true;
  OwnLoad& own = own_[work->part.endpoint];
  own.passes.Remove(work->prompt);
  --own.unread;
  own.load.pending_prefills -= work->part.prefill_time >= kLongPart ? 1 : 0;
  if (own.unread == 0) {
    own.read_until = clock_();
  }
}

}  // namespace harecrank
