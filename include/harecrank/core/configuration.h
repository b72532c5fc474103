// A published configuration that has passed validation.

#ifndef HARECRANK_CORE_CONFIGURATION_H_
#define HARECRANK_CORE_CONFIGURATION_H_

#include <boost/leaf.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "harecrank/core/dissemination.h"
#include "harecrank/core/document_validator.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// XXH3 128-bit digest of the canonical form of a document, in hexadecimal.
using Digest = StrongString<struct DigestTag>;

// Loading failed: the text is not a JSON document that matches the schema.
struct UnreadableDocument {
  std::string reason;
};
// Loading failed: ValidateDocument reports faults of the document.
struct InvalidDocument {
  std::vector<ConfigProblem> problems;
};
// Applying a change failed: its base is another document, its patch fails, or
// the result has another digest or revision than the change states.
struct ChangeDoesNotApply {
  std::string reason;
};
// Why a configuration could not be loaded or a change not be applied.
using ConfigError =
    std::variant<UnreadableDocument, InvalidDocument, ChangeDoesNotApply>;

// Returns a description of `error` for operators.
std::string Describe(const ConfigError& error);

// A valid configuration with indexes for lookups. Immutable, hence safe to read
// from several threads.
class Configuration {
 public:
  // Parses, validates and indexes a document. Fails with UnreadableDocument or
  // InvalidDocument. A document with any fault is rejected as a whole.
  static boost::leaf::result<std::shared_ptr<const Configuration>> Parse(
      const std::string& document_json);

  // Applies a published change. Fails with ChangeDoesNotApply if this document
  // is not the base of `change`, or if the result has another digest or
  // revision than `change` states, and with UnreadableDocument or
  // InvalidDocument if the result is not a valid document.
  boost::leaf::result<std::shared_ptr<const Configuration>> Apply(
      const v1::Change& change) const;

  // Returns the change that leads from this configuration to `next`.
  v1::Change ChangeTo(const Configuration& next) const;

  Revision GetRevision() const { return Revision{document_.revision()}; }
  const Digest& GetDigest() const { return digest_; }
  const v1::Document& GetDocument() const { return document_; }
  // Returns the canonical JSON text: sorted keys, no whitespace.
  const std::string& CanonicalJson() const { return canonical_json_; }

  // Returns the account whose API key has the SHA-256 digest `key_sha256`, in
  // lower-case hexadecimal, or null.
  const AccountId* FindAccountByKey(const std::string& key_sha256) const;

  // Returns the engines that serve `model`, or the endpoints of `service`,
  // sorted by id. Includes endpoints that are marked as leaving.
  const std::vector<EndpointId>& EnginesOf(const ModelId& model) const;
  const std::vector<EndpointId>& EndpointsOf(const ServiceName& service) const;

  // Returns the endpoint with the id `id`, or null.
  const v1::Endpoint* FindEndpoint(const EndpointId& id) const;

  // Returns the addresses of all entry hosts and sidecars.
  std::vector<NodeAddress> Nodes() const;

  // Returns the number of entry hosts, at least 1. The limits of an account are
  // divided among them.
  int EntryCount() const;

  // Returns the KV memory of the largest engine that serves `model`, in tokens,
  // or zero if no engine serves it.
  Tokens LargestEngine(const ModelId& model) const;

 private:
  Configuration(v1::Document document, std::string canonical_json);

  void BuildIndexes();

  v1::Document document_;
  std::string canonical_json_;
  Digest digest_;
  std::unordered_map<std::string, AccountId> account_by_key_;
  std::unordered_map<ModelId, std::vector<EndpointId>> engines_by_model_;
  std::unordered_map<ServiceName, std::vector<EndpointId>>
      endpoints_by_service_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_CONFIGURATION_H_
