#include "harecrank/core/configuration.h"

#include <google/protobuf/util/json_util.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace harecrank {
namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

constexpr std::size_t kMaxProblemsShown = 3;

struct Describer {
  std::string operator()(const UnreadableDocument& error) const {
    return "the document cannot be read: " + error.reason;
  }
  std::string operator()(const InvalidDocument& error) const {
    std::string text =
        "the document has " + std::to_string(error.problems.size()) + " faults";
    const std::size_t shown =
        std::min(error.problems.size(), kMaxProblemsShown);
    for (std::size_t i = 0; i < shown; ++i) {
      text += "; " + Describe(error.problems[i]);
    }
    return text;
  }
  std::string operator()(const ChangeDoesNotApply& error) const {
    return "the change does not apply: " + error.reason;
  }
};

Digest DigestOf(const std::string& text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  constexpr std::size_t kHexSize = 33;
  char hex[kHexSize];
  std::snprintf(hex, sizeof(hex), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return Digest{hex};
}

leaf::result<v1::Document> ParseDocument(const std::string& text) {
  v1::Document document;
  const auto status =
      google::protobuf::util::JsonStringToMessage(text, &document);
  if (!status.ok()) {
    return leaf::new_error(
        ConfigError{UnreadableDocument{std::string(status.message())}});
  }
  return document;
}

leaf::result<v1::Document> ParseValidDocument(const std::string& text) {
  BOOST_LEAF_AUTO(document, ParseDocument(text));
  std::vector<ConfigProblem> problems = ValidateDocument(document);
  if (!problems.empty()) {
    return leaf::new_error(ConfigError{InvalidDocument{std::move(problems)}});
  }
  return document;
}

// Returns the canonical JSON text of `document`, which does not depend on the
// whitespace and the order of keys in the published text.
leaf::result<std::string> CanonicalText(const v1::Document& document) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  const auto status =
      google::protobuf::util::MessageToJsonString(document, &text, options);
  if (!status.ok()) {
    return leaf::new_error(
        ConfigError{UnreadableDocument{std::string(status.message())}});
  }
  return json::parse(text).dump();
}

const std::vector<EndpointId>& NoEndpoints() {
  static const std::vector<EndpointId> kNone;
  return kNone;
}

}  // namespace

std::string Describe(const ConfigError& error) {
  return std::visit(Describer{}, error);
}

leaf::result<std::shared_ptr<const Configuration>> Configuration::Parse(
    const std::string& document_json) {
  BOOST_LEAF_AUTO(document, ParseValidDocument(document_json));
  BOOST_LEAF_AUTO(canonical, CanonicalText(document));
  return std::shared_ptr<const Configuration>(
      new Configuration(std::move(document), std::move(canonical)));
}

leaf::result<std::shared_ptr<const Configuration>> Configuration::Apply(
    const v1::Change& change) const {
  if (change.base_digest() != digest_.value) {
    return leaf::new_error(ConfigError{ChangeDoesNotApply{
        "it starts from another document than the one in force"}});
  }
  std::string next_json;
  try {
    const json base = json::parse(canonical_json_);
    next_json = base.patch(json::parse(change.patch_json())).dump();
  } catch (const json::exception& error) {
    return leaf::new_error(ConfigError{ChangeDoesNotApply{error.what()}});
  }
  // If the digest matches, the patched text is the canonical text that the
  // change planner produced, so it need not be computed again. Computing it
  // would take about half of the time that it takes to apply a change to a
  // configuration of the target size.
  if (DigestOf(next_json).value != change.digest()) {
    return leaf::new_error(ConfigError{
        ChangeDoesNotApply{"its result has another digest than it states"}});
  }
  BOOST_LEAF_AUTO(document, ParseValidDocument(next_json));
  if (document.revision() != change.revision()) {
    return leaf::new_error(ConfigError{
        ChangeDoesNotApply{"its result has another revision than it states"}});
  }
  return std::shared_ptr<const Configuration>(
      new Configuration(std::move(document), std::move(next_json)));
}

v1::Change Configuration::ChangeTo(const Configuration& next) const {
  v1::Change change;
  change.set_revision(next.GetRevision().value);
  change.set_base_digest(digest_.value);
  change.set_digest(next.GetDigest().value);
  change.set_patch_json(json::diff(json::parse(canonical_json_),
                                   json::parse(next.canonical_json_))
                            .dump());
  return change;
}

const AccountId* Configuration::FindAccountByKey(
    const std::string& key_sha256) const {
  const auto found = account_by_key_.find(key_sha256);
  return found == account_by_key_.end() ? nullptr : &found->second;
}

const std::vector<EndpointId>& Configuration::EnginesOf(
    const ModelId& model) const {
  const auto found = engines_by_model_.find(model);
  return found == engines_by_model_.end() ? NoEndpoints() : found->second;
}

const std::vector<EndpointId>& Configuration::EndpointsOf(
    const ServiceName& service) const {
  const auto found = endpoints_by_service_.find(service);
  return found == endpoints_by_service_.end() ? NoEndpoints() : found->second;
}

const v1::Endpoint* Configuration::FindEndpoint(const EndpointId& id) const {
  const auto found = document_.endpoints().find(id.value);
  return found == document_.endpoints().end() ? nullptr : &found->second;
}

std::vector<NodeAddress> Configuration::Nodes() const {
  std::vector<NodeAddress> nodes;
  for (const auto& [id, entry] : document_.entries()) {
    nodes.push_back(NodeAddress{NodeId{id}, DataCentreId{entry.data_centre()},
                                entry.operations_address()});
  }
  for (const auto& [id, endpoint] : document_.endpoints()) {
    nodes.push_back(NodeAddress{NodeId{id},
                                DataCentreId{endpoint.data_centre()},
                                endpoint.operations_address()});
  }
  return nodes;
}

int Configuration::EntryCount() const {
  return std::max(1, static_cast<int>(document_.entries().size()));
}

Tokens Configuration::LargestEngine(const ModelId& model) const {
  Tokens largest;
  for (const EndpointId& id : EnginesOf(model)) {
    const Tokens memory{FindEndpoint(id)->engine().memory_tokens()};
    largest = std::max(largest, memory);
  }
  return largest;
}

Configuration::Configuration(v1::Document document, std::string canonical_json)
    : document_(std::move(document)),
      canonical_json_(std::move(canonical_json)),
      digest_(DigestOf(canonical_json_)) {
  BuildIndexes();
}

void Configuration::BuildIndexes() {
  for (const auto& [id, account] : document_.accounts()) {
    account_by_key_.emplace(account.key_sha256(), AccountId{id});
  }
  for (const auto& [id, endpoint] : document_.endpoints()) {
    if (endpoint.has_service()) {
      const ServiceName service{endpoint.service().name()};
      endpoints_by_service_[service].push_back(EndpointId{id});
      continue;
    }
    for (const std::string& model : endpoint.engine().models()) {
      engines_by_model_[ModelId{model}].push_back(EndpointId{id});
    }
  }
  for (auto& engines : engines_by_model_) {
    std::sort(engines.second.begin(), engines.second.end());
  }
  for (auto& endpoints : endpoints_by_service_) {
    std::sort(endpoints.second.begin(), endpoints.second.end());
  }
}

}  // namespace harecrank
