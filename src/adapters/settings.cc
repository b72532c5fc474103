#include "src/adapters/settings.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "src/adapters/placement_settings.h"
#include "src/adapters/settings_reader.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

// Upper limits of the values in a settings file.
constexpr std::int64_t kMaxThreads = 4096;
constexpr std::int64_t kMaxQueue = 1000000;
constexpr std::int64_t kMaxBodyBytes = 64LL << 20;
constexpr std::int64_t kMaxBodyMemoryBytes = 64LL << 30;
constexpr double kMaxRepeats = 1e6;
constexpr double kMaxCpuShare = 1024;
constexpr double kMaxColdOverage = 1000;
constexpr double kMaxColdSlack = 1e6;
constexpr std::int64_t kMaxDescriptors = 1LL << 24;
constexpr std::int64_t kMaxMemoryMb = 1LL << 24;
constexpr int kMaxPlannerStandbys = 2;

struct Describer {
  std::string operator()(const UnreadableSettings& error) const {
    return "the settings cannot be read: " + error.reason;
  }
  std::string operator()(const InvalidSettings& error) const {
    std::string text = "the settings are invalid:";
    for (const ConfigProblem& problem : error.problems) {
      text += "\n  " + Describe(problem);
    }
    return text;
  }
};

void ReadNodeSettings(SettingsReader* reader, NodeSettings* node) {
  reader->ReadId("node_id", &node->node_id.value);
  reader->ReadId("data_centre", &node->data_centre.value);
  reader->ReadAddress("operations_address", Presence::kRequired,
                      &node->operations_address);
  reader->ReadAddress("config_service", Presence::kRequired,
                      &node->config_service);
  reader->ReadAddress("host_list", Presence::kOptional, &node->host_list);
  reader->ReadStrings("seed_peers", &node->seed_peers);
  reader->ReadStrings("operator_keys_sha256", &node->operator_keys_sha256);
  reader->ReadMillis("compare_interval_ms", &node->compare_interval);
  reader->ReadEnum("log_level", {"debug", "info", "warn", "error"},
                   &node->log_level);
}

// Reads the region of each data centre.
void ReadRegions(SettingsReader* reader,
                 std::map<DataCentreId, RegionId>* regions) {
  reader->ReadSection("regions", [regions](SettingsReader* section) {
    for (const std::string& data_centre : section->Keys()) {
      RegionId region;
      section->ReadId(data_centre.c_str(), &region.value);
      regions->emplace(DataCentreId{data_centre}, std::move(region));
    }
  });
}

leaf::result<json> ParseObject(const std::string& text) {
  constexpr bool kThrow = true;
  constexpr bool kComments = true;
  try {
    json object = json::parse(text, nullptr, kThrow, kComments);
    if (object.is_object()) {
      return object;
    }
    return leaf::new_error(
        SettingsError{UnreadableSettings{"the file holds no JSON object"}});
  } catch (const json::exception& error) {
    return leaf::new_error(SettingsError{UnreadableSettings{error.what()}});
  }
}

template <typename Settings>
leaf::result<Settings> Finish(SettingsReader* reader, Settings settings) {
  std::vector<ConfigProblem> problems = reader->Finish();
  if (!problems.empty()) {
    return leaf::new_error(SettingsError{InvalidSettings{std::move(problems)}});
  }
  return settings;
}

}  // namespace

std::string Describe(const SettingsError& error) {
  return std::visit(Describer{}, error);
}

leaf::result<EntrySettings> ParseEntrySettings(const std::string& text) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  SettingsReader reader(object);
  EntrySettings settings;
  ReadNodeSettings(&reader, &settings.node);
  reader.ReadAddress("callers_address", Presence::kRequired,
                     &settings.callers_address);
  reader.ReadInteger("max_requests", 1, kMaxThreads, &settings.max_requests);
  reader.ReadInteger("max_body_bytes", 1, kMaxBodyBytes,
                     &settings.max_body_bytes);
  reader.ReadInteger("body_memory_bytes", 1, kMaxBodyMemoryBytes,
                     &settings.body_memory_bytes);
  reader.ReadMillis("head_timeout_ms", &settings.head_timeout);
  reader.ReadEnum("routing_policy", {"random", "least_loaded", "length_aware"},
                  &settings.routing_policy);
  reader.ReadMillis("drain_limit_ms", &settings.drain_limit);
  return Finish(&reader, std::move(settings));
}

