#include "src/gateway/gateway_gauges.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "src/gateway/engine_standing_log.h"

namespace harecrank {
namespace {

nlohmann::json Names(const std::vector<EndpointId>& endpoints) {
  nlohmann::json names = nlohmann::json::array();
  for (const EndpointId& id : endpoints) {
    names.push_back(id.value);
  }
  return names;
}

std::vector<std::string> HeldParts(const PartQuarantine& parts) {
  std::vector<std::string> names;
  for (const HeldPart& held : parts.SharedEvidence().held) {
    names.push_back(LogName(held.part));
  }
  return names;
}

// Returns the region of each data centre, and the permitted regions that have
// none.
nlohmann::json DescribeRegions(const GatewayParts& parts) {
  nlohmann::json data_centres = nlohmann::json::object();
  for (const auto& [data_centre, region] : parts.regions->All()) {
    data_centres[data_centre.value] = region.value;
  }
  nlohmann::json unknown = nlohmann::json::array();
  for (const RegionId& region : parts.region_reporter->Unknown()) {
    unknown.push_back(region.value);
  }
  return {{"data_centres", std::move(data_centres)},
          {"unknown", std::move(unknown)}};
}

// Returns the names of the engines that are not sound, by standing.
nlohmann::json UnsoundEngines(const EndpointHealth& health) {
  nlohmann::json engines = nlohmann::json::object();
  for (const auto& [id, standing] : health.UnsoundEngines()) {
    engines[NameOf(standing)].push_back(id.value);
  }
  return engines;
}

// Returns what this host has sent to each service and may repeat there.
nlohmann::json DescribeRepeats(const RepeatBudgets& budgets) {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [service, use] : budgets.Uses()) {
    services[service.value] = {{"first_attempts", use.first_attempts},
                               {"repeats", use.repeats},
                               {"unsent", use.unsent},
                               {"credit", use.credit},
                               {"allowance", use.allowance},
                               {"allowance_used", use.allowance_used},
                               {"hosts", use.hosts}};
  }
  return services;
}

// Adds gauges of the number of engines with each standing but kSound.
void RegisterStandingGauges(const GatewayParts& parts, Metrics* metrics) {
  for (const EngineStanding standing :
       {EngineStanding::kSuspected, EngineStanding::kSlow,
        EngineStanding::kFailing}) {
    metrics->AddGauge(
        std::string("harecrank_gateway_engines_") + NameOf(standing),
        [parts, standing] {
          const auto unsound = parts.health->UnsoundEngines();
          return static_cast<double>(std::count_if(
              unsound.begin(), unsound.end(), [standing](const auto& entry) {
                return entry.second == standing;
              }));
        });
  }
}

// Adds the gauges that are meaningful only on the planner: its known hosts, its
// wait queue and its promises.
void RegisterPlannerGauges(const GatewayParts& parts, Metrics* metrics) {
  metrics->AddGauge("harecrank_gateway_is_planner",
                    [parts] { return parts.fleet->IsPlanner() ? 1.0 : 0.0; });
  metrics->AddGauge("harecrank_gateway_planned_hosts", [parts] {
    return static_cast<double>(parts.planner->HostCount());
  });
  metrics->AddGauge("harecrank_gateway_waiting_at_planner", [parts] {
    return static_cast<double>(parts.planner->WaitingCount());
  });
  metrics->AddGauge("harecrank_gateway_accounts_waiting", [parts] {
    return static_cast<double>(parts.planner->WaitingAccounts());
  });
  metrics->AddGauge("harecrank_gateway_accounts_sated", [parts] {
    return static_cast<double>(parts.planner->OverShareAccounts());
  });
  metrics->AddGauge("harecrank_gateway_promises_open", [parts] {
    return static_cast<double>(parts.planner->PromiseCount());
  });
  metrics->AddGauge("harecrank_gateway_promises_made", [parts] {
    return static_cast<double>(parts.planner->PromiseTotals().made);
  });
  metrics->AddGauge("harecrank_gateway_promises_kept", [parts] {
    return static_cast<double>(parts.planner->PromiseTotals().kept);
  });
  metrics->AddGauge("harecrank_gateway_promises_broken", [parts] {
    return static_cast<double>(parts.planner->PromiseTotals().broken);
  });
  metrics->AddGauge("harecrank_gateway_promises_broken_engines_left", [parts] {
    return static_cast<double>(
        parts.planner->PromiseTotals().broken_engines_left);
  });
  metrics->AddGauge(
      "harecrank_gateway_promises_broken_nearer_deadline", [parts] {
        return static_cast<double>(
            parts.planner->PromiseTotals().broken_nearer_deadline);
      });
  metrics->AddGauge("harecrank_gateway_planned_starts", [parts] {
    return static_cast<double>(parts.planner->NextStarts().size());
  });
  metrics->AddGauge("harecrank_gateway_planned_ahead", [parts] {
    return static_cast<double>(parts.planner->PlanningTotals().planned_ahead);
  });
  metrics->AddGauge("harecrank_gateway_planned_between", [parts] {
    return static_cast<double>(parts.planner->PlanningTotals().backfilled);
  });
  metrics->AddGauge("harecrank_gateway_planned_no_room", [parts] {
    return static_cast<double>(parts.planner->PlanningTotals().no_room);
  });
  metrics->AddGauge("harecrank_gateway_planner_records_held", [parts] {
    return static_cast<double>(parts.fleet->HeldRecords());
  });
}

// Adds the gauges of the published endpoints and of what limits their use.
void RegisterEndpointGauges(const GatewayParts& parts, Metrics* metrics) {
  metrics->AddGauge("harecrank_gateway_endpoints", [parts] {
    return static_cast<double>(parts.directory->Count());
  });
  metrics->AddGauge("harecrank_gateway_endpoints_missing", [parts] {
    return static_cast<double>(parts.directory->MissingCount());
  });
  metrics->AddGauge("harecrank_gateway_endpoints_cold", [parts] {
    return static_cast<double>(parts.start_limiter->ColdCount());
  });
  metrics->AddGauge("harecrank_gateway_endpoints_limited", [parts] {
    return static_cast<double>(parts.start_limiter->LimitedCount());
  });
  metrics->AddGauge("harecrank_gateway_endpoints_leaving", [parts] {
    return static_cast<double>(parts.directory->Leaving().size());
  });
  metrics->AddGauge("harecrank_gateway_endpoints_resting", [parts] {
    return static_cast<double>(parts.start_limiter->BackoffCount());
  });
  metrics->AddGauge("harecrank_gateway_data_centres_closed", [parts] {
    return static_cast<double>(parts.directory->Drained().Count());
  });
  metrics->AddGauge("harecrank_gateway_closed_endpoints_busy", [parts] {
    return static_cast<double>(parts.updater->BusyDrainedCount(*parts.loads));
  });
}

// Returns the delays of the first planned starts, in milliseconds.
nlohmann::json NextStartsOf(const Planner& planner) {
  constexpr std::size_t kMaxListed = 10;
  nlohmann::json starts = nlohmann::json::array();
  for (const Millis delay : planner.NextStarts()) {
    if (starts.size() == kMaxListed) {
      break;
    }
    starts.push_back(delay.count());
  }
  return starts;
}

}  // namespace

