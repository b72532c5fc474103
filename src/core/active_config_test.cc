#include "harecrank/core/active_config.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "harecrank/core/change_planner.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

json MakeDocument(int revision, int accounts = 1) {
  json document{{"revision", revision},
                {"policy",
                 {{"long_weight_percent", 50},
                  {"long_prompt_tokens", 8000},
                  {"short_headroom_percent", 10},
                  {"retry_budget_percent", 10},
                  {"subset_size", 8},
                  {"default_time_limit_ms", 1000},
                  {"max_time_limit_ms", 2000},
                  {"ticket_ttl_ms", 1000},
                  {"weight_loads_at_once", 2}}}};
  for (int i = 0; i < accounts; ++i) {
    const std::string digit(1, static_cast<char>('a' + i));
    std::string key;
    for (int j = 0; j < 64; ++j) {
      key += digit;
    }
    document["accounts"]["account-" + digit] = {{"key_sha256", key},
                                                {"weight", 1}};
  }
  return document;
}

// Plans a change of the configuration in force, without publishing it.
v1::PlanResponse Plan(const ActiveConfig& active_config,
                      const v1::PlanRequest& request) {
  const auto base = active_config.InForce();
  return leaf::try_handle_all(
      [&]() -> leaf::result<v1::PlanResponse> {
        return PlanChange(base.get(), active_config.RecentChanges(), request);
      },
      [] { return v1::PlanResponse(); });
}

v1::PlanRequest PutModel(const std::string& id) {
  v1::PlanRequest request;
  request.mutable_put_model()->set_id(id);
  request.mutable_put_model()->mutable_model()->set_context_tokens(1000);
  return request;
}

v1::Change LastChange(const v1::PlanResponse& plan) {
  const json log = json::parse(plan.changes_json());
  const json& last = log["changes"].back();
  v1::Change change;
  change.set_revision(last["revision"].get<std::uint32_t>());
  change.set_base_digest(last["base_digest"].get<std::string>());
  change.set_digest(last["digest"].get<std::string>());
  change.set_patch_json(last["patch_json"].get<std::string>());
  return change;
}

struct Fixture {
  ActiveConfig active_config;

  OfferResult OfferDocument(const json& document) {
    return active_config.OfferDocument(document.dump(), ConfigSource::kService);
  }
};

TEST_CASE_METHOD(Fixture, "A higher revision comes into force") {
  CHECK(OfferDocument(MakeDocument(1)) == OfferResult::kAdopted);
  CHECK(OfferDocument(MakeDocument(5)) == OfferResult::kAdopted);
  CHECK(active_config.InForce()->GetRevision().value == 5);
}

TEST_CASE_METHOD(Fixture, "A lower revision is rejected") {
  OfferDocument(MakeDocument(5));
  CHECK(OfferDocument(MakeDocument(4)) == OfferResult::kOlder);
  CHECK(active_config.InForce()->GetRevision().value == 5);
}

TEST_CASE_METHOD(
    Fixture,
    "Two documents with the same revision are reported as a conflict") {
  OfferDocument(MakeDocument(5));
  CHECK(OfferDocument(MakeDocument(5, 2)) == OfferResult::kConflict);
  CHECK(active_config.InForce()->GetDocument().accounts().size() == 1);
  CHECK(active_config.State().conflicts == 1);
  CHECK_FALSE(active_config.State().last_fault.empty());
}

TEST_CASE_METHOD(Fixture, "A conflict is resolved by a higher revision") {
  OfferDocument(MakeDocument(5));
  OfferDocument(MakeDocument(5, 2));
  CHECK(OfferDocument(MakeDocument(6, 2)) == OfferResult::kAdopted);
}

TEST_CASE_METHOD(Fixture, "The layout of the JSON text does not matter") {
  OfferDocument(MakeDocument(5));
  CHECK(active_config.OfferDocument(MakeDocument(5).dump(4),
                                    ConfigSource::kPeer) ==
        OfferResult::kAlreadyInForce);
}

TEST_CASE_METHOD(Fixture, "An invalid document is rejected as a whole") {
  OfferDocument(MakeDocument(1));
  json document = MakeDocument(2, 2);
  document["endpoints"]["e"] = {{"link_address", "localhost:80"}};
  CHECK(OfferDocument(document) == OfferResult::kInvalid);
  CHECK(active_config.InForce()->GetRevision().value == 1);
  INFO("last fault: " << active_config.State().last_fault);
  CHECK(active_config.State().last_fault.find("endpoints.e.link_address") !=
        std::string::npos);
}

TEST_CASE_METHOD(Fixture, "A document with an unknown field is rejected") {
  json document = MakeDocument(1);
  document["extra"] = 1;
  CHECK(OfferDocument(document) == OfferResult::kInvalid);
}

TEST_CASE_METHOD(Fixture, "A planned change produces the planned document") {
  OfferDocument(MakeDocument(1));
  const v1::PlanResponse plan = Plan(active_config, PutModel("m"));
  REQUIRE(plan.revision() == 2);
  CHECK(active_config.OfferChange(LastChange(plan), ConfigSource::kPeer) ==
        OfferResult::kAdopted);
  CHECK(active_config.InForce()->GetDigest().value == plan.digest());
  ActiveConfig other;
  other.OfferDocument(plan.document_json(), ConfigSource::kService);
  CHECK(other.InForce()->GetDigest().value == plan.digest());
}

TEST_CASE_METHOD(Fixture, "A change whose base is not in force is rejected") {
  OfferDocument(MakeDocument(1));
  const v1::PlanResponse plan = Plan(active_config, PutModel("m"));
  ActiveConfig behind;
  CHECK(behind.OfferChange(LastChange(plan), ConfigSource::kPeer) ==
        OfferResult::kMissingBase);
}

TEST_CASE_METHOD(Fixture,
                 "A change whose result has another digest is rejected") {
  OfferDocument(MakeDocument(1));
  v1::Change change = LastChange(Plan(active_config, PutModel("m")));
  change.set_digest("0123");
  CHECK(active_config.OfferChange(change, ConfigSource::kPeer) ==
        OfferResult::kInvalid);
  CHECK(active_config.InForce()->GetRevision().value == 1);
}

TEST_CASE_METHOD(Fixture, "Only one of two concurrent plans comes into force") {
  OfferDocument(MakeDocument(1));
  const v1::PlanResponse mine = Plan(active_config, PutModel("mine"));
  const v1::PlanResponse yours = Plan(active_config, PutModel("yours"));
  CHECK(active_config.OfferChange(LastChange(mine), ConfigSource::kPeer) ==
        OfferResult::kAdopted);
  CHECK(active_config.OfferChange(LastChange(yours), ConfigSource::kPeer) ==
        OfferResult::kConflict);
}

TEST_CASE_METHOD(Fixture, "A plan on a stale base is rejected") {
  OfferDocument(MakeDocument(3));
  v1::PlanRequest request = PutModel("m");
  request.set_base_revision(2);
  CHECK(Plan(active_config, request).revision() == 0);
}

TEST_CASE_METHOD(Fixture,
                 "A peer that lags receives the changes that it lacks") {
  OfferDocument(MakeDocument(1));
  const Digest first = active_config.InForce()->GetDigest();
  for (const char* id : {"a", "b", "c"}) {
    active_config.OfferChange(LastChange(Plan(active_config, PutModel(id))),
                              ConfigSource::kPeer);
  }
  const auto changes = active_config.ChangesSince(first);
  REQUIRE(changes);
  CHECK(changes->changes_size() == 3);
  CHECK_FALSE(active_config.ChangesSince(Digest{"unknown"}));
}

}  // namespace
}  // namespace harecrank