leaf::result<SidecarSettings> ParseSidecarSettings(const std::string& text) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  SettingsReader reader(object);
  SidecarSettings settings;
  ReadNodeSettings(&reader, &settings.node);
  reader.ReadAddress("link_address", Presence::kRequired,
                     &settings.link_address);
  reader.ReadAddress("endpoint_address", Presence::kRequired,
                     &settings.endpoint_address);
  reader.ReadInteger("queue_limit", 1, kMaxQueue, &settings.queue_limit);
  reader.ReadInteger("body_memory_bytes", 1, kMaxBodyMemoryBytes,
                     &settings.body_memory_bytes);
  reader.ReadInteger("max_running", 1, kMaxThreads, &settings.max_running);
  reader.ReadMillis("pulse_interval_ms", &settings.pulse_interval);
  reader.ReadMillis("reconcile_interval_ms", &settings.reconcile_interval);
  reader.ReadMillis("weight_load_time_ms", &settings.weight_load_time);
  reader.ReadMillis("drain_limit_ms", &settings.drain_limit);
  return Finish(&reader, std::move(settings));
}

leaf::result<GatewaySettings> ParseGatewaySettings(const std::string& text) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  SettingsReader reader(object);
  GatewaySettings settings;
  reader.ReadId("node_id", &settings.node_id.value);
  reader.ReadId("data_centre", &settings.data_centre.value);
  reader.ReadAddress("callers_address", Presence::kRequired,
                     &settings.callers_address);
  reader.ReadAddress("readiness_address", Presence::kRequired,
                     &settings.readiness_address);
  reader.ReadAddress("operations_address", Presence::kRequired,
                     &settings.operations_address);
  reader.ReadAddress("peers_address", Presence::kRequired,
                     &settings.peers_address);
  reader.ReadAddress("directory_service", Presence::kRequired,
                     &settings.directory_service);
  reader.ReadStrings("seed_peers", &settings.seed_peers);
  ReadRegions(&reader, &settings.regions);
  reader.ReadBool("first_start", &settings.first_start);
  reader.ReadNumber("repeat_ratio", 0, 1, &settings.repeat_limit.ratio);
  reader.ReadNumber("repeat_allowance", 0, kMaxRepeats,
                    &settings.repeat_limit.allowance);
  reader.ReadSeconds("repeat_window_s", &settings.repeat_limit.window);
  reader.ReadSeconds("stop_limit_s", &settings.stop_limit);
  reader.ReadMillis("leave_limit_ms", &settings.leave_limit);
  reader.ReadInteger("descriptors", 1, kMaxDescriptors, &settings.descriptors);
  reader.ReadInteger("memory_mb", 0, kMaxMemoryMb, &settings.memory_mb);
  reader.ReadNumber("power", 0, kMaxCpuShare, &settings.power);
  reader.ReadNumber("cold_overage", 0, kMaxColdOverage,
                    &settings.cold_limit.overage);
  reader.ReadNumber("cold_slack", 0, kMaxColdSlack, &settings.cold_limit.slack);
  if (settings.cold_limit.slack > 0 && settings.cold_limit.overage == 0) {
    reader.AddConflict("cold_slack", "0, or cold_overage above 0");
  }
  reader.ReadInteger("planner_standbys", 0, kMaxPlannerStandbys,
                     &settings.planner_standbys);
  reader.ReadSection("placement", [&settings](SettingsReader* section) {
    ReadPlacementPolicy(section, &settings.placement);
  });
  return Finish(&reader, std::move(settings));
}

}  // namespace harecrank