void RegisterGauges(const GatewayParts& parts, Metrics* metrics) {
  RegisterPlannerGauges(parts, metrics);
  RegisterEndpointGauges(parts, metrics);
  RegisterStandingGauges(parts, metrics);
  metrics->AddGauge("harecrank_gateway_configuration_version", [parts] {
    const auto table = parts.routing->InForce();
    return table == nullptr ? 0.0 : static_cast<double>(table->Version().value);
  });
  metrics->AddGauge("harecrank_gateway_unknown_regions", [parts] {
    return static_cast<double>(parts.region_reporter->Unknown().size());
  });
  metrics->AddGauge("harecrank_gateway_fleet_size", [parts] {
    return static_cast<double>(parts.membership->Size().MaxHosts().value_or(0));
  });
  metrics->AddGauge("harecrank_gateway_source_well", [parts] {
    return parts.store_sync->HasFreshData() ? 1.0 : 0.0;
  });
  metrics->AddGauge("harecrank_gateway_behind_ms", [parts] {
    return static_cast<double>(parts.fleet->Progress().BehindFor().count());
  });
  metrics->AddGauge("harecrank_gateway_copies_under_way", [parts] {
    return static_cast<double>(parts.snapshots->ActiveTransfers());
  });
  metrics->AddGauge("harecrank_gateway_waiting", [parts] {
    return static_cast<double>(parts.queue->Count());
  });
  metrics->AddGauge("harecrank_gateway_hosts_alive", [parts] {
    return static_cast<double>(parts.membership->AliveHosts());
  });
  metrics->AddGauge("harecrank_gateway_idle_connections", [parts] {
    return static_cast<double>(parts.connections->IdleCount());
  });
  metrics->AddGauge("harecrank_gateway_callers", [parts] {
    return static_cast<double>(parts.callers->Count());
  });
  metrics->AddGauge("harecrank_gateway_requests_suspect", [parts] {
    return static_cast<double>(parts.quarantine->Count());
  });
  metrics->AddGauge("harecrank_gateway_requests_held", [parts] {
    return static_cast<double>(parts.quarantine->QuarantinedCount());
  });
  metrics->AddGauge("harecrank_gateway_parts_held", [parts] {
    return static_cast<double>(parts.prompt_parts->HeldCount());
  });
  metrics->AddGauge("harecrank_gateway_part_crashes", [parts] {
    return static_cast<double>(parts.prompt_parts->Crashes().All().size());
  });
  metrics->AddGauge("harecrank_gateway_log_lines_dropped", [parts] {
    return static_cast<double>(parts.log->Dropped());
  });
}

