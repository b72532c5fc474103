#include "harecrank/core/engine_timetable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harecrank {
namespace {

// On average, a part waits for half of the current pass. Its first event comes
// at the end of the next pass.
constexpr double kPassesUntilFirstEvent = 1.5;

TimePoint::duration ToClock(FractionalMillis time) {
  return std::chrono::duration_cast<TimePoint::duration>(time);
}

}  // namespace

EngineTimetable::EngineTimetable(const EngineProfile* engine,
                                 const PlacementPolicy* policy, TimePoint now,
                                 std::vector<EngineAvailability> engines)
    : engine_(engine), policy_(policy), now_(now) {
  engines_.reserve(engines.size());
  for (EngineAvailability& availability : engines) {
    const EndpointLoad& load = availability.candidate.load;
    const FractionalMillis until_event =
        kPassesUntilFirstEvent *
        PassTime(*engine, load.BatchSize() + 1, load.memory);
    engines_.push_back(Engine{std::move(availability), until_event, {}});
  }
}

TimePoint::duration EngineTimetable::DurationOn(const Engine& engine,
                                                FractionalMillis size) {
  return ToClock(engine.availability.candidate.pace *
                 (size + engine.until_event));
}

void EngineTimetable::AddStartSpans(const Engine& engine, const Parts& parts,
                                    std::vector<Span>* spans) {
  TimePoint begin = std::max(parts.not_before, engine.availability.free_at);
  for (const PartLimit& limit : engine.availability.limits) {
    if (limit.max_part < parts.size) {
      begin = std::max(begin, limit.until);
    }
  }
  const auto duration = DurationOn(engine, parts.size);
  for (const Span& reserved : engine.reserved) {
    if (begin > parts.not_after) {
      return;
    }
    if (begin + duration <= reserved.begin) {
      spans->push_back(Span{begin, reserved.begin - duration});
    }
    begin = std::max(begin, reserved.end);
  }
  if (begin < TimePoint::max() && begin <= parts.not_after) {
    spans->push_back(Span{begin, TimePoint::max()});
  }
}

std::optional<TimePoint> EngineTimetable::EarliestStart(
    const std::vector<const Engine*>& engines, const Parts& parts) {
  std::vector<Span> spans;
  spans.reserve(2 * engines.size());
  for (const Engine* engine : engines) {
    AddStartSpans(*engine, parts, &spans);
  }
  if (spans.size() < parts.count) {
    return std::nullopt;
  }
  const auto open_at_once = static_cast<std::size_t>(std::count_if(
      spans.begin(), spans.end(),
      [&parts](const Span& span) { return span.begin <= parts.not_before; }));
  if (open_at_once >= parts.count) {
    return parts.not_before;
  }
  // Sweeps over the begins of spans in the order of time, and keeps the number
  // of spans that contain the current time.
  std::vector<TimePoint> ends;
  ends.reserve(spans.size());
  for (const Span& span : spans) {
    ends.push_back(span.end);
  }
  std::sort(ends.begin(), ends.end());
  std::sort(spans.begin(), spans.end(),
            [](const Span& a, const Span& b) { return a.begin < b.begin; });
  std::size_t ended = 0;
  for (std::size_t begun = 1; begun <= spans.size(); ++begun) {
    const TimePoint start = spans[begun - 1].begin;
    while (ends[ended] < start) {
      ++ended;
    }
    if (begun - ended >= parts.count) {
      return start;
    }
  }
  return std::nullopt;
}

std::optional<PlannedGroup> EngineTimetable::GroupAt(
    const std::vector<const Engine*>& engines, const LongPrompt& prompt,
    std::size_t count, TimePoint start) const {
  const FractionalMillis part =
      prompt.prefill_time / static_cast<double>(count);
  std::vector<EngineCandidate> pool;
  std::vector<Span> spans;
  for (const Engine* engine : engines) {
    spans.clear();
    AddStartSpans(*engine, Parts{part, count, start, start}, &spans);
    if (spans.empty()) {
      continue;
    }
    EngineCandidate candidate = engine->availability.candidate;
    candidate.has_later_part =
        !engine->reserved.empty() && engine->reserved.back().end > start;
    pool.push_back(candidate);
  }
  if (pool.size() < count) {
    return std::nullopt;
  }
  PlannedGroup planned;
  planned.group = FormGroup(*engine_, *policy_, prompt, std::move(pool), count);
  planned.start = start;
  Tokens memory = FreeMemory(*engine_, planned.group.decode_engine.load);
  planned.prefill_end =
      start +
      DurationOn(engines_.at(IndexOf(planned.group.decode_engine)), part);
  for (const EngineCandidate& helper : planned.group.helpers) {
    memory = memory + FreeMemory(*engine_, helper.load);
    planned.prefill_end =
        std::max(planned.prefill_end,
                 start + DurationOn(engines_.at(IndexOf(helper)), part));
  }
  if (memory < prompt.needed) {
    return std::nullopt;
  }
  return planned;
}

