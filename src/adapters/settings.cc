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

constexpr std::int64_t kMostMillis = 24LL * 3600 * 1000;
constexpr std::int64_t kMostThreads = 4096;
constexpr std::int64_t kMostQueue = 1000000;
constexpr std::int64_t kMostBytes = 64LL << 20;
constexpr double kMostRepeats = 1e6;
constexpr double kMostPower = 1024;
constexpr double kMostColdOverage = 1000;
constexpr double kMostColdSlack = 1e6;
constexpr std::int64_t kMostDescriptors = 1LL << 24;

struct Describer {
  std::string operator()(const UnreadableSettings& error) const {
    return "the settings cannot be read: " + error.reason;
  }
  std::string operator()(const InvalidSettings& error) const {
    std::string text = "the settings are refused:";
    for (const ConfigProblem& problem : error.problems) {
      text += "\n  " + Describe(problem);
    }
    return text;
  }
};

enum class Need { kRequired, kOptional };

// Takes values out of a JSON object and notes every fault on the way.
class SettingsReader {
 public:
  explicit SettingsReader(const json& object) : object_(object) {}

  void Text(const char* key, Need need, std::string* value) {
    if (const json* found = Find(key, need, "a string")) {
      if (!found->is_string()) {
        Add(key, found->dump(), "a string");
        return;
      }
      found->get_to(*value);
    }
  }

  void Id(const char* key, std::string* value) {
    Text(key, Need::kRequired, value);
    if (object_.contains(key) && !IsObjectId(*value)) {
      Add(key, "'" + *value + "'", "1 to 64 letters, digits, '-' and '_'");
    }
  }

  void Address(const char* key, Need need, std::string* value) {
    Text(key, need, value);
    if (!value->empty() && !IsIpAddressAndPort(*value)) {
      Add(key, "'" + *value + "'", "an IP number and port, as 10.0.0.1:8080");
    }
  }

  template <typename Number>
  void Count(const char* key, std::int64_t least, std::int64_t most,
             Number* value) {
    const std::string allowed = "a whole number from " + std::to_string(least) +
                                " to " + std::to_string(most);
    const json* found = Find(key, Need::kOptional, allowed);
    if (found == nullptr) {
      return;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < least ||
        found->get<std::int64_t>() > most) {
      Add(key, found->dump(), allowed);
      return;
    }
    *value = static_cast<Number>(found->get<std::int64_t>());
  }

  // A number with a fraction, in the unit that the key names.
  void Fraction(const char* key, double least, double most, double* value) {
    std::ostringstream allowed;
    allowed << "a number from " << least << " to " << most;
    const json* found = Find(key, Need::kOptional, allowed.str());
    if (found == nullptr) {
      return;
    }
    if (!found->is_number() || found->get<double>() < least ||
        found->get<double>() > most) {
      Add(key, found->dump(), allowed.str());
      return;
    }
    *value = found->get<double>();
  }

  void Switch(const char* key, bool* value) {
    const json* found = Find(key, Need::kOptional, "true or false");
    if (found == nullptr) {
      return;
    }
    if (!found->is_boolean()) {
      Add(key, found->dump(), "true or false");
      return;
    }
    *value = found->get<bool>();
  }

  // An object of its own: `read` reads it with a reader of its own.
  template <typename Read>
  void Section(const char* key, Read read) {
    const json* found = Find(key, Need::kOptional, "an object");
    if (found == nullptr) {
      return;
    }
    if (!found->is_object()) {
      Add(key, found->dump(), "an object");
      return;
    }
    SettingsReader section(*found);
    read(&section);
    for (ConfigProblem& problem : section.Finish()) {
      problem.path = std::string(key) + "." + problem.path;
      problems_.push_back(std::move(problem));
    }
  }

  // A duration in seconds; the unit is part of the key: "..._s".
  void Seconds(const char* key, Millis* value) {
    constexpr double kMillisPerSecond = 1000;
    double seconds = static_cast<double>(value->count()) / kMillisPerSecond;
    Fraction(key, 0, static_cast<double>(kMostMillis) / kMillisPerSecond,
             &seconds);
    *value = Millis(static_cast<std::int64_t>(seconds * kMillisPerSecond));
  }

  // The unit is part of the key: "..._ms".
  void Duration(const char* key, Millis* value) {
    std::int64_t count = value->count();
    Count(key, 1, kMostMillis, &count);
    *value = Millis(count);
  }

  void OneOf(const char* key, const std::vector<std::string>& words,
             std::string* value) {
    Text(key, Need::kOptional, value);
    std::string allowed;
    for (const std::string& word : words) {
      if (word == *value) {
        return;
      }
      allowed += (allowed.empty() ? "'" : ", '") + word + "'";
    }
    Add(key, "'" + *value + "'", allowed);
  }

