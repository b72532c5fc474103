#include "src/adapters/settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

// Upper limits of the values in a settings file. The maximum duration is one
// day.
constexpr std::int64_t kMaxMillis = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxThreads = 4096;
constexpr std::int64_t kMaxQueue = 1000000;
constexpr std::int64_t kMaxBodyBytes = 64LL << 20;
constexpr double kMaxRepeats = 1e6;
constexpr double kMaxCpuShare = 1024;
constexpr double kMaxColdOverage = 1000;
constexpr double kMaxColdSlack = 1e6;
constexpr std::int64_t kMaxDescriptors = 1LL << 24;

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

// Whether a key must be present in the settings.
enum class Presence { kRequired, kOptional };

// Reads the values of one JSON object of the settings and collects all
// problems.
class SettingsReader {
 public:
  explicit SettingsReader(const json& object) : object_(object) {}

  void ReadString(const char* key, Presence presence, std::string* value) {
    if (const json* found = Find(key, presence, "a string")) {
      if (!found->is_string()) {
        AddProblem(key, found->dump(), "a string");
        return;
      }
      found->get_to(*value);
    }
  }

  void ReadId(const char* key, std::string* value) {
    ReadString(key, Presence::kRequired, value);
    if (object_.contains(key) && !IsObjectId(*value)) {
      AddProblem(key, "'" + *value + "'",
                 "1 to 64 letters, digits, '-' and '_'");
    }
  }

  void ReadAddress(const char* key, Presence presence, std::string* value) {
    ReadString(key, presence, value);
    if (!value->empty() && !IsIpAddressAndPort(*value)) {
      AddProblem(key, "'" + *value + "'",
                 "an IP number and port, as 10.0.0.1:8080");
    }
  }

  template <typename Number>
  void ReadInteger(const char* key, std::int64_t min, std::int64_t max,
                   Number* value) {
    const std::string allowed = "a whole number from " + std::to_string(min) +
                                " to " + std::to_string(max);
    const json* found = Find(key, Presence::kOptional, allowed);
    if (found == nullptr) {
      return;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < min ||
        found->get<std::int64_t>() > max) {
      AddProblem(key, found->dump(), allowed);
      return;
    }
    *value = static_cast<Number>(found->get<std::int64_t>());
  }

  // Reads a floating-point number in the unit that the key names.
  void ReadNumber(const char* key, double min, double max, double* value) {
    std::ostringstream allowed;
    allowed << "a number from " << min << " to " << max;
    const json* found = Find(key, Presence::kOptional, allowed.str());
    if (found == nullptr) {
      return;
    }
    if (!found->is_number() || found->get<double>() < min ||
        found->get<double>() > max) {
      AddProblem(key, found->dump(), allowed.str());
      return;
    }
    *value = found->get<double>();
  }

  void ReadBool(const char* key, bool* value) {
    const json* found = Find(key, Presence::kOptional, "true or false");
    if (found == nullptr) {
      return;
    }
    if (!found->is_boolean()) {
      AddProblem(key, found->dump(), "true or false");
      return;
    }
    *value = found->get<bool>();
  }

  // Reads a nested object. `read` is called with a reader for that object.
  template <typename Read>
  void ReadSection(const char* key, Read read) {
    const json* found = Find(key, Presence::kOptional, "an object");
    if (found == nullptr) {
      return;
    }
    if (!found->is_object()) {
      AddProblem(key, found->dump(), "an object");
      return;
    }
    SettingsReader section(*found);
    read(&section);
    for (ConfigProblem& problem : section.Finish()) {
      problem.path = std::string(key) + "." + problem.path;
      problems_.push_back(std::move(problem));
    }
  }

  // Reads a duration in seconds. The key must end with the unit, "_s".
  void ReadSeconds(const char* key, Millis* value) {
    constexpr double kMillisPerSecond = 1000;
    double seconds = static_cast<double>(value->count()) / kMillisPerSecond;
    ReadNumber(key, 0, static_cast<double>(kMaxMillis) / kMillisPerSecond,
               &seconds);
    *value = Millis(static_cast<std::int64_t>(seconds * kMillisPerSecond));
  }

  // Reads a duration in milliseconds. The key must end with the unit, "_ms".
  void ReadMillis(const char* key, Millis* value) {
    std::int64_t count = value->count();
    ReadInteger(key, 1, kMaxMillis, &count);
    *value = Millis(count);
  }