std::optional<PlannedGroup> EngineTimetable::EarliestGroup(
    const LongPrompt& prompt, TimePoint not_before,
    const EndpointFilter& may_use) const {
  std::vector<const Engine*> engines;
  engines.reserve(engines_.size());
  for (const Engine& engine : engines_) {
    if (!may_use || may_use(*engine.availability.candidate.record)) {
      engines.push_back(&engine);
    }
  }
  const TimePoint earliest = std::max(not_before, now_);
  const auto preferred_count = static_cast<std::size_t>(
      std::ceil(prompt.prefill_time / PreferredPart(*policy_, prompt)));
  const std::size_t max_count =
      std::min({preferred_count, engines.size(), kMaxHelpers + 1});
  std::optional<PlannedGroup> best;
  for (std::size_t count = max_count; count > 0; --count) {
    const FractionalMillis part =
        prompt.prefill_time / static_cast<double>(count);
    // Smaller groups have longer parts, so none of them can end earlier.
    if (best.has_value() && earliest + ToClock(part) >= best->prefill_end) {
      break;
    }
    const TimePoint latest =
        best.has_value() ? best->prefill_end - ToClock(part) : TimePoint::max();
    const auto start =
        EarliestStart(engines, Parts{part, count, earliest, latest});
    if (!start.has_value()) {
      continue;
    }
    auto planned = GroupAt(engines, prompt, count, *start);
    if (planned.has_value() &&
        (!best.has_value() || planned->prefill_end < best->prefill_end)) {
      best = std::move(planned);
    }
  }
  return best;
}

std::size_t EngineTimetable::IndexOf(const EngineCandidate& candidate) const {
  const auto found = std::find_if(
      engines_.begin(), engines_.end(), [&candidate](const Engine& engine) {
        return engine.availability.candidate.record == candidate.record;
      });
  return static_cast<std::size_t>(found - engines_.begin());
}

void EngineTimetable::Reserve(const PlannedGroup& planned) {
  const auto reserve = [this, &planned](const EngineCandidate& candidate) {
    Engine& engine = engines_.at(IndexOf(candidate));
    const Span span{planned.start,
                    planned.start + DurationOn(engine, planned.group.part)};
    const auto after = std::find_if(
        engine.reserved.begin(), engine.reserved.end(),
        [&span](const Span& other) { return span.begin < other.begin; });
    engine.reserved.insert(after, span);
  };
  reserve(planned.group.decode_engine);
  for (const EngineCandidate& helper : planned.group.helpers) {
    reserve(helper);
  }
}

std::optional<TimePoint> EngineTimetable::ReservedFrom(
    const EndpointId& engine) const {
  for (const Engine& entry : engines_) {
    if (entry.availability.candidate.record->id == engine &&
        !entry.reserved.empty()) {
      return entry.reserved.front().begin;
    }
  }
  return std::nullopt;
}

PlannedStarts EngineTimetable::LaterStarts() const {
  PlannedStarts starts;
  for (const Engine& engine : engines_) {
    const auto later =
        std::find_if(engine.reserved.begin(), engine.reserved.end(),
                     [this](const Span& span) { return span.begin > now_; });
    if (later != engine.reserved.end()) {
      starts[engine.availability.candidate.record->id] = later->begin;
    }
  }
  return starts;
}

bool EngineTimetable::HasEngineFor(const EndpointFilter& may_use) const {
  return std::any_of(
      engines_.begin(), engines_.end(), [&may_use](const Engine& engine) {
        return !may_use || may_use(*engine.availability.candidate.record);
      });
}

}  // namespace harecrank