  void Texts(const char* key, std::vector<std::string>* values) {
    const json* found = Find(key, Need::kOptional, "a list of strings");
    if (found == nullptr) {
      return;
    }
    for (const json& item : *found) {
      if (!item.is_string()) {
        Add(key, item.dump(), "a list of strings");
        return;
      }
      values->push_back(item.get<std::string>());
    }
  }

  // Notes that the value of `key`, which is there, does not go with others.
  void Refuse(const char* key, const std::string& allowed) {
    Add(key, object_.at(key).dump(), allowed);
  }

  // Notes every key that nothing asked for, and returns all faults.
  std::vector<ConfigProblem> Finish() {
    for (const auto& item : object_.items()) {
      if (known_.count(item.key()) == 0) {
        std::string allowed;
        for (const std::string& key : known_) {
          allowed += (allowed.empty() ? "" : ", ") + key;
        }
        Add(item.key(), "an unknown key", allowed);
      }
    }
    return std::move(problems_);
  }

 private:
  const json* Find(const char* key, Need need, const std::string& allowed) {
    known_.insert(key);
    const auto found = object_.find(key);
    if (found != object_.end()) {
      return &*found;
    }
    if (need == Need::kRequired) {
      Add(key, "nothing", allowed);
    }
    return nullptr;
  }

  void Add(const std::string& path, std::string found, std::string allowed) {
    problems_.push_back(
        ConfigProblem{path, std::move(found), std::move(allowed)});
  }

  const json& object_;
  std::set<std::string> known_;
  std::vector<ConfigProblem> problems_;
};

void ReadNode(SettingsReader* reader, NodeSettings* node) {
  reader->Id("node_id", &node->node_id.value);
  reader->Id("data_centre", &node->data_centre.value);
  reader->Address("operations_address", Need::kRequired,
                  &node->operations_address);
  reader->Address("config_service", Need::kRequired, &node->config_service);
  reader->Address("host_list", Need::kOptional, &node->host_list);
  reader->Texts("seed_peers", &node->seed_peers);
  reader->Texts("operator_keys_sha256", &node->operator_keys_sha256);
  reader->Duration("compare_interval_ms", &node->compare_interval);
  reader->OneOf("log_level", {"debug", "info", "warn", "error"},
                &node->log_level);
}

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

void ReadOrder(SettingsReader* reader, const char* key, QueueOrder* order) {
  const std::vector<QueueOrder> orders = {LeastSlackFirst{}, MostSlackFirst{},
                                          LeastWorkFirst{}};
  std::vector<std::string> names;
  names.reserve(orders.size());
  for (const QueueOrder& one : orders) {
    names.push_back(std::visit(OrderName{}, one));
  }
  std::string name = std::visit(OrderName{}, *order);
  reader->OneOf(key, names, &name);
  const auto found = std::find(names.begin(), names.end(), name);
  if (found != names.end()) {
    *order = orders[static_cast<std::size_t>(found - names.begin())];
  }
}

void ReadPlacement(SettingsReader* reader, PlacementPolicy* policy) {
  // Shares of a gap or a target: beyond a few of them nothing is in time.
  constexpr double kMostShare = 4;
  // Requests on one engine, or engines.
  constexpr int kMostOfAnEngine = 64;
  // Milliseconds.
  constexpr double kMostPatience = 600000;
  reader->Fraction("short_share_of_gap", 0, kMostShare,
                   &policy->short_share_of_gap);
  reader->Fraction("part_share_of_gap", 0, kMostShare,
                   &policy->part_share_of_gap);
  reader->Fraction("pause_share_of_gap", 0, kMostShare,
                   &policy->pause_share_of_gap);
  reader->Fraction("open_share_of_part", 0, kMostShare,
                   &policy->open_share_of_part);
  reader->Fraction("part_stretch", 1, kMostOfAnEngine, &policy->part_stretch);
  reader->Fraction("part_share_of_target", 0, kMostShare,
                   &policy->part_share_of_target);
  reader->Fraction("hurry_share", 0, 1, &policy->hurry_share);
  reader->Fraction("time_share_used", 0, 1, &policy->time_share_used);
  reader->Fraction("packed_writers", 1, kMostOfAnEngine,
                   &policy->packed_writers);
  reader->Fraction("short_share_of_slots", 0, 1, &policy->short_share_of_slots);
  reader->Fraction("spare_short", 0, kMostOfAnEngine, &policy->spare_short);
  reader->Fraction("short_reading_share", 0.01, kMostOfAnEngine,
                   &policy->short_reading_share);
  reader->Fraction("unseen_factor", 0, kMostOfAnEngine, &policy->unseen_factor);
  reader->Fraction("beyond_short_share", 0, kMostShare,
                   &policy->beyond_short_share);
  reader->Switch("short_waits", &policy->short_waits);
  ReadOrder(reader, "short_order", &policy->short_order);
  ReadOrder(reader, "long_order", &policy->long_order);
  reader->Fraction("late_wait_share", 0, kMostOfAnEngine,
                   &policy->late_wait_share);
  reader->Fraction("short_retry_after_share", 0, kMostOfAnEngine,
                   &policy->short_retry_after_share);
  reader->Fraction("late_reserve_share", 0, kMostShare,
                   &policy->late_reserve_share);
  reader->Switch("bound_late_parts", &policy->bound_late_parts);
  reader->Count("tried", 1, kMostOfAnEngine, &policy->tried);
  reader->Switch("refuses_by_precedent", &policy->refuses_by_precedent);
  reader->Switch("shares_by_account", &policy->shares_by_account);
  reader->Fraction("retry_after_share", 0, kMostShare,
                   &policy->retry_after_share);
  reader->Switch("foresees_room", &policy->foresees_room);
  reader->Fraction("patience_targets", 1, kMostOfAnEngine,
                   &policy->patience_targets);
  reader->Fraction("patience_gaps", 0, kMostOfAnEngine, &policy->patience_gaps);
  reader->Fraction("patience_ms", 0, kMostPatience, &policy->patience_ms);
  reader->Fraction("return_share", 0, 1, &policy->return_share);
  reader->Fraction("oversize_wait_share", 0, kMostShare,
                   &policy->oversize_wait_share);
}

