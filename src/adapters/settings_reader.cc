#include "src/adapters/settings_reader.h"

#include <sstream>

namespace harecrank {
namespace {

using nlohmann::json;

// Maximum duration in a settings file: one day.
constexpr std::int64_t kMaxMillis = 24LL * 3600 * 1000;

}  // namespace

void SettingsReader::ReadString(const char* key, Presence presence,
                                std::string* value) {
  if (const json* found = Find(key, presence, "a string")) {
    if (!found->is_string()) {
      AddProblem(key, found->dump(), "a string");
      return;
    }
    found->get_to(*value);
  }
}

void SettingsReader::ReadId(const char* key, std::string* value) {
  ReadString(key, Presence::kRequired, value);
  if (object_.contains(key) && !IsObjectId(*value)) {
    AddProblem(key, "'" + *value + "'", "1 to 64 letters, digits, '-' and '_'");
  }
}

void SettingsReader::ReadAddress(const char* key, Presence presence,
                                 std::string* value) {
  ReadString(key, presence, value);
  if (!value->empty() && !IsIpAddressAndPort(*value)) {
    AddProblem(key, "'" + *value + "'",
               "an IP number and port, as 10.0.0.1:8080");
  }
}

void SettingsReader::ReadNumber(const char* key, double min, double max,
                                double* value) {
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

void SettingsReader::ReadBool(const char* key, bool* value) {
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

void SettingsReader::ReadSeconds(const char* key, Millis* value) {
  constexpr double kMillisPerSecond = 1000;
  double seconds = static_cast<double>(value->count()) / kMillisPerSecond;
  ReadNumber(key, 0, static_cast<double>(kMaxMillis) / kMillisPerSecond,
             &seconds);
  *value = Millis(static_cast<std::int64_t>(seconds * kMillisPerSecond));
}

void SettingsReader::ReadMillis(const char* key, Millis* value) {
  std::int64_t count = value->count();
  ReadInteger(key, 1, kMaxMillis, &count);
  *value = Millis(count);
}

void SettingsReader::ReadEnum(const char* key,
                              const std::vector<std::string>& choices,
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

void SettingsReader::ReadStrings(const char* key,
                                 std::vector<std::string>* values) {
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

std::vector<std::string> SettingsReader::Keys() const {
  std::vector<std::string> keys;
  for (const auto& item : object_.items()) {
    keys.push_back(item.key());
  }
  return keys;
}

void SettingsReader::AddConflict(const char* key, const std::string& allowed) {
  AddProblem(key, object_.at(key).dump(), allowed);
}

std::vector<ConfigProblem> SettingsReader::Finish() {
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

const json* SettingsReader::Find(const char* key, Presence presence,
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

void SettingsReader::AddProblem(const std::string& path, std::string found,
                                std::string allowed) {
  problems_.push_back(
      ConfigProblem{path, std::move(found), std::move(allowed)});
}

}  // namespace harecrank
