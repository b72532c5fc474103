#include "harecrank/core/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

// A prompt is short if an engine can read it between two events of the
// tightest stream beside it: in less than this share of that stream's gap.
constexpr double kShortShareOfGap = 0.45;
// A part of a long prompt may take this share of the tightest gap.
constexpr double kPartShareOfGap = 0.6;
// How much of the tightest gap a part of a long prompt may make the streams
// beside it pause, with the pass that it is read in.
constexpr double kPauseShareOfGap = 0.85;
// An engine is open for a further long prompt while what it has yet to read
// takes at most this share of a wanted part. Seen on the bench: a newer part
// for another engine's prompt is read before an older one, so that parts which
// overlap hold the older prompt up for seconds.
constexpr double kOpenShareOfPart = 0.15;
// A part may grow by this factor where few engines are open, rather than wait.
constexpr double kPartStretch = 2;
// A part may take this share of the request's target.
constexpr double kPartShareOfTarget = 0.25;
// A request hurries when less than this share of its target is left: then a
// part may take this share of what is left.
constexpr double kHurryShare = 0.65;
constexpr double kTimeShareUsed = 0.8;
// A prompt that no engine's memory holds is read by engines on which nothing
// runs: its parts take so long that streams beside them would pause. An engine
// is idle with less than this to read.
constexpr FractionalMillis kIdleBacklog{20};
// Streams of long prompts are packed up to this many on an engine.
constexpr int kPackedWriters = 4;
// Routes whose gap is at most this multiple of the tightest count as tight.
constexpr double kTightFactor = 1.5;
// The share of an engine's slots that short requests are packed into. A fuller
// batch writes more slowly and leaves no room for what peers place unseen.
constexpr double kShortShareOfSlots = 0.6;
// Engines kept for short requests beyond those that the count needs.
constexpr std::size_t kSpareShortEngines = 1;
// Short requests never push long ones off more engines than this share.
constexpr double kMostShortShare = 0.9;
// From this pace on an engine counts as slow among readers: a part on it takes
// as much longer, and the first token follows the last part.
constexpr double kSlowPace = 1.5;
// The share of an engine's memory that is given away. Answers grow longer than
// the callers guess.
constexpr double kMemoryShare = 0.92;
// The spread of the random part of a plain endpoint's load, in requests, so
// that hosts that know the same do not all choose the same.
constexpr double kPlainNoise = 0.5;
// The spread of the random part of a predicted time, for each peer: what peers
// place between two of their words is not known here. Too narrow and they all
// choose the engine that looks free first. Of 0.4 and 2.8 ms a peer, the second
// gave 0.685 of mean worth on 21 hosts and the first 0.651 (docs/PLATFORM.md).
constexpr FractionalMillis kTimeSpreadPerPeer{3};
// The spread stays below this share of the target, however many peers there
// are: with more, a late engine would be as good as one in time.
constexpr double kMostSpreadShare = 0.25;
// What another data centre costs in the choice among equals.
constexpr double kElsewherePenalty = 0.25;
// The key of the order of engines that all hosts share.
constexpr char kOrderKey[] = "short-first";

FractionalMillis FirstEvent(const EngineProfile& engine,
                            const EndpointLoad& load, double pace,
                            FractionalMillis read) {
  // On average half of a pass under way, then the request's own first.
  constexpr double kPassesBefore = 1.5;
  const FractionalMillis pass =
      PassTime(engine, load.Members() + 1, load.memory);
  return pace * (load.read_backlog + read + kPassesBefore * pass);
}

bool IsTight(const PlacementRequest& request) {
  return FractionalMillis(request.route->target_gap) <=
         kTightFactor * FractionalMillis(request.tightest_gap);
}

// Returns how much of an engine's memory may still be given away.
Tokens FreeMemory(const EngineProfile& engine, const EndpointLoad& load) {
  const auto most = static_cast<std::int64_t>(
      kMemoryShare * static_cast<double>(engine.memory.value));
  return Tokens{std::max<std::int64_t>(0, most - load.memory.value)};
}

}  // namespace

bool IsOversize(const ServiceProfile& service, Tokens needed) {
  return service.engine.has_value() &&
         FreeMemory(*service.engine, EndpointLoad{}) < needed;
}

Placer::Placer(const EndpointDirectory* directory, const EndpointLoads* loads,
               const EndpointHealth* health, DataCentreId self,
               std::function<int()> hosts, RandomSource random)
    : directory_(directory),
      loads_(loads),
      health_(health),
      self_(std::move(self)),
      hosts_(std::move(hosts)),
      random_(std::move(random)) {}

