#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/fleet_message_kinds.h"
#include "harecrank/core/fleet_messages.h"

namespace harecrank {
namespace {

using nlohmann::json;

json EncodePart(const WorkPart& part) {
  json array = json::array(
      {part.endpoint.value, static_cast<int>(part.work_class),
       part.prefill_time.count(), part.memory.value, part.gap.count()});
  if (part.decode_time > FractionalMillis(0)) {
    array.push_back(part.decode_time.count());
  }
  return array;
}

json EncodeQueryWork(const QueryWork& work) {
  json parts = json::array();
  for (const WorkPart& part : work.parts) {
    parts.push_back(EncodePart(part));
  }
  return json::array({work.id.value, work.prefill_done, std::move(parts)});
}

json EncodeWork(const std::vector<QueryWork>& work) {
  json list = json::array();
  for (const QueryWork& one : work) {
    list.push_back(EncodeQueryWork(one));
  }
  return list;
}

json EncodeDecision(const PlacementDecision& decision) {
  struct Encoder {
    json operator()(const PlannedPlacement& placed) const {
      json helpers = json::array();
      for (const PlannedHelper& helper : placed.helpers) {
        helpers.push_back({helper.endpoint.value, helper.held.value});
      }
      return json::array({static_cast<int>(DecisionKind::kPlaced),
                          placed.endpoint.value, std::move(helpers),
                          static_cast<int>(placed.work_class),
                          placed.prefill_time.count(),
                          placed.first_event.count(), placed.candidates});
    }
    json operator()(const QueryQueued& /*waits*/) const {
      return json::array({static_cast<int>(DecisionKind::kQueued)});
    }
    json operator()(const QueryRejected& rejected) const {
      json array = json::array({static_cast<int>(DecisionKind::kRejected)});
      if (rejected.retry_after.has_value()) {
        array.push_back(rejected.retry_after->count());
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

json EncodeCrashes(const std::set<EndpointCrash>& crashes) {
  json list = json::array();
  for (const EndpointCrash& crash : crashes) {
    list.push_back({crash.endpoint.value, crash.incarnation.value});
  }
  return list;
}

json EncodeSuspects(const std::vector<SuspectPart>& suspects) {
  json list = json::array();
  for (const SuspectPart& suspect : suspects) {
    json entry = json::array({suspect.part.value});
    if (suspect.sound_age.has_value()) {
      entry.push_back(suspect.sound_age->count());
    }
    list.push_back(std::move(entry));
  }
  return list;
}

json EncodeHeldPart(const HeldPart& held) {
  json owners = json::array();
  for (const HostAddress& owner : held.trials.owners) {
    owners.push_back(owner.value);
  }
  return json::array({held.part.value, held.first_crash_age.count(),
                      held.last_crash_age.count(), held.held_for.count(),
                      std::move(owners), held.trials.run});
}

json EncodeEvidence(const PartEvidence& evidence) {
  json crashes = json::array();
  for (const SuspectCrash& crash : evidence.crashes) {
    crashes.push_back({crash.crash.endpoint.value,
                       crash.crash.incarnation.value, crash.age.count(),
                       EncodeSuspects(crash.parts)});
  }
  json sound = json::array();
  for (const SoundPart& part : evidence.sound) {
    sound.push_back({part.part.value, part.age.count()});
  }
  json held = json::array();
  for (const HeldPart& part : evidence.held) {
    held.push_back(EncodeHeldPart(part));
  }
  return json::array({std::move(crashes), std::move(sound), std::move(held)});
}

json EncodeLimits(const std::vector<RateLimitReport>& limits) {
  json list = json::array();
  for (const RateLimitReport& report : limits) {
    list.push_back({report.endpoint.value,
                    report.rate.has_value() ? json(report.rate->value) : json(),
                    report.age.count()});
  }
  return list;
}

template <typename Id>
json EncodeIds(const std::set<Id>& ids) {
  json list = json::array();
  for (const Id& id : ids) {
    list.push_back(id.value);
  }
  return list;
}

json EncodeQuery(const PlacementQuery& query) {
  json array = json::array(
      {static_cast<int>(MessageKind::kQuery), query.host.value,
       query.incarnation.value, query.id.value, query.service.value,
       query.target_latency.count(), query.target_gap.count(),
       query.prompt.value, query.answer.value, query.until_late.count(),
       query.may_have_run, EncodeIds(query.tried), query.until_deadline.count(),
       query.origin.request.account.value, query.origin.request.high,
       query.origin.request.low, query.origin.priority});
  // The remaining elements are omitted if they are empty.
  const bool names_permitted = query.permitted.has_value() || query.may_repeat;
  const bool has_return = query.wants_return_time || names_permitted;
  if (!query.withheld.empty() || has_return) {
    array.push_back(EncodeIds(query.withheld));
  }
  if (has_return) {
    array.push_back(query.wants_return_time);
  }
  if (names_permitted) {
    array.push_back(query.permitted.has_value() ? EncodeIds(*query.permitted)
                                                : json(nullptr));
  }
  if (query.may_repeat) {
    array.push_back(true);
  }
  return array;
}

json EncodeRecord(const PlannerRecord& record) {
  struct Encoder {
    json operator()(const QueuedRecord& queued) const {
      return json::array({static_cast<int>(RecordKind::kQueued),
                          EncodeQuery(queued.query), queued.age.count(),
                          queued.has_reservation, queued.position});
    }
    json operator()(const PlacedRecord& placed) const {
      return json::array({static_cast<int>(RecordKind::kPlaced),
                          placed.placement.has_value()
                              ? EncodeDecision(*placed.placement)
                              : json(),
                          EncodeQueryWork(placed.work), placed.age.count(),
                          placed.until_late.count()});
    }
    json operator()(const EndedRecord& /*ended*/) const {
      return json::array({static_cast<int>(RecordKind::kEnded)});
    }
  };
  return json::array({record.host.value, record.incarnation.value,
                      record.id.value, std::visit(Encoder{}, record.state)});
}

struct MessageEncoder {
  json operator()(const Heartbeat& heartbeat) const {
    json hosts = json::array();
    for (const KnownHost& host : heartbeat.hosts) {
      hosts.push_back({host.address.value, host.cpu_share.value});
    }
    json avoided = json::array();
    for (const AvoidedEndpoint& endpoint : heartbeat.avoided) {
      avoided.push_back({endpoint.id.value, endpoint.left.count()});
    }
    json array = json::array(
        {static_cast<int>(MessageKind::kHeartbeat), heartbeat.node.value,
         heartbeat.address.value, heartbeat.incarnation.value,
         heartbeat.cpu_share.value, heartbeat.routing.value,
         heartbeat.known_up_to.value, heartbeat.store_data_fresh,
         heartbeat.planner.value, heartbeat.leaving, heartbeat.wants_reply,
         heartbeat.alive_hosts, std::move(hosts), std::move(avoided),
         heartbeat.store_data_age.count(),
         static_cast<int>(heartbeat.poll_state),
         heartbeat.should_poll.has_value() ? json(*heartbeat.should_poll)
                                           : json()});
    // The remaining elements of a heartbeat are omitted if they are empty.
    // Hosts of an earlier version ignore elements beyond those that they know.
    const bool has_recent_requests = heartbeat.recent_requests.has_value();
    const bool has_may_lack_holds =
        has_recent_requests || heartbeat.may_lack_holds;
    const bool has_poll_rank = has_may_lack_holds || heartbeat.poll_rank != 0;
    const bool has_limits = has_poll_rank || !heartbeat.limits.empty();
    const bool has_peak_hosts = has_limits || heartbeat.peak_hosts != 0;
    const bool has_crash_digest = has_peak_hosts || heartbeat.crash_digest != 0;
    if (heartbeat.work.has_value() || has_crash_digest) {
      array.push_back(heartbeat.work.has_value() ? EncodeWork(*heartbeat.work)
                                                 : json());
    }
    if (has_crash_digest) {
      array.push_back(heartbeat.crash_digest);
    }
    if (has_peak_hosts) {
      array.push_back(heartbeat.peak_hosts);
    }
    if (has_limits) {
      array.push_back(EncodeLimits(heartbeat.limits));
    }
    if (has_poll_rank) {
      array.push_back(heartbeat.poll_rank);
    }
    if (has_may_lack_holds) {
      array.push_back(heartbeat.may_lack_holds);
    }
    if (has_recent_requests) {
      array.push_back(*heartbeat.recent_requests);
    }
    return array;
  }

  json operator()(const PlacementQuery& query) const {
    return EncodeQuery(query);
  }

  json operator()(const PlacementReply& reply) const {
    return json::array({static_cast<int>(MessageKind::kReply), reply.from.value,
                        reply.incarnation.value, reply.id.value,
                        EncodeDecision(reply.decision)});
  }

  json operator()(const PublishedChanges& published) const {
    return json::array(
        {static_cast<int>(MessageKind::kChanges), published.from.value,
         json::binary({published.changes.begin(), published.changes.end()})});
  }

  json operator()(const CrashReports& crash_reports) const {
    json reports = json::array();
    for (const CrashReport& report : crash_reports.reports) {
      reports.push_back({report.request.account.value, report.request.high,
                         report.request.low, EncodeCrashes(report.crashes),
                         EncodeCrashes(report.cleared), report.trials,
                         report.failed_trials, report.age.count(),
                         report.quarantined_for.count()});
    }
    json array = json::array({static_cast<int>(MessageKind::kCrashes),
                              crash_reports.from.value, std::move(reports)});
    if (!crash_reports.parts.IsEmpty()) {
      array.push_back(EncodeEvidence(crash_reports.parts));
    }
    return array;
  }

  json operator()(const ProgressReport& progress) const {
    json prefills = json::array();
    for (const PrefillDone& one : progress.read) {
      prefills.push_back({one.id.value, one.pace});
    }
    json ended_requests = json::array();
    for (const RequestDone& one : progress.ended) {
      ended_requests.push_back({one.id.value, one.failed});
    }
    json array = json::array({static_cast<int>(MessageKind::kProgress),
                              progress.host.value, progress.incarnation.value,
                              std::move(prefills), std::move(ended_requests)});
    if (!progress.troubles.empty()) {
      json troubles = json::array();
      for (const GroupTrouble& one : progress.troubles) {
        troubles.push_back({one.id.value, one.pace});
      }
      array.push_back(std::move(troubles));
    }
    return array;
  }

  json operator()(const PlannerUpdate& update) const {
    json records = json::array();
    for (const PlannerRecord& record : update.records) {
      records.push_back(EncodeRecord(record));
    }
    return json::array({static_cast<int>(MessageKind::kPlannerUpdate),
                        update.from.value, update.incarnation.value,
                        update.sequence, update.restarts, update.has_more,
                        std::move(records)});
  }

  json operator()(const PlannerStateRequest& request) const {
    return json::array({static_cast<int>(MessageKind::kPlannerStateRequest),
                        request.from.value});
  }
};

}  // namespace

std::string EncodeFleetMessage(const FleetMessage& message) {
  std::string bytes;
  json::to_cbor(std::visit(MessageEncoder{}, message), bytes);
  return bytes;
}

}  // namespace harecrank