  void ReadEnum(const char* key, const std::vector<std::string>& choices,
                std::string* value) {
    ReadString(key, Presence::kOptional, value);
    std::string allowed;
    for (const std::string& choice : choices) {
      if (choice == *value) {
        return;
      }
      allowed += (allowed.empty() ? "'" : ", '") + choice + "'";
    }
    AddProblem(key, "'" + *value + "'", allowed);
  }

  void ReadStrings(const char* key, std::vector<std::string>* values) {
    const json* found = Find(key, Presence::kOptional, "a list of strings");
    if (found == nullptr) {
      return;
    }
    for (const json& item : *found) {
      if (!item.is_string()) {
        AddProblem(key, item.dump(), "a list of strings");
        return;
      }
      values->push_back(item.get<std::string>());
    }
  }

  // Reports that the value of `key`, which must be present, conflicts with
  // other settings.
  void AddConflict(const char* key, const std::string& allowed) {
    AddProblem(key, object_.at(key).dump(), allowed);
  }

  // Reports all keys that were not read as unknown, and returns all problems.
  // Must be called last.
  std::vector<ConfigProblem> Finish() {
    for (const auto& item : object_.items()) {
      if (read_keys_.count(item.key()) == 0) {
        std::string allowed;
        for (const std::string& key : read_keys_) {
          allowed += (allowed.empty() ? "" : ", ") + key;
        }
        AddProblem(item.key(), "an unknown key", allowed);
      }
    }
    return std::move(problems_);
  }

 private:
  // Returns the value of `key`, or null if it is missing. Reports a required
  // key that is missing.
  const json* Find(const char* key, Presence presence,
                   const std::string& allowed) {
    read_keys_.insert(key);
    const auto found = object_.find(key);
    if (found != object_.end()) {
      return &*found;
    }
    if (presence == Presence::kRequired) {
      AddProblem(key, "nothing", allowed);
    }
    return nullptr;
  }

  void AddProblem(const std::string& path, std::string found,
                  std::string allowed) {
    problems_.push_back(
        ConfigProblem{path, std::move(found), std::move(allowed)});
  }

