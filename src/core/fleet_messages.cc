#include "harecrank/core/fleet_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace harecrank {
namespace {

using nlohmann::json;

// The first element of each message. Kept small: an ask is sent for each
// request.
enum class Kind {
  kWord = 1,
  kAsk = 2,
  kAnswer = 3,
  kNote = 4,
  kChanges = 5,
  kCrashes = 6
};

// The first element of a decision.
enum class DecisionKind {
  kPlaced = 1,
  kWaits = 2,
  kRefused = 3,
  kNoEndpoint = 4,
  kNotPlanner = 5
};

// A number that stands for none of the kinds that this version knows.
struct UnknownNumber {};

// Takes the elements of an array one after the other. Throws json::exception
// where one is missing or of another type.
class ArrayReader {
 public:
  explicit ArrayReader(const json& array) : array_(array) {}

  const json& Next() { return array_.at(next_++); }

  template <typename T>
  T Take() {
    return Next().get<T>();
  }

  template <typename T>
  T TakeString() {
    return T{Take<std::string>()};
  }

  template <typename T>
  T TakeNumber() {
    return T{Take<decltype(T::value)>()};
  }

  Millis TakeMillis() { return Millis(Take<std::int64_t>()); }
  FractionalMillis TakeTime() { return FractionalMillis(Take<double>()); }

  // Calls `read` with a reader of each element of an array of arrays.
  template <typename Read>
  void EachOf(const Read& read) {
    for (const json& entry : Next()) {
      ArrayReader reader(entry);
      read(&reader);
    }
  }