PlacementResult Placer::Choose(const PlacementRequest& request) const {
  std::vector<Candidate> candidates = CandidatesFor(request);
  if (candidates.empty()) {
    return NoEndpoint{};
  }
  PlacementResult result;
  if (!request.service->engine.has_value()) {
    result = ChoosePlain(candidates);
  } else {
    SortInSharedOrder(&candidates);
    const FractionalMillis read =
        ReadTime(*request.service->engine, request.prompt);
    if (read <= kShortShareOfGap * FractionalMillis(request.tightest_gap)) {
      result = ChooseShort(request, candidates);
    } else {
      result = ChooseLong(request, candidates);
    }
  }
  if (auto* placement = std::get_if<Placement>(&result)) {
    placement->candidates = candidates.size();
  }
  return result;
}

std::vector<Placer::Candidate> Placer::CandidatesFor(
    const PlacementRequest& request) const {
  std::vector<Candidate> sound;
  std::vector<Candidate> suspect;
  for (const EndpointRecord* record :
       directory_->UsableOf(request.service->name)) {
    if (request.tried.count(record->id) != 0) {
      continue;
    }
    const Candidate candidate{record, loads_->Of(record->id),
                              std::max(1.0, health_->Pace(record->id)), 0};
    (health_->IsSuspect(record->id) ? suspect : sound).push_back(candidate);
  }
  return sound.empty() ? suspect : sound;
}

