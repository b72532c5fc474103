// Reads the values of a settings file and checks them.

#ifndef HARECRANK_SRC_ADAPTERS_SETTINGS_READER_H_
#define HARECRANK_SRC_ADAPTERS_SETTINGS_READER_H_

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "harecrank/core/document_validator.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Whether a key must be present in the settings.
enum class Presence { kRequired, kOptional };

// Reads the values of one JSON object of the settings and collects all
// problems.
class SettingsReader {
 public:
  // `object` must be a JSON object and outlive the reader.
  explicit SettingsReader(const nlohmann::json& object) : object_(object) {}

  void ReadString(const char* key, Presence presence, std::string* value);
  void ReadId(const char* key, std::string* value);
  void ReadAddress(const char* key, Presence presence, std::string* value);

  template <typename Number>
  void ReadInteger(const char* key, std::int64_t min, std::int64_t max,
                   Number* value) {
    const std::string allowed = "a whole number from " + std::to_string(min) +
                                " to " + std::to_string(max);
    const nlohmann::json* found = Find(key, Presence::kOptional, allowed);
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
  void ReadNumber(const char* key, double min, double max, double* value);
  void ReadBool(const char* key, bool* value);

  // Reads a nested object. `read` is called with a reader for that object.
  template <typename Read>
  void ReadSection(const char* key, Read read) {
    const nlohmann::json* found = Find(key, Presence::kOptional, "an object");
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
  void ReadSeconds(const char* key, Millis* value);
  // Reads a duration in milliseconds. The key must end with the unit, "_ms".
  void ReadMillis(const char* key, Millis* value);
  void ReadEnum(const char* key, const std::vector<std::string>& choices,
                std::string* value);

  // Reads the name of one of the alternatives of `choice`. `alternatives` holds
  // one value of each, and `name_of` is the visitor that returns its name.
  template <typename Variant, typename NameOf>
  void ReadChoice(const char* key, const std::vector<Variant>& alternatives,
                  NameOf name_of, Variant* choice) {
    std::vector<std::string> names;
    names.reserve(alternatives.size());
    for (const Variant& candidate : alternatives) {
      names.push_back(std::visit(name_of, candidate));
    }
    std::string name = std::visit(name_of, *choice);
    ReadEnum(key, names, &name);
    const auto found = std::find(names.begin(), names.end(), name);
    if (found != names.end()) {
      *choice = alternatives[static_cast<std::size_t>(found - names.begin())];
    }
  }

  void ReadStrings(const char* key, std::vector<std::string>* values);

  // Returns all keys of the object, for objects whose keys are ids.
  std::vector<std::string> Keys() const;

  // Reports that the value of `key`, which must be present, conflicts with
  // other settings.
  void AddConflict(const char* key, const std::string& allowed);

  // Reports all keys that were not read as unknown, and returns all problems.
  // Must be called last.
  std::vector<ConfigProblem> Finish();

 private:
  // Returns the value of `key`, or null if it is missing. Reports a required
  // key that is missing.
  const nlohmann::json* Find(const char* key, Presence presence,
                             const std::string& allowed);
  void AddProblem(const std::string& path, std::string found,
                  std::string allowed);

  const nlohmann::json& object_;
  std::set<std::string> read_keys_;
  std::vector<ConfigProblem> problems_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_SETTINGS_READER_H_