 private:
  const json& array_;
  std::size_t next_ = 0;
};

json EncodePart(const WorkPart& part) {
  return json::array({part.endpoint.value, static_cast<int>(part.work_class),
                      part.read.count(), part.memory.value, part.gap.count()});
}

WorkClass TakeWorkClass(ArrayReader* reader) {
  const int number = reader->Take<int>();
  if (number < static_cast<int>(WorkClass::kShort) ||
      number > static_cast<int>(WorkClass::kHelper)) {
    throw UnknownNumber{};
  }
  return static_cast<WorkClass>(number);
}

WorkPart TakePart(ArrayReader* reader) {
  WorkPart part;
  part.endpoint = reader->TakeString<EndpointId>();
  part.work_class = TakeWorkClass(reader);
  part.read = reader->TakeTime();
  part.memory = reader->TakeNumber<Tokens>();
  part.gap = reader->TakeMillis();
  return part;
}

json EncodeWork(const std::vector<AskedWork>& work) {
  json list = json::array();
  for (const AskedWork& one : work) {
    json parts = json::array();
    for (const WorkPart& part : one.parts) {
      parts.push_back(EncodePart(part));
    }
    list.push_back({one.id.value, one.is_read, std::move(parts)});
  }
  return list;
}

std::vector<AskedWork> TakeWork(const json& list) {
  std::vector<AskedWork> work;
  for (const json& element : list) {
    ArrayReader entry(element);
    AskedWork one;
    one.id = entry.TakeNumber<AskId>();
    one.is_read = entry.Take<bool>();
    entry.EachOf(
        [&one](ArrayReader* part) { one.parts.push_back(TakePart(part)); });
    work.push_back(std::move(one));
  }
  return work;
}

json EncodeDecision(const PlaceDecision& decision) {
  struct Encoder {
    json operator()(const PlannedPlacement& placed) const {
      json helpers = json::array();
      for (const PlannedHelper& helper : placed.helpers) {
        helpers.push_back({helper.endpoint.value, helper.held.value});
      }
      return json::array(
          {static_cast<int>(DecisionKind::kPlaced), placed.endpoint.value,
           std::move(helpers), static_cast<int>(placed.work_class),
           placed.read.count(), placed.first_event.count(), placed.candidates});
    }
    json operator()(const AskWaits& /*waits*/) const {
      return json::array({static_cast<int>(DecisionKind::kWaits)});
    }
    json operator()(const AskRefused& refused) const {
      json array = json::array({static_cast<int>(DecisionKind::kRefused)});
      if (refused.return_after.has_value()) {
        array.push_back(refused.return_after->count());
      }
      return array;
    }
    json operator()(const NoEndpoint& /*none*/) const {
      return json::array({static_cast<int>(DecisionKind::kNoEndpoint)});
    }
    json operator()(const NotPlanner& other) const {
      return json::array(
          {static_cast<int>(DecisionKind::kNotPlanner), other.planner.value});
    }
  };
  return std::visit(Encoder{}, decision);
}

PlannedPlacement TakePlacement(ArrayReader* reader) {
  PlannedPlacement placed;
  placed.endpoint = reader->TakeString<EndpointId>();
  reader->EachOf([&placed](ArrayReader* entry) {
    PlannedHelper helper;
    helper.endpoint = entry->TakeString<EndpointId>();
    helper.held = entry->TakeNumber<Tokens>();
    placed.helpers.push_back(std::move(helper));
  });
  placed.work_class = TakeWorkClass(reader);
  placed.read = reader->TakeTime();
  placed.first_event = reader->TakeTime();
  placed.candidates = reader->Take<std::size_t>();
  return placed;
}

AskRefused TakeRefusal(ArrayReader* reader, std::size_t size) {
  constexpr std::size_t kSizeWithoutReturn = 1;
  AskRefused refused;
  if (size > kSizeWithoutReturn) {
    refused.return_after = reader->TakeMillis();
  }
  return refused;
}

PlaceDecision TakeDecision(ArrayReader* message) {
  const json& decision = message->Next();
  ArrayReader reader(decision);
  switch (static_cast<DecisionKind>(reader.Take<int>())) {
    case DecisionKind::kPlaced:
      return TakePlacement(&reader);
    case DecisionKind::kWaits:
      return AskWaits{};
    case DecisionKind::kRefused:
      return TakeRefusal(&reader, decision.size());
    case DecisionKind::kNoEndpoint:
      return NoEndpoint{};
    case DecisionKind::kNotPlanner:
      return NotPlanner{reader.TakeString<HostAddress>()};
  }
  throw UnknownNumber{};
}

json EncodeCrashes(const std::set<EndpointCrash>& crashes) {
  json list = json::array();
  for (const EndpointCrash& crash : crashes) {
    list.push_back({crash.endpoint.value, crash.life.value});
  }
  return list;
}

std::set<EndpointCrash> TakeCrashes(ArrayReader* reader) {
  std::set<EndpointCrash> crashes;
  reader->EachOf([&crashes](ArrayReader* entry) {
    EndpointCrash crash;
    crash.endpoint = entry->TakeString<EndpointId>();
    crash.life = entry->TakeNumber<EndpointLife>();
    crashes.insert(std::move(crash));
  });
  return crashes;
}

json EncodeLimits(const std::vector<LimitReport>& limits) {
  json list = json::array();
  for (const LimitReport& report : limits) {
    list.push_back({report.endpoint.value,
                    report.rate.has_value() ? json(report.rate->value) : json(),
                    report.age.count()});
  }
  return list;
}

std::vector<LimitReport> TakeLimits(ArrayReader* reader) {
  std::vector<LimitReport> limits;
  reader->EachOf([&limits](ArrayReader* entry) {
    LimitReport report;
    report.endpoint = entry->TakeString<EndpointId>();
    if (const json& rate = entry->Next(); !rate.is_null()) {
      report.rate = RequestRate{rate.get<double>()};
    }
    report.age = entry->TakeMillis();
    limits.push_back(std::move(report));
  });
  return limits;
}

json EncodeIds(const std::set<EndpointId>& ids) {
  json list = json::array();
  for (const EndpointId& id : ids) {
    list.push_back(id.value);
  }
  return list;
}

struct MessageEncoder {
  json operator()(const HostWord& word) const {
    json hosts = json::array();
    for (const KnownHost& host : word.hosts) {
      hosts.push_back({host.address.value, host.power.value});
    }
    json avoided = json::array();
    for (const AvoidedEndpoint& endpoint : word.avoided) {
      avoided.push_back({endpoint.id.value, endpoint.left.count()});
    }
    json array = json::array(
        {static_cast<int>(Kind::kWord), word.node.value, word.address.value,
         word.life.value, word.power.value, word.routing.value,
         word.known_up_to.value, word.source_well, word.planner.value,
         word.leaving, word.wants_reply, word.alive_hosts, std::move(hosts),
         std::move(avoided), word.source_age.count(),
         static_cast<int>(word.own_reading),
         word.should_read.has_value() ? json(*word.should_read) : json()});
    // What follows is left out where there is nothing to tell: hosts of an
    // earlier version pass over a word that is longer than they know.
    const bool tells_turn = word.reading_turn != 0;
    const bool tells_limits = tells_turn || !word.limits.empty();
    const bool tells_size = tells_limits || word.most_hosts != 0;
    const bool tells_digest = tells_size || word.crash_digest != 0;
    if (word.work.has_value() || tells_digest) {
      array.push_back(word.work.has_value() ? EncodeWork(*word.work) : json());
    }
    if (tells_digest) {
      array.push_back(word.crash_digest);
    }
    if (tells_size) {
      array.push_back(word.most_hosts);
    }
    if (tells_limits) {
      array.push_back(EncodeLimits(word.limits));
    }
    if (tells_turn) {
      array.push_back(word.reading_turn);
    }
    return array;
  }

