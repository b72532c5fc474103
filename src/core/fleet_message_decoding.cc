#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/array_reader.h"
#include "harecrank/core/cbor_depth.h"
#include "harecrank/core/crash_report_decoding.h"
#include "harecrank/core/fleet_message_kinds.h"
#include "harecrank/core/fleet_messages.h"

namespace harecrank {
namespace {

using nlohmann::json;

WorkClass TakeWorkClass(ArrayReader* reader) {
  const int number = reader->Take<int>();
  if (number < static_cast<int>(WorkClass::kShort) ||
      number > static_cast<int>(WorkClass::kHelper)) {
    throw UnknownEnumValue{};
  }
  return static_cast<WorkClass>(number);
}

WorkPart TakePart(ArrayReader* reader) {
  WorkPart part;
  part.endpoint = reader->TakeString<EndpointId>();
  part.work_class = TakeWorkClass(reader);
  part.prefill_time = reader->TakeTime();
  part.memory = reader->TakeNumber<Tokens>();
  part.gap = reader->TakeMillis();
  if (!reader->AtEnd()) {
    part.decode_time = reader->TakeTime();
  }
  return part;
}

QueryWork TakeQueryWork(const json& element) {
  ArrayReader reader(element);
  QueryWork work;
  work.id = reader.TakeNumber<QueryId>();
  work.prefill_done = reader.Take<bool>();
  reader.EachOf(
      [&work](ArrayReader* part) { work.parts.push_back(TakePart(part)); });
  return work;
}

std::vector<QueryWork> TakeWork(const json& list) {
  std::vector<QueryWork> work;
  for (const json& element : list) {
    work.push_back(TakeQueryWork(element));
  }
  return work;
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
  placed.prefill_time = reader->TakeTime();
  placed.first_event = reader->TakeTime();
  placed.candidates = reader->Take<std::size_t>();
  return placed;
}

QueryRejected TakeRejection(ArrayReader* reader, std::size_t size) {
  constexpr std::size_t kSizeWithoutRetryAfter = 1;
  QueryRejected rejected;
  if (size > kSizeWithoutRetryAfter) {
    rejected.retry_after = reader->TakeMillis();
  }
  return rejected;
}

PlacementDecision TakeDecision(ArrayReader* message) {
  const json& decision = message->Next();
  ArrayReader reader(decision);
  switch (static_cast<DecisionKind>(reader.Take<int>())) {
    case DecisionKind::kPlaced:
      return TakePlacement(&reader);
    case DecisionKind::kQueued:
      return QueryQueued{};
    case DecisionKind::kRejected:
      return TakeRejection(&reader, decision.size());
    case DecisionKind::kNoEndpoint:
      return NoEndpoint{};
    case DecisionKind::kNotPlanner:
      return NotPlanner{reader.TakeString<HostAddress>()};
  }
  throw UnknownEnumValue{};
}

std::vector<RateLimitReport> TakeLimits(ArrayReader* reader) {
  std::vector<RateLimitReport> limits;
  reader->EachOf([&limits](ArrayReader* entry) {
    RateLimitReport report;
    report.endpoint = entry->TakeString<EndpointId>();
    if (const json& rate = entry->Next(); !rate.is_null()) {
      report.rate = RequestRate{rate.get<double>()};
    }
    report.age = entry->TakeMillis();
    limits.push_back(std::move(report));
  });
  return limits;
}

PollState TakePollState(ArrayReader* reader) {
  const auto state = static_cast<PollState>(reader->Take<int>());
  switch (state) {
    case PollState::kNone:
    case PollState::kStarted:
    case PollState::kAnswered:
    case PollState::kFailed:
      return state;
  }
  throw UnknownEnumValue{};
}

Heartbeat TakeHeartbeat(ArrayReader* reader, std::size_t size) {
  constexpr std::size_t kSizeWithoutWork = 17;
  Heartbeat heartbeat;
  heartbeat.node = reader->TakeString<NodeId>();
  heartbeat.address = reader->TakeString<HostAddress>();
  heartbeat.incarnation = reader->TakeNumber<Incarnation>();
  heartbeat.cpu_share = reader->TakeNumber<CpuShare>();
  heartbeat.routing = reader->TakeNumber<RoutingVersion>();
  heartbeat.known_up_to = reader->TakeNumber<StoreRevision>();
  heartbeat.store_data_fresh = reader->Take<bool>();
  heartbeat.planner = reader->TakeString<HostAddress>();
  heartbeat.leaving = reader->Take<bool>();
  heartbeat.wants_reply = reader->Take<bool>();
  heartbeat.alive_hosts = reader->Take<int>();
  reader->EachOf([&heartbeat](ArrayReader* entry) {
    KnownHost host;
    host.address = entry->TakeString<HostAddress>();
    host.cpu_share = entry->TakeNumber<CpuShare>();
    heartbeat.hosts.push_back(std::move(host));
  });
  reader->EachOf([&heartbeat](ArrayReader* entry) {
    AvoidedEndpoint endpoint;
    endpoint.id = entry->TakeString<EndpointId>();
    endpoint.left = entry->TakeMillis();
    heartbeat.avoided.push_back(std::move(endpoint));
  });
  heartbeat.store_data_age = reader->TakeMillis();
  heartbeat.poll_state = TakePollState(reader);
  if (const json& should_poll = reader->Next(); !should_poll.is_null()) {
    heartbeat.should_poll = should_poll.get<bool>();
  }
  if (size > kSizeWithoutWork) {
    const json& work = reader->Next();
    if (!work.is_null()) {
      heartbeat.work = TakeWork(work);
    }
  }
  if (size > kSizeWithoutWork + 1) {
    heartbeat.crash_digest = reader->Take<std::uint64_t>();
  }
  if (size > kSizeWithoutWork + 2) {
    heartbeat.peak_hosts = reader->Take<int>();
  }
  if (size > kSizeWithoutWork + 3) {
    heartbeat.limits = TakeLimits(reader);
  }
  if (size > kSizeWithoutWork + 4) {
    heartbeat.poll_rank = reader->Take<int>();
  }
  if (size > kSizeWithoutWork + 5) {
    heartbeat.may_lack_holds = reader->Take<bool>();
  }
  if (size > kSizeWithoutWork + 6) {
    heartbeat.recent_requests = reader->Take<int>();
  }
  return heartbeat;
}

template <typename Id>
std::set<Id> ReadIds(const json& list) {
  std::set<Id> ids;
  for (const json& id : list) {
    ids.insert(Id{id.get<std::string>()});
  }
  return ids;
}

PlacementQuery TakeQuery(ArrayReader* reader, std::size_t size) {
  constexpr std::size_t kSizeWithoutWithheld = 17;
  PlacementQuery query;
  query.host = reader->TakeString<HostAddress>();
  query.incarnation = reader->TakeNumber<Incarnation>();
  query.id = reader->TakeNumber<QueryId>();
  query.service = reader->TakeString<ServiceName>();
  query.target_latency = reader->TakeMillis();
  query.target_gap = reader->TakeMillis();
  query.prompt = reader->TakeNumber<Tokens>();
  query.answer = reader->TakeNumber<Tokens>();
  query.until_late = reader->TakeTime();
  query.may_have_run = reader->Take<bool>();
  query.tried = ReadIds<EndpointId>(reader->Next());
  query.until_deadline = reader->TakeTime();
  query.origin.request.account = reader->TakeString<AccountId>();
  query.origin.request.high = reader->Take<std::uint64_t>();
  query.origin.request.low = reader->Take<std::uint64_t>();
  query.origin.priority = reader->Take<int>();
  if (size > kSizeWithoutWithheld) {
    query.withheld = ReadIds<EndpointId>(reader->Next());
  }
  if (size > kSizeWithoutWithheld + 1) {
    query.wants_return_time = reader->Take<bool>();
  }
  if (size > kSizeWithoutWithheld + 2) {
    if (const json& permitted = reader->Next(); !permitted.is_null()) {
      query.permitted = ReadIds<DataCentreId>(permitted);
    }
  }
  if (size > kSizeWithoutWithheld + 3) {
    query.may_repeat = reader->Take<bool>();
  }
  return query;
}

PlacementReply TakeReply(ArrayReader* reader) {
  PlacementReply reply;
  reply.from = reader->TakeString<HostAddress>();
  reply.incarnation = reader->TakeNumber<Incarnation>();
  reply.id = reader->TakeNumber<QueryId>();
  reply.decision = TakeDecision(reader);
  return reply;
}

PublishedChanges TakeChanges(ArrayReader* reader) {
  PublishedChanges published;
  published.from = reader->TakeString<HostAddress>();
  const json::binary_t& bytes = reader->Next().get_binary();
  published.changes.assign(bytes.begin(), bytes.end());
  return published;
}

ProgressReport TakeProgressReport(ArrayReader* reader, std::size_t size) {
  constexpr std::size_t kSizeWithoutTroubles = 5;
  ProgressReport progress;
  progress.host = reader->TakeString<HostAddress>();
  progress.incarnation = reader->TakeNumber<Incarnation>();
  reader->EachOf([&progress](ArrayReader* entry) {
    PrefillDone one;
    one.id = entry->TakeNumber<QueryId>();
    one.pace = entry->Take<double>();
    progress.read.push_back(one);
  });
  reader->EachOf([&progress](ArrayReader* entry) {
    RequestDone one;
    one.id = entry->TakeNumber<QueryId>();
    one.failed = entry->Take<bool>();
    progress.ended.push_back(one);
  });
  if (size > kSizeWithoutTroubles) {
    reader->EachOf([&progress](ArrayReader* entry) {
      GroupTrouble one;
      one.id = entry->TakeNumber<QueryId>();
      one.pace = entry->Take<double>();
      progress.troubles.push_back(one);
    });
  }
  return progress;
}

QueuedRecord TakeQueuedRecord(ArrayReader* reader) {
  QueuedRecord queued;
  const json& query = reader->Next();
  ArrayReader query_reader(query);
  query_reader.Next();  // The kind of message, which is always a query.
  queued.query = TakeQuery(&query_reader, query.size());
  queued.age = reader->TakeTime();
  queued.has_reservation = reader->Take<bool>();
  queued.position = reader->Take<std::uint64_t>();
  return queued;
}

PlacedRecord TakePlacedRecord(ArrayReader* reader) {
  PlacedRecord placed;
  if (const json& placement = reader->Next(); !placement.is_null()) {
    ArrayReader placement_reader(placement);
    placement_reader.Next();  // The kind of decision, always a placement.
    placed.placement = TakePlacement(&placement_reader);
  }
  placed.work = TakeQueryWork(reader->Next());
  placed.age = reader->TakeTime();
  placed.until_late = reader->TakeTime();
  return placed;
}

PlannerRecord TakeRecord(ArrayReader* entry) {
  PlannerRecord record;
  record.host = entry->TakeString<HostAddress>();
  record.incarnation = entry->TakeNumber<Incarnation>();
  record.id = entry->TakeNumber<QueryId>();
  ArrayReader state(entry->Next());
  switch (static_cast<RecordKind>(state.Take<int>())) {
    case RecordKind::kQueued:
      record.state = TakeQueuedRecord(&state);
      return record;
    case RecordKind::kPlaced:
      record.state = TakePlacedRecord(&state);
      return record;
    case RecordKind::kEnded:
      record.state = EndedRecord{};
      return record;
  }
  throw UnknownEnumValue{};
}

PlannerUpdate TakePlannerUpdate(ArrayReader* reader) {
  PlannerUpdate update;
  update.from = reader->TakeString<HostAddress>();
  update.incarnation = reader->TakeNumber<Incarnation>();
  update.sequence = reader->Take<std::uint64_t>();
  update.restarts = reader->Take<bool>();
  update.has_more = reader->Take<bool>();
  reader->EachOf([&update](ArrayReader* entry) {
    update.records.push_back(TakeRecord(entry));
  });
  return update;
}

}  // namespace

std::optional<FleetMessage> DecodeFleetMessage(const std::string& bytes) {
  if (!IsShallowCbor(bytes)) {
    return std::nullopt;
  }
  try {
    const json array = json::from_cbor(bytes);
    ArrayReader reader(array);
    switch (static_cast<MessageKind>(reader.Take<int>())) {
      case MessageKind::kHeartbeat:
        return TakeHeartbeat(&reader, array.size());
      case MessageKind::kQuery:
        return TakeQuery(&reader, array.size());
      case MessageKind::kReply:
        return TakeReply(&reader);
      case MessageKind::kProgress:
        return TakeProgressReport(&reader, array.size());
      case MessageKind::kChanges:
        return TakeChanges(&reader);
      case MessageKind::kCrashes:
        return TakeCrashReports(&reader);
      case MessageKind::kPlannerUpdate:
        return TakePlannerUpdate(&reader);
      case MessageKind::kPlannerStateRequest:
        return PlannerStateRequest{reader.TakeString<HostAddress>()};
    }
    return std::nullopt;
  } catch (const json::exception&) {
    // The port may receive any data. The caller counts messages that cannot be
    // decoded.
    return std::nullopt;
  } catch (const UnknownEnumValue&) {
    return std::nullopt;
  }
}

}  // namespace harecrank
