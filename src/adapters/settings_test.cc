#include "src/adapters/settings.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

constexpr char kValid[] = R"({
  "node_id": "e1", "data_centre": "pasig",
  "operations_address": "127.0.0.1:1", "config_service": "127.0.0.1:2",
  "callers_address": "127.0.0.1:3"})";

// Returns the error message for entry settings `text`, or "" if they are valid.
std::string ErrorOf(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(ParseEntrySettings(text));
        return std::string();
      },
      [](const SettingsError& error) { return Describe(error); },
      [] { return std::string("unexpected error type"); });
}

// Returns the valid settings with `from` replaced by `to`.
std::string With(const std::string& from, const std::string& to) {
  std::string text = kValid;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST_CASE("Valid settings are accepted") { CHECK(ErrorOf(kValid).empty()); }

// Returns the error message for gateway settings `text`, or "" if they are
// valid.
std::string GatewayErrorOf(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(ParseGatewaySettings(text));
        return std::string();
      },
      [](const SettingsError& error) { return Describe(error); },
      [] { return std::string("unexpected error type"); });
}

TEST_CASE("Gateway settings are checked for types and limits") {
  const std::string valid_prefix = R"({
    "node_id": "g1", "data_centre": "pasig",
    "callers_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2",
    "operations_address": "127.0.0.1:3", "peers_address": "127.0.0.1:4",
    "directory_service": "127.0.0.1:5")";
  CHECK(GatewayErrorOf(valid_prefix +
                       R"(, "repeat_ratio": 0.2, "stop_limit_s": 8})")
            .empty());
  CHECK(GatewayErrorOf(valid_prefix + R"(, "leave_limit_ms": 2000})").empty());
  CHECK(GatewayErrorOf(valid_prefix + R"(, "leave_limit_ms": "soon"})")
            .find("leave_limit_ms: found") != std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix +
                       R"(, "cold_overage": 1.5, "cold_slack": 5})")
            .empty());
  CHECK(GatewayErrorOf(valid_prefix + R"(, "cold_overage": -1})")
            .find("cold_overage: found -1; allowed: a number from 0 to 1000") !=
        std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "cold_slack": "5"})")
            .find("cold_slack: found \"5\"") != std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "cold_slack": 5})")
            .find("cold_slack: found 5; allowed: 0, or cold_overage above 0") !=
        std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "repeat_ratio": 2})")
            .find("repeat_ratio: found 2; allowed: a number from 0 to 1") !=
        std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "descriptors": "many"})")
            .find("descriptors") != std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "placement": {"packed_writers": 3,
                                 "bound_late_parts": false}})")
            .empty());
  CHECK(GatewayErrorOf(valid_prefix + R"(, "placement": {"hurry_share": 7}})")
            .find("placement.hurry_share: found 7; allowed: a number from 0 "
                  "to 1") != std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix +
                       R"(, "placement": {"bound_late_parts": 1}})")
            .find("placement.bound_late_parts: found 1; allowed: true or "
                  "false") != std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix +
                       R"(, "placement": {"long_placing": "reserve_ahead"}})")
            .empty());
  CHECK(GatewayErrorOf(valid_prefix +
                       R"(, "placement": {"long_placing": "later"}})")
            .find("placement.long_placing: found 'later'; allowed: ") !=
        std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "planner_standbys": 2})").empty());
  CHECK(GatewayErrorOf(valid_prefix + R"(, "planner_standbys": 3})")
            .find("planner_standbys: found 3") != std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "placement": {"packed": 3}})")
            .find("placement.packed: found an unknown key") !=
        std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "placement": []})")
            .find("an object") != std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix +
                       R"(, "regions": {"n1": "north", "n2": "north"}})")
            .empty());
  CHECK(GatewayErrorOf(valid_prefix + R"(, "regions": {}})").empty());
  CHECK(GatewayErrorOf(valid_prefix + R"(, "regions": {"n1": 3}})")
            .find("regions.n1: found 3; allowed: a string") !=
        std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "regions": {"n1": ""}})")
            .find("regions.n1: found ''; allowed: 1 to 64 letters") !=
        std::string::npos);
  CHECK(GatewayErrorOf(valid_prefix + R"(, "regions": ["north"]})")
            .find("regions: found [\"north\"]; allowed: an object") !=
        std::string::npos);
  CHECK(GatewayErrorOf("{}").find("peers_address: found nothing") !=
        std::string::npos);
}

TEST_CASE("Each problem is reported with its key and the allowed values") {
  struct Case {
    std::string text;
    std::string expected;
  };
  const std::vector<Case> cases{
      {With("\"node_id\"", "\"node_idd\""), "node_idd: found an unknown key"},
      {With("\"node_id\": \"e1\", ", ""), "node_id: found nothing"},
      {With("127.0.0.1:3", "localhost:3"),
       "callers_address: found 'localhost:3'; allowed: an IP number and port"},
      {With("\"e1\",", "\"e1\", \"max_requests\": \"many\","),
       "max_requests: found \"many\"; allowed: a whole number"},
      {With("\"e1\",", "\"e1\", \"drain_limit_ms\": 0,"), "drain_limit_ms"},
      {With("\"e1\",", "\"e1\", \"drain_limit\": \"5s\","),
       "drain_limit: found an unknown key"},
      {With("\"e1\",", "\"e1\", \"routing_policy\": \"best\","),
       "allowed: 'random', 'least_loaded', 'length_aware'"},
      {"[]", "no JSON object"},
      {"{", "cannot be read"}};
  for (const Case& test_case : cases) {
    const std::string error = ErrorOf(test_case.text);
    INFO("expected '" << test_case.expected << "' and saw '" << error << "'");
    CHECK(error.find(test_case.expected) != std::string::npos);
  }
}

TEST_CASE("All problems are reported at once") {
  const std::string error = ErrorOf("{}");
  CHECK(error.find("node_id") != std::string::npos);
  CHECK(error.find("callers_address") != std::string::npos);
}

}  // namespace
}  // namespace harecrank