  json operator()(const PlaceAsk& ask) const {
    json array = json::array(
        {static_cast<int>(Kind::kAsk), ask.host.value, ask.life.value,
         ask.id.value, ask.service.value, ask.target_latency.count(),
         ask.target_gap.count(), ask.prompt.value, ask.answer.value,
         ask.until_late.count(), ask.may_have_run, EncodeIds(ask.tried),
         ask.until_deadline.count(), ask.origin.request.account.value,
         ask.origin.request.high, ask.origin.request.low, ask.origin.priority});
    if (!ask.withheld.empty()) {
      array.push_back(EncodeIds(ask.withheld));
    }
    return array;
  }

  json operator()(const PlaceAnswer& answer) const {
    return json::array({static_cast<int>(Kind::kAnswer), answer.from.value,
                        answer.life.value, answer.id.value,
                        EncodeDecision(answer.decision)});
  }

  json operator()(const PublishedChanges& published) const {
    return json::array(
        {static_cast<int>(Kind::kChanges), published.from.value,
         json::binary({published.changes.begin(), published.changes.end()})});
  }

  json operator()(const CrashReports& told) const {
    json reports = json::array();
    for (const CrashReport& report : told.reports) {
      reports.push_back({report.request.account.value, report.request.high,
                         report.request.low, EncodeCrashes(report.crashes),
                         EncodeCrashes(report.cleared), report.trials,
                         report.failed_trials, report.age.count(),
                         report.held_for.count()});
    }
    return json::array({static_cast<int>(Kind::kCrashes), told.from.value,
                        std::move(reports)});
  }