leaf::result<json> ReadObject(const std::string& text) {
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
  BOOST_LEAF_AUTO(object, ReadObject(text));
  SettingsReader reader(object);
  EntrySettings settings;
  ReadNode(&reader, &settings.node);
  reader.Address("callers_address", Need::kRequired, &settings.callers_address);
  reader.Count("max_requests", 1, kMostThreads, &settings.max_requests);
  reader.Count("max_body_bytes", 1, kMostBytes, &settings.max_body_bytes);
  reader.OneOf("routing_policy", {"random", "least_loaded", "length_aware"},
               &settings.routing_policy);
  reader.Duration("drain_limit_ms", &settings.drain_limit);
  return Finish(&reader, std::move(settings));
}

leaf::result<SidecarSettings> ParseSidecarSettings(const std::string& text) {
  BOOST_LEAF_AUTO(object, ReadObject(text));
  SettingsReader reader(object);
  SidecarSettings settings;
  ReadNode(&reader, &settings.node);
  reader.Address("link_address", Need::kRequired, &settings.link_address);
  reader.Address("endpoint_address", Need::kRequired,
                 &settings.endpoint_address);
  reader.Count("queue_limit", 1, kMostQueue, &settings.queue_limit);
  reader.Count("max_running", 1, kMostThreads, &settings.max_running);
  reader.Duration("pulse_interval_ms", &settings.pulse_interval);
  reader.Duration("reconcile_interval_ms", &settings.reconcile_interval);
  reader.Duration("weight_load_time_ms", &settings.weight_load_time);
  reader.Duration("drain_limit_ms", &settings.drain_limit);
  return Finish(&reader, std::move(settings));
}

leaf::result<GatewaySettings> ParseGatewaySettings(const std::string& text) {
  BOOST_LEAF_AUTO(object, ReadObject(text));
  SettingsReader reader(object);
  GatewaySettings settings;
  reader.Id("node_id", &settings.node_id.value);
  reader.Id("data_centre", &settings.data_centre.value);
  reader.Address("callers_address", Need::kRequired, &settings.callers_address);
  reader.Address("readiness_address", Need::kRequired,
                 &settings.readiness_address);
  reader.Address("operations_address", Need::kRequired,
                 &settings.operations_address);
  reader.Address("peers_address", Need::kRequired, &settings.peers_address);
  reader.Address("directory_service", Need::kRequired,
                 &settings.directory_service);
  reader.Texts("seed_peers", &settings.seed_peers);
  reader.Fraction("repeat_ratio", 0, 1, &settings.repeat_limit.ratio);
  reader.Fraction("repeat_allowance", 0, kMostRepeats,
                  &settings.repeat_limit.allowance);
  reader.Seconds("repeat_window_s", &settings.repeat_limit.window);
  reader.Seconds("stop_limit_s", &settings.stop_limit);
  reader.Duration("leave_limit_ms", &settings.leave_limit);
  reader.Count("descriptors", 1, kMostDescriptors, &settings.descriptors);
  reader.Fraction("power", 0, kMostPower, &settings.power);
  reader.Fraction("cold_overage", 0, kMostColdOverage,
                  &settings.cold_limit.overage);
  reader.Fraction("cold_slack", 0, kMostColdSlack, &settings.cold_limit.slack);
  if (settings.cold_limit.slack > 0 && settings.cold_limit.overage == 0) {
    reader.Refuse("cold_slack", "0, or cold_overage above 0");
  }
  reader.Section("placement", [&settings](SettingsReader* section) {
    ReadPlacement(section, &settings.placement);
  });
  return Finish(&reader, std::move(settings));
}

}  // namespace harecrank
