#include "src/entry/endpoint_table.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace harecrank {
namespace {

using nlohmann::json;

// A document with endpoints in two data centres, `near` of them in "here".
// Endpoint e0 is marked as leaving.
std::shared_ptr<const Configuration> MakeConfiguration(int near, int far,
                                                       int subset) {
  json document{{"revision", 1},
                {"models", {{"m", {{"context_tokens", 1000}}}}},
                {"policy",
                 {{"long_weight_percent", 0},
                  {"long_prompt_tokens", 8000},
                  {"subset_size", subset},
                  {"default_time_limit_ms", 1000},
                  {"max_time_limit_ms", 2000},
                  {"ticket_ttl_ms", 1000},
                  {"weight_loads_at_once", 2}}}};
  for (int i = 0; i < near + far; ++i) {
    document["endpoints"]["e" + std::to_string(i)] = {
        {"link_address", "127.0.0.1:" + std::to_string(1000 + i)},
        {"operations_address", "127.0.0.1:1"},
        {"data_centre", i < near ? "here" : "there"},
        {"leaving", i == 0},
        {"engine", {{"models", {"m"}}, {"memory_tokens", 100}}}};
  }
  return Configuration::Parse(document.dump()).value();
}

struct Counts {
  std::size_t near = 0;
  std::size_t far = 0;
  bool has_leaving = false;
};

Counts Count(const std::vector<SubsetEndpoint>& subset) {
  Counts counts;
  for (const SubsetEndpoint& endpoint : subset) {
    (endpoint.far ? counts.far : counts.near) += 1;
    counts.has_leaving |= endpoint.id.value == "e0";
  }
  return counts;
}

TEST_CASE("A subset has local endpoints and a reserve in other data centres") {
  const auto configuration = MakeConfiguration(21, 5, 4);
  for (int i = 0; i < 20; ++i) {
    const EndpointTable table(*configuration, NodeId{std::to_string(i)},
                              DataCentreId{"here"});
    const Counts counts = Count(table.ForModel(ModelId{"m"}));
    INFO("host " << i << " has " << counts.near << " near and " << counts.far
                 << " far");
    CHECK(counts.near == 4);
    CHECK(counts.far >= 2);
    CHECK_FALSE(counts.has_leaving);
  }
}

TEST_CASE("A data centre with too few endpoints uses those of others") {
  const auto configuration = MakeConfiguration(2, 9, 6);
  const EndpointTable table(*configuration, NodeId{"n"}, DataCentreId{"here"});
  const Counts counts = Count(table.ForModel(ModelId{"m"}));
  CHECK(counts.near == 1);
  CHECK(counts.far >= 5);
}

TEST_CASE("The subsets of all hosts together cover every endpoint") {
  const auto configuration = MakeConfiguration(21, 0, 4);
  std::map<std::string, int> uses;
  constexpr int kHosts = 60;
  for (int i = 0; i < kHosts; ++i) {
    const EndpointTable table(*configuration, NodeId{"h" + std::to_string(i)},
                              DataCentreId{"here"});
    for (const SubsetEndpoint& endpoint : table.ForModel(ModelId{"m"})) {
      ++uses[endpoint.id.value];
    }
  }
  CHECK(uses.size() == 20);
}

TEST_CASE("An unknown model or service has no endpoints") {
  const EndpointTable table(*MakeConfiguration(3, 0, 2), NodeId{"n"},
                            DataCentreId{"here"});
  CHECK(table.ForModel(ModelId{"none"}).empty());
  CHECK(table.ForService(ServiceName{"none"}).empty());
}

}  // namespace
}  // namespace harecrank
