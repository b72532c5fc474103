// Tests that the documentation names what the code defines.

#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "src/adapters/settings.h"
#include "src/generated/harecrank.pb.h"

namespace harecrank::testing {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(HARECRANK_SOURCE_DIR) + "/docs/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Adds the names of the fields of `message` and of its nested messages.
void AddFields(const google::protobuf::Descriptor* message,
               std::set<std::string>* names) {
  for (int i = 0; i < message->field_count(); ++i) {
    const auto* field = message->field(i);
    if (message->options().map_entry() && field->name() == "key") {
      continue;
    }
    if (!message->options().map_entry()) {
      names->insert(field->name());
    }
    if (field->message_type() != nullptr) {
      AddFields(field->message_type(), names);
    }
  }
}

TEST_CASE("The configuration page names every field of the document") {
  const std::string page = ReadPage("CONFIGURATION.md");
  std::set<std::string> names;
  AddFields(v1::Document::descriptor(), &names);
  REQUIRE(names.size() > 20);
  for (const std::string& name : names) {
    INFO("docs/CONFIGURATION.md does not name '" << name << "'");
    CHECK(page.find(name) != std::string::npos);
  }
}

TEST_CASE("The configuration page names every administration call") {
  const std::string page = ReadPage("CONFIGURATION.md");
  const auto* service = v1::Administration::descriptor();
  for (int i = 0; i < service->method_count(); ++i) {
    const std::string name = "`" + service->method(i)->name() + "`";
    INFO("docs/CONFIGURATION.md does not name " << name);
    CHECK(page.find(name) != std::string::npos);
  }
}

// The error for an unknown key lists the allowed keys.
TEST_CASE("The configuration page names every key of the settings") {
  const std::string page = ReadPage("CONFIGURATION.md");
  const auto check = [&](const std::string& error) {
    const auto list = error.find("allowed: ", error.find("unknown key"));
    REQUIRE(list != std::string::npos);
    std::istringstream keys(error.substr(list + 9));
    std::string key;
    while (std::getline(keys, key, ',')) {
      key.erase(0, key.find_first_not_of(' '));
      INFO("docs/CONFIGURATION.md does not name the key '" << key << "'");
      CHECK(page.find("`" + key + "`") != std::string::npos);
    }
  };
  namespace leaf = boost::leaf;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(ParseEntrySettings("{\"x\": 1}"));
        return {};
      },
      [&](const SettingsError& error) { check(Describe(error)); }, [] {});
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(ParseSidecarSettings("{\"x\": 1}"));
        return {};
      },
      [&](const SettingsError& error) { check(Describe(error)); }, [] {});
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(ParseGatewaySettings("{\"x\": 1}"));
        return {};
      },
      [&](const SettingsError& error) { check(Describe(error)); }, [] {});
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(ParseGatewaySettings("{\"placement\": {\"x\": 1}}"));
        return {};
      },
      [&](const SettingsError& error) { check(Describe(error)); }, [] {});
}

}  // namespace
}  // namespace harecrank::testing
