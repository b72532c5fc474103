#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/fleet_message_kinds.h"
#include "harecrank/core/fleet_messages.h"

namespace harecrank {
namespace {

using nlohmann::json;

json EncodePart(const WorkPart& part) {
  return json::array({part.endpoint.value, static_cast<int>(part.work_class),
                      part.prefill_time.count(), part.memory.value,
                      part.gap.count()});
}

json EncodeWork(const std::vector<QueryWork>& work) {
  json list = json::array();
  for (const QueryWork& one : work) {
    json parts = json::array();
    for (const WorkPart& part : one.parts) {
      parts.push_back(EncodePart(part));
    }
    list.push_back({one.id.value, one.prefill_done, std::move(parts)});
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
    json operator()(const QueryRejected& refused) const {
      json array = json::array({static_cast<int>(DecisionKind::kRejected)});
      if (refused.retry_after.has_value()) {
        array.push_back(refused.retry_after->count());
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

json EncodeLimits(const std::vector<RateLimitReport>& limits) {
  json list = json::array();
  for (const RateLimitReport& report : limits) {
    list.push_back({report.endpoint.value,
                    report.rate.has_value() ? json(report.rate->value) : json(),
                    report.age.count()});
  }
  return list;
}

json EncodeIds(const std::set<EndpointId>& ids) {
  json list = json::array();
  for (const EndpointId& id : ids) {
    list.push_back(id.value);
  }
  return list;
}

struct MessageEncoder {
  json operator()(const Heartbeat& word) const {
    json hosts = json::array();
    for (const KnownHost& host : word.hosts) {
      hosts.push_back({host.address.value, host.cpu_share.value});
    }
    json avoided = json::array();
    for (const AvoidedEndpoint& endpoint : word.avoided) {
      avoided.push_back({endpoint.id.value, endpoint.left.count()});
    }
    json array = json::array(
        {static_cast<int>(MessageKind::kHeartbeat), word.node.value,
         word.address.value, word.incarnation.value, word.cpu_share.value,
         word.routing.value, word.known_up_to.value, word.store_data_fresh,
         word.planner.value, word.leaving, word.wants_reply, word.alive_hosts,
         std::move(hosts), std::move(avoided), word.store_data_age.count(),
         static_cast<int>(word.poll_state),
         word.should_poll.has_value() ? json(*word.should_poll) : json()});
    // What follows is left out where there is nothing to tell: hosts of an
    // earlier version pass over a word that is longer than they know.
    const bool tells_turn = word.poll_rank != 0;
    const bool tells_limits = tells_turn || !word.limits.empty();
    const bool tells_size = tells_limits || word.peak_hosts != 0;
    const bool tells_digest = tells_size || word.crash_digest != 0;
    if (word.work.has_value() || tells_digest) {
      array.push_back(word.work.has_value() ? EncodeWork(*word.work) : json());
    }
    if (tells_digest) {
      array.push_back(word.crash_digest);
    }
    if (tells_size) {
      array.push_back(word.peak_hosts);
    }
    if (tells_limits) {
      array.push_back(EncodeLimits(word.limits));
    }
    if (tells_turn) {
      array.push_back(word.poll_rank);
    }
    return array;
  }

  json operator()(const PlacementQuery& ask) const {
    json array = json::array(
        {static_cast<int>(MessageKind::kQuery), ask.host.value,
         ask.incarnation.value, ask.id.value, ask.service.value,
         ask.target_latency.count(), ask.target_gap.count(), ask.prompt.value,
         ask.answer.value, ask.until_late.count(), ask.may_have_run,
         EncodeIds(ask.tried), ask.until_deadline.count(),
         ask.origin.request.account.value, ask.origin.request.high,
         ask.origin.request.low, ask.origin.priority});
    if (!ask.withheld.empty()) {
      array.push_back(EncodeIds(ask.withheld));
    }
    return array;
  }

  json operator()(const PlacementReply& answer) const {
    return json::array({static_cast<int>(MessageKind::kReply),
                        answer.from.value, answer.incarnation.value,
                        answer.id.value, EncodeDecision(answer.decision)});
  }

  json operator()(const PublishedChanges& published) const {
    return json::array(
        {static_cast<int>(MessageKind::kChanges), published.from.value,
         json::binary({published.changes.begin(), published.changes.end()})});
  }

  json operator()(const CrashReports& told) const {
    json reports = json::array();
    for (const CrashReport& report : told.reports) {
      reports.push_back({report.request.account.value, report.request.high,
                         report.request.low, EncodeCrashes(report.crashes),
                         EncodeCrashes(report.cleared), report.trials,
                         report.failed_trials, report.age.count(),
                         report.quarantined_for.count()});
    }
    return json::array({static_cast<int>(MessageKind::kCrashes),
                        told.from.value, std::move(reports)});
  }

  json operator()(const ProgressReport& note) const {
    json read = json::array();
    for (const PrefillDone& one : note.read) {
      read.push_back({one.id.value, one.pace});
    }
    json ended = json::array();
    for (const RequestDone& one : note.ended) {
      ended.push_back({one.id.value, one.failed});
    }
    return json::array({static_cast<int>(MessageKind::kProgress),
                        note.host.value, note.incarnation.value,
                        std::move(read), std::move(ended)});
  }
};

}  // namespace

std::string EncodeFleetMessage(const FleetMessage& message) {
  std::string bytes;
  json::to_cbor(std::visit(MessageEncoder{}, message), bytes);
  return bytes;
}

}  // namespace harecrank