  json operator()(const WorkNote& note) const {
    json read = json::array();
    for (const ReadNote& one : note.read) {
      read.push_back({one.id.value, one.pace});
    }
    json ended = json::array();
    for (const EndNote& one : note.ended) {
      ended.push_back({one.id.value, one.failed});
    }
    return json::array({static_cast<int>(Kind::kNote), note.host.value,
                        note.life.value, std::move(read), std::move(ended)});
  }
};

OwnReading TakeOwnReading(ArrayReader* reader) {
  const auto reading = static_cast<OwnReading>(reader->Take<int>());
  switch (reading) {
    case OwnReading::kNone:
    case OwnReading::kBegun:
    case OwnReading::kAnswered:
    case OwnReading::kFailed:
      return reading;
  }
  throw UnknownNumber{};
}

HostWord TakeWord(ArrayReader* reader, std::size_t size) {
  constexpr std::size_t kSizeWithoutWork = 17;
  HostWord word;
  word.node = reader->TakeString<NodeId>();
  word.address = reader->TakeString<HostAddress>();
  word.life = reader->TakeNumber<Incarnation>();
  word.power = reader->TakeNumber<HostPower>();
  word.routing = reader->TakeNumber<RoutingVersion>();
  word.known_up_to = reader->TakeNumber<StoreRevision>();
  word.source_well = reader->Take<bool>();
  word.planner = reader->TakeString<HostAddress>();
  word.leaving = reader->Take<bool>();
  word.wants_reply = reader->Take<bool>();
  word.alive_hosts = reader->Take<int>();
  reader->EachOf([&word](ArrayReader* entry) {
    KnownHost host;
    host.address = entry->TakeString<HostAddress>();
    host.power = entry->TakeNumber<HostPower>();
    word.hosts.push_back(std::move(host));
  });
  reader->EachOf([&word](ArrayReader* entry) {
    AvoidedEndpoint endpoint;
    endpoint.id = entry->TakeString<EndpointId>();
    endpoint.left = entry->TakeMillis();
    word.avoided.push_back(std::move(endpoint));
  });
  word.source_age = reader->TakeMillis();
  word.own_reading = TakeOwnReading(reader);
  if (const json& should_read = reader->Next(); !should_read.is_null()) {
    word.should_read = should_read.get<bool>();
  }
  if (size > kSizeWithoutWork) {
    const json& work = reader->Next();
    if (!work.is_null()) {
      word.work = TakeWork(work);
    }
  }
  if (size > kSizeWithoutWork + 1) {
    word.crash_digest = reader->Take<std::uint64_t>();
  }
  if (size > kSizeWithoutWork + 2) {
    word.most_hosts = reader->Take<int>();
  }
  if (size > kSizeWithoutWork + 3) {
    word.limits = TakeLimits(reader);
  }
  if (size > kSizeWithoutWork + 4) {
    word.reading_turn = reader->Take<int>();
  }
  return word;
}

std::set<EndpointId> TakeIds(ArrayReader* reader) {
  std::set<EndpointId> ids;
  for (const json& id : reader->Next()) {
    ids.insert(EndpointId{id.get<std::string>()});
  }
  return ids;
}

PlaceAsk TakeAsk(ArrayReader* reader, std::size_t size) {
  constexpr std::size_t kSizeWithoutWithheld = 17;
  PlaceAsk ask;
  ask.host = reader->TakeString<HostAddress>();
  ask.life = reader->TakeNumber<Incarnation>();
  ask.id = reader->TakeNumber<AskId>();
  ask.service = reader->TakeString<ServiceName>();
  ask.target_latency = reader->TakeMillis();
  ask.target_gap = reader->TakeMillis();
  ask.prompt = reader->TakeNumber<Tokens>();
  ask.answer = reader->TakeNumber<Tokens>();
  ask.until_late = reader->TakeTime();
  ask.may_have_run = reader->Take<bool>();
  ask.tried = TakeIds(reader);
  ask.until_deadline = reader->TakeTime();
  ask.origin.request.account = reader->TakeString<AccountId>();
  ask.origin.request.high = reader->Take<std::uint64_t>();
  ask.origin.request.low = reader->Take<std::uint64_t>();
  ask.origin.priority = reader->Take<int>();
  if (size > kSizeWithoutWithheld) {
    ask.withheld = TakeIds(reader);
  }
  return ask;
}

PlaceAnswer TakeAnswer(ArrayReader* reader) {
  PlaceAnswer answer;
  answer.from = reader->TakeString<HostAddress>();
  answer.life = reader->TakeNumber<Incarnation>();
  answer.id = reader->TakeNumber<AskId>();
  answer.decision = TakeDecision(reader);
  return answer;
}

PublishedChanges TakeChanges(ArrayReader* reader) {
  PublishedChanges published;
  published.from = reader->TakeString<HostAddress>();
  const json::binary_t& bytes = reader->Next().get_binary();
  published.changes.assign(bytes.begin(), bytes.end());
  return published;
}

CrashReports TakeCrashReports(ArrayReader* reader) {
  CrashReports told;
  told.from = reader->TakeString<HostAddress>();
  reader->EachOf([&told](ArrayReader* entry) {
    CrashReport report;
    report.request.account = entry->TakeString<AccountId>();
    report.request.high = entry->Take<std::uint64_t>();
    report.request.low = entry->Take<std::uint64_t>();
    report.crashes = TakeCrashes(entry);
    report.cleared = TakeCrashes(entry);
    report.trials = entry->Take<int>();
    report.failed_trials = entry->Take<int>();
    report.age = entry->TakeMillis();
    report.held_for = entry->TakeMillis();
    told.reports.push_back(std::move(report));
  });
  return told;
}

WorkNote TakeNote(ArrayReader* reader) {
  WorkNote note;
  note.host = reader->TakeString<HostAddress>();
  note.life = reader->TakeNumber<Incarnation>();
  reader->EachOf([&note](ArrayReader* entry) {
    ReadNote one;
    one.id = entry->TakeNumber<AskId>();
    one.pace = entry->Take<double>();
    note.read.push_back(one);
  });
  reader->EachOf([&note](ArrayReader* entry) {
    EndNote one;
    one.id = entry->TakeNumber<AskId>();
    one.failed = entry->Take<bool>();
    note.ended.push_back(one);
  });
  return note;
}

}  // namespace

std::string EncodeFleetMessage(const FleetMessage& message) {
  std::string bytes;
  json::to_cbor(std::visit(MessageEncoder{}, message), bytes);
  return bytes;
}

std::optional<FleetMessage> DecodeFleetMessage(const std::string& bytes) {
  try {
    const json array = json::from_cbor(bytes);
    ArrayReader reader(array);
    switch (static_cast<Kind>(reader.Take<int>())) {
      case Kind::kWord:
        return TakeWord(&reader, array.size());
      case Kind::kAsk:
        return TakeAsk(&reader, array.size());
      case Kind::kAnswer:
        return TakeAnswer(&reader);
      case Kind::kNote:
        return TakeNote(&reader);
      case Kind::kChanges:
        return TakeChanges(&reader);
      case Kind::kCrashes:
        return TakeCrashReports(&reader);
    }
    return std::nullopt;
  } catch (const json::exception&) {
    // Whatever reaches the port: the caller counts it.
    return std::nullopt;
  } catch (const UnknownNumber&) {
    return std::nullopt;
  }
}

}  // namespace harecrank