nlohmann::json DumpOf(const GatewayParts& parts) {
  const auto planner = parts.membership->Planner();
  const auto table = parts.routing->InForce();
  Heartbeat heartbeat;
  parts.store_sync->Describe(&heartbeat);
  return {
      {"configuration", table == nullptr ? 0 : table->Version().value},
      {"regions", DescribeRegions(parts)},
      {"source",
       {{"well", heartbeat.store_data_fresh},
        {"at", heartbeat.known_up_to.value},
        {"age_ms", heartbeat.store_data_age.count()},
        {"behind_ms", parts.fleet->Progress().BehindFor().count()},
        {"lacks_configuration", parts.fleet->Progress().LacksConfiguration()},
        {"reads", heartbeat.poll_state != PollState::kNone}}},
      {"fleet",
       {{"planner", planner.value_or(HostAddress{}).value},
        {"plans", parts.fleet->IsPlanner()},
        {"records_held", parts.fleet->HeldRecords()},
        {"alive", parts.membership->AliveHosts()},
        {"size", parts.membership->Size().MaxHosts().value_or(0)}}},
      {"endpoints",
       {{"known", parts.directory->Count()},
        {"leaving", Names(parts.directory->Leaving())},
        {"missing", parts.directory->MissingCount()},
        {"avoided", parts.health->Avoided().size()},
        {"engines_not_sound", UnsoundEngines(*parts.health)}}},
      {"requests",
       {{"waiting", parts.queue->Count()},
        {"waiting_at_planner", parts.planner->WaitingCount()},
        {"promised", parts.planner->PromiseCount()},
        {"planned_starts", parts.planner->NextStarts().size()},
        {"next_starts_ms", NextStartsOf(*parts.planner)},
        {"held", parts.quarantine->QuarantinedCount()},
        {"parts_held", HeldParts(*parts.prompt_parts)}}},
      {"copies_under_way", parts.snapshots->ActiveTransfers()},
      {"bounds", parts.start_limiter->Describe()},
      {"repeats", DescribeRepeats(*parts.budgets)}};
}

}  // namespace harecrank