  const json& object_;
  std::set<std::string> read_keys_;
  std::vector<ConfigProblem> problems_;
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

// Visitor of QueueOrder: returns the name of the order in the settings.
struct OrderName {
  std::string operator()(LeastSlackFirst /*order*/) const {
    return "least_spare";
  }
  std::string operator()(MostSlackFirst /*order*/) const {
    return "most_spare";
  }
  std::string operator()(LeastWorkFirst /*order*/) const {
    return "least_work";
  }
};

// Visitor of LongPlacing: returns its name in the settings.
struct LongPlacingName {
  std::string operator()(WhenEnginesAreFree /*placing*/) const {
    return "when_free";
  }
  std::string operator()(ReserveEnginesAhead /*placing*/) const {
    return "reserve_ahead";
  }
};

// Reads the name of one of the alternatives of `choice`. `alternatives` holds
// one value of each, and `name_of` is the visitor that returns its name.
template <typename Variant, typename NameOf>
void ReadChoice(SettingsReader* reader, const char* key,
                const std::vector<Variant>& alternatives, NameOf name_of,
                Variant* choice) {
  std::vector<std::string> names;
  names.reserve(alternatives.size());
  for (const Variant& candidate : alternatives) {
    names.push_back(std::visit(name_of, candidate));
  }
  std::string name = std::visit(name_of, *choice);
  reader->ReadEnum(key, names, &name);
  const auto found = std::find(names.begin(), names.end(), name);
  if (found != names.end()) {
    *choice = alternatives[static_cast<std::size_t>(found - names.begin())];
  }
}

// Reads the name of a queue order into `order`.
void ReadOrder(SettingsReader* reader, const char* key, QueueOrder* order) {
  ReadChoice<QueueOrder>(
      reader, key, {LeastSlackFirst{}, MostSlackFirst{}, LeastWorkFirst{}},
      OrderName{}, order);
}

void ReadPlacement(SettingsReader* reader, PlacementPolicy* policy) {
  // Upper limit of settings that are a share of an inter-token gap or of a
  // latency target. With a larger share, no request would meet its target.
  constexpr double kMaxShare = 4;
  // Upper limit of settings that are a number of requests on one engine, a
  // number of engines, or a factor.
  constexpr int kMaxPerEngine = 64;
  // Upper limit of patience_ms, in milliseconds.
  constexpr double kMaxCallerTimeoutMs = 600000;
  reader->ReadNumber("short_share_of_gap", 0, kMaxShare,
                     &policy->short_share_of_gap);
  reader->ReadNumber("part_share_of_gap", 0, kMaxShare,
                     &policy->part_share_of_gap);
  reader->ReadNumber("pause_share_of_gap", 0, kMaxShare,
                     &policy->pause_share_of_gap);
  reader->ReadNumber("open_share_of_part", 0, kMaxShare,
                     &policy->open_share_of_part);
  reader->ReadNumber("part_stretch", 1, kMaxPerEngine, &policy->part_stretch);
  reader->ReadNumber("part_share_of_target", 0, kMaxShare,
                     &policy->part_share_of_target);
  reader->ReadNumber("hurry_share", 0, 1, &policy->hurry_share);
  reader->ReadNumber("time_share_used", 0, 1, &policy->time_share_used);
  reader->ReadNumber("packed_writers", 1, kMaxPerEngine,
                     &policy->packed_writers);
  reader->ReadNumber("short_share_of_slots", 0, 1,
                     &policy->short_share_of_slots);
  reader->ReadNumber("spare_short", 0, kMaxPerEngine, &policy->spare_short);
  reader->ReadNumber("short_reading_share", 0.01, kMaxPerEngine,
                     &policy->short_reading_share);
  reader->ReadNumber("unseen_factor", 0, kMaxPerEngine, &policy->unseen_factor);
  reader->ReadNumber("beyond_short_share", 0, kMaxShare,
                     &policy->beyond_short_share);
  reader->ReadBool("short_waits", &policy->short_waits);
  ReadOrder(reader, "short_order", &policy->short_order);
  ReadOrder(reader, "long_order", &policy->long_order);
  ReadChoice<LongPlacing>(reader, "long_placing",
                          {WhenEnginesAreFree{}, ReserveEnginesAhead{}},
                          LongPlacingName{}, &policy->long_placing);
  reader->ReadNumber("late_wait_share", 0, kMaxPerEngine,
                     &policy->late_wait_share);
  reader->ReadNumber("short_retry_after_share", 0, kMaxPerEngine,
                     &policy->short_retry_after_share);
  reader->ReadNumber("late_reserve_share", 0, kMaxShare,
                     &policy->late_reserve_share);
  reader->ReadBool("bound_late_parts", &policy->bound_late_parts);
  reader->ReadInteger("tried", 1, kMaxPerEngine, &policy->tried);
  reader->ReadBool("refuses_by_precedent", &policy->refuses_by_precedent);
  reader->ReadBool("shares_by_account", &policy->shares_by_account);
  reader->ReadBool("group_pace", &policy->group_pace);
  reader->ReadNumber("retry_after_share", 0, kMaxShare,
                     &policy->retry_after_share);
  reader->ReadBool("foresees_room", &policy->foresees_room);
  reader->ReadNumber("patience_targets", 1, kMaxPerEngine,
                     &policy->patience_targets);
  reader->ReadNumber("patience_gaps", 0, kMaxPerEngine, &policy->patience_gaps);
  reader->ReadNumber("patience_ms", 0, kMaxCallerTimeoutMs,
                     &policy->patience_ms);
  reader->ReadNumber("return_share", 0, 1, &policy->return_share);
  reader->ReadNumber("oversize_wait_share", 0, kMaxShare,
                     &policy->oversize_wait_share);
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
  reader.ReadNumber("repeat_ratio", 0, 1, &settings.repeat_limit.ratio);
  reader.ReadNumber("repeat_allowance", 0, kMaxRepeats,
                    &settings.repeat_limit.allowance);
  reader.ReadSeconds("repeat_window_s", &settings.repeat_limit.window);
  reader.ReadSeconds("stop_limit_s", &settings.stop_limit);
  reader.ReadMillis("leave_limit_ms", &settings.leave_limit);
  reader.ReadInteger("descriptors", 1, kMaxDescriptors, &settings.descriptors);
  reader.ReadNumber("power", 0, kMaxCpuShare, &settings.power);
  reader.ReadNumber("cold_overage", 0, kMaxColdOverage,
                    &settings.cold_limit.overage);
  reader.ReadNumber("cold_slack", 0, kMaxColdSlack, &settings.cold_limit.slack);
  if (settings.cold_limit.slack > 0 && settings.cold_limit.overage == 0) {
    reader.AddConflict("cold_slack", "0, or cold_overage above 0");
  }
  reader.ReadSection("placement", [&settings](SettingsReader* section) {
    ReadPlacement(section, &settings.placement);
  });
  return Finish(&reader, std::move(settings));
}

}  // namespace harecrank