void Placer::SortInSharedOrder(std::vector<Candidate>* candidates) {
  for (Candidate& candidate : *candidates) {
    candidate.rank = RendezvousWeight(kOrderKey, candidate.record->id.value);
  }
  std::sort(
      candidates->begin(), candidates->end(),
      [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
}

Placement Placer::ChoosePlain(const std::vector<Candidate>& candidates) const {
  // There is one at least.
  const Candidate* best = &candidates.front();
  double best_cost = std::numeric_limits<double>::max();
  for (const Candidate& candidate : candidates) {
    const double elsewhere =
        candidate.record->data_centre == self_ ? 0 : kElsewherePenalty;
    const double cost =
        (candidate.load.Members() + kPlainNoise * Noise()) * candidate.pace +
        elsewhere;
    if (cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  Placement placement;
  placement.endpoint = *best->record;
  return placement;
}

Placement Placer::ChooseShort(const PlacementRequest& request,
                              const std::vector<Candidate>& in_order) const {
  const EngineProfile& engine = *request.service->engine;
  const FractionalMillis read = ReadTime(engine, request.prompt);
  const std::size_t wanted = EnginesForShort(engine, in_order.size());
  const FractionalMillis spread = TimeSpread(request);
  // There is one at least.
  const Candidate* best = &in_order.front();
  FractionalMillis best_time = FractionalMillis::max();
  for (std::size_t i = 0; i < in_order.size(); ++i) {
    const Candidate& candidate = in_order[i];
    FractionalMillis time =
        FirstEvent(engine, candidate.load, candidate.pace, read) +
        Noise() * spread;
    if (i >= wanted) {
      // Beyond the engines that short requests need: only if those are late.
      time += FractionalMillis(request.route->target_latency) / 2;
    }
    if (candidate.load.Members() >= engine.slots ||
        FreeMemory(engine, candidate.load) < request.prompt + request.answer) {
      time += FractionalMillis(request.route->target_latency);
    }
    if (time < best_time) {
      best = &candidate;
      best_time = time;
    }
  }
  Placement placement;
  placement.endpoint = *best->record;
  placement.work_class = WorkClass::kShort;
  placement.read = read;
  placement.first_event = FirstEvent(engine, best->load, best->pace, read);
  return placement;
}

PlacementResult Placer::ChooseLong(
    const PlacementRequest& request,
    const std::vector<Candidate>& in_order) const {
  const FractionalMillis whole =
      ReadTime(*request.service->engine, request.prompt);
  const std::size_t for_short =
      std::min(EnginesForShort(*request.service->engine, in_order.size()),
               in_order.size() - 1);
  const auto border = in_order.begin() + static_cast<std::ptrdiff_t>(for_short);
  std::vector<Candidate> readers;
  if (IsTight(request)) {
    readers = HarmlessReaders(request, whole, {in_order.begin(), border});
  }
  if (IsOversize(*request.service, request.prompt + request.answer)) {
    readers = IdleReaders(request, whole, {border, in_order.end()});
  } else if (readers.empty()) {
    readers = OpenReaders(request, whole, {border, in_order.end()});
  }
  if (readers.empty()) {
    return EnginesBusy{};
  }
  std::optional<Placement> placement = PlaceOn(request, whole, readers);
  if (!placement.has_value()) {
    return EnginesBusy{};
  }
  return *std::move(placement);
}

std::vector<Placer::Candidate> Placer::HarmlessReaders(
    const PlacementRequest& request, FractionalMillis whole,
    const std::vector<Candidate>& engines) {
  const EngineProfile& engine = *request.service->engine;
  const FractionalMillis gap(request.tightest_gap);
  struct Room {
    FractionalMillis part;
    const Candidate* candidate;
  };
  std::vector<Room> rooms;
  for (const Candidate& candidate : engines) {
    const EndpointLoad& load = candidate.load;
    const FractionalMillis pause = kPauseShareOfGap * gap;
    const FractionalMillis pass =
        PassTime(engine, load.Members() + 1, load.memory);
    const FractionalMillis part =
        (pause - pass) / candidate.pace - load.read_backlog;
    rooms.push_back(Room{part, &candidate});
  }
  std::sort(rooms.begin(), rooms.end(),
            [](const Room& a, const Room& b) { return a.part > b.part; });
  const FractionalMillis wanted_part =
      std::max(FractionalMillis(1), kPartShareOfGap * gap);
  const auto least = static_cast<std::size_t>(std::ceil(whole / wanted_part));
  const std::size_t most = std::min(rooms.size(), kMostHelpers + 1);
  for (std::size_t count = std::min(least, most); count <= most; ++count) {
    if (whole / static_cast<double>(count) <= rooms[count - 1].part) {
      std::vector<Candidate> readers;
      for (std::size_t i = 0; i < count; ++i) {
        readers.push_back(*rooms[i].candidate);
      }
      return readers;
    }
  }
  return {};
}

FractionalMillis Placer::PartAllowed(const PlacementRequest& request,
                                     FractionalMillis whole,
                                     FractionalMillis wanted_part) {
  const FractionalMillis target(request.route->target_latency);
  if (request.until_late < FractionalMillis(0)) {
    // Late already: wherever it can still be served.
    return whole;
  }
  const FractionalMillis smallest =
      whole / static_cast<double>(kMostHelpers + 1);
  const FractionalMillis calm =
      std::max({kPartStretch * wanted_part, kPartStretch * smallest,
                kPartShareOfTarget * target});
  const bool hurries = request.until_late < kHurryShare * target;
  return hurries ? std::max(calm, kTimeShareUsed * request.until_late) : calm;
}

std::vector<Placer::Candidate> Placer::OpenReaders(
    const PlacementRequest& request, FractionalMillis whole,
    const std::vector<Candidate>& zone) {
  const FractionalMillis wanted_part =
      std::max(FractionalMillis(1),
               kPartShareOfGap * FractionalMillis(request.tightest_gap));
  std::vector<Candidate> open;
  std::optional<Candidate> writer;
  const Tokens needed = request.prompt + request.answer;
  for (const Candidate& candidate : zone) {
    const EndpointLoad& load = candidate.load;
    if (load.unread_parts > 0 ||
        load.read_backlog > kOpenShareOfPart * wanted_part) {
      continue;
    }
    if (load.long_members == 0) {
      open.push_back(candidate);
      continue;
    }
    // Engines that write long answers read for new ones of their own only.
    const bool fits = !(FreeMemory(*request.service->engine, load) < needed);
    const bool more =
        !writer.has_value() || writer->load.long_members < load.long_members;
    if (fits && more && load.long_members < kPackedWriters) {
      writer = candidate;
    }
  }
  // Short requests that peers have just placed are not known yet. They come
  // from the front of the shared order, so parts are laid from its end.
  std::sort(open.begin(), open.end(),
            [](const Candidate& a, const Candidate& b) {
              const auto cost = [](const Candidate& c) {
                return std::make_tuple(c.load.short_members,
                                       c.pace >= kSlowPace, c.rank);
              };
              return cost(a) < cost(b);
            });
  const std::size_t writers = writer.has_value() ? 1 : 0;
  const std::size_t readers =
      CountReaders(request, whole, wanted_part, open, writers);
  if (readers == 0) {
    return {};
  }
  open.resize(readers - writers);
  if (writer.has_value()) {
    open.push_back(*writer);
  }
  return open;
}

std::size_t Placer::CountReaders(const PlacementRequest& request,
                                 FractionalMillis whole,
                                 FractionalMillis wanted_part,
                                 const std::vector<Candidate>& open,
                                 std::size_t writers) {
  const std::size_t all = open.size() + writers;
  const auto wanted =
      std::min({static_cast<std::size_t>(std::ceil(whole / wanted_part)), all,
                kMostHelpers + 1});
  const auto part = [whole](std::size_t count) {
    return whole / std::max(1.0, static_cast<double>(count));
  };
  if (wanted == 0) {
    return 0;
  }
  if (part(wanted) <= wanted_part) {
    // Harmless to every stream beside it.
    return wanted;
  }
  const auto clean = static_cast<std::size_t>(std::count_if(
      open.begin(), open.end(),
      [](const Candidate& c) { return c.load.short_members == 0; }));
  const FractionalMillis allowed = PartAllowed(request, whole, wanted_part);
  std::size_t count =
      std::max<std::size_t>(1, std::min(wanted, clean + writers));
  // Beside short requests only as far as it would be too late otherwise.
  while (count < wanted && part(count) > allowed) {
    ++count;
  }
  return part(count) <= allowed ? count : 0;
}

std::vector<Placer::Candidate> Placer::IdleReaders(
    const PlacementRequest& request, FractionalMillis whole,
    const std::vector<Candidate>& zone) {
  // Its parts would make every stream beside them pause for too long.
  std::vector<Candidate> idle;
  for (const Candidate& candidate : zone) {
    if (candidate.load.Members() == 0 && candidate.load.unread_parts == 0 &&
        candidate.load.read_backlog <= kIdleBacklog) {
      idle.push_back(candidate);
    }
  }
  idle.resize(std::min(idle.size(), kMostHelpers + 1));
  const FractionalMillis part =
      whole / std::max(1.0, static_cast<double>(idle.size()));
  return part <= kTimeShareUsed * request.until_late ? idle
                                                     : std::vector<Candidate>{};
}

std::optional<Placement> Placer::PlaceOn(
    const PlacementRequest& request, FractionalMillis whole,
    const std::vector<Candidate>& readers) {
  const EngineProfile& engine = *request.service->engine;
  // One of them holds the memory, as far as it can, and writes the answer.
  // Writers are packed, so that other engines stay free of streams that a
  // large part would hold up.
  const Tokens needed = request.prompt + request.answer;
  const auto cost = [&](const Candidate& c) {
    const bool fits = !(FreeMemory(engine, c.load) < needed);
    const int packed = std::min(c.load.long_members, kPackedWriters);
    return std::make_tuple(!fits, fits ? -packed : 0, c.load.memory);
  };
  const auto writer =
      std::min_element(readers.begin(), readers.end(),
                       [&cost](const Candidate& a, const Candidate& b) {
                         return cost(a) < cost(b);
                       });
  Placement placement;
  placement.endpoint = *writer->record;
  placement.work_class =
      IsTight(request) ? WorkClass::kShort : WorkClass::kLong;
  placement.read = whole / static_cast<double>(readers.size());
  for (const Candidate& candidate : readers) {
    placement.first_event = std::max(
        placement.first_event,
        FirstEvent(engine, candidate.load, candidate.pace, placement.read));
    if (candidate.record != writer->record) {
      placement.helpers.push_back(Helper{*candidate.record, Tokens{0}});
    }
  }
  const Tokens beyond = needed - FreeMemory(engine, writer->load);
  if (Tokens{0} < beyond &&
      !SpreadMemory(engine, readers, beyond, &placement)) {
    return std::nullopt;
  }
  return placement;
}

bool Placer::SpreadMemory(const EngineProfile& engine,
                          const std::vector<Candidate>& readers, Tokens beyond,
                          Placement* placement) {
  std::unordered_map<EndpointId, Tokens> free;
  for (const Candidate& candidate : readers) {
    free[candidate.record->id] = FreeMemory(engine, candidate.load);
  }
  std::sort(placement->helpers.begin(), placement->helpers.end(),
            [&free](const Helper& a, const Helper& b) {
              return free[b.record.id] < free[a.record.id];
            });
  for (Helper& helper : placement->helpers) {
    helper.held = std::min(beyond, free[helper.record.id]);
    beyond = beyond - helper.held;
    if (!(Tokens{0} < beyond)) {
      return true;
    }
  }
  return false;
}

std::size_t Placer::EnginesForShort(const EngineProfile& engine,
                                    std::size_t engines) const {
  const double per_engine =
      std::max(1.0, kShortShareOfSlots * static_cast<double>(engine.slots));
  const auto needed = static_cast<std::size_t>(
      std::ceil(static_cast<double>(loads_->ShortMembers()) / per_engine));
  const auto most = static_cast<std::size_t>(
      std::ceil(kMostShortShare * static_cast<double>(engines)));
  return std::min(most, needed + kSpareShortEngines);
}

FractionalMillis Placer::TimeSpread(const PlacementRequest& request) const {
  const int peers = std::max(0, hosts_() - 1);
  return std::min(
      FractionalMillis(peers * kTimeSpreadPerPeer),
      kMostSpreadShare * FractionalMillis(request.route->target_latency));
}

double Placer::Noise() const {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(random_()) / kRange;
}

}  // namespace harecrank
