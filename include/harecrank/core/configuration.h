// A published configuration that has passed every check, ready to be read.

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

// The digest of a document in its canonical form, in hexadecimal.
using Digest = StrongString<struct DigestTag>;

// Why a text did not become a configuration.
struct UnreadableDocument {
  std::string reason;
};
struct InvalidDocument {
  std::vector<ConfigProblem> problems;
};
struct ChangeDoesNotApply {
  std::string reason;
};
using ConfigError =
    std::variant<UnreadableDocument, InvalidDocument, ChangeDoesNotApply>;

// Returns one sentence for a person.
std::string Describe(const ConfigError& error);

// A checked configuration with the indexes that decisions need. Immutable, and
// shared by all threads.
class Configuration {
 public:
  // Reads, checks and indexes a document. Fails with UnreadableDocument or
  // InvalidDocument; the whole is refused for any fault.
  static boost::leaf::result<std::shared_ptr<const Configuration>> Parse(
      const std::string& document_json);

  // Applies a published change. Fails with ChangeDoesNotApply if `change` does
  // not start from this document or does not end at its own digest.
  boost::leaf::result<std::shared_ptr<const Configuration>> Apply(
      const v1::Change& change) const;

  // Returns the change that leads from this configuration to `next`.
  v1::Change ChangeTo(const Configuration& next) const;

  Revision GetRevision() const { return Revision{document_.revision()}; }
  const Digest& GetDigest() const { return digest_; }
  const v1::Document& GetDocument() const { return document_; }
  // Returns the canonical text: sorted keys, no spaces.
  const std::string& CanonicalJson() const { return canonical_json_; }

  // Returns the account whose key has this SHA-256, or null.
  const AccountId* FindAccountByKey(const std::string& key_sha256) const;

  // Returns the engines that serve `model`, or the endpoints of `service`, in
  // order of id. Those marked as leaving are among them.
  const std::vector<EndpointId>& EnginesOf(const ModelId& model) const;
  const std::vector<EndpointId>& EndpointsOf(const ServiceName& service) const;

  // Returns an endpoint, or null.
  const v1::Endpoint* FindEndpoint(const EndpointId& id) const;

  // Returns every entry host and sidecar.
  std::vector<NodeAddress> Nodes() const;

  // Returns how many entry hosts share the accounts' limits: at least 1.
  int EntryCount() const;

  // Returns the largest memory of any engine that serves `model`.
  Tokens LargestEngine(const ModelId& model) const;

 private:
  Configuration(v1::Document document, std::string canonical_json);

  void BuildIndexes();

  v1::Document document_;
  std::string canonical_json_;
  Digest digest_;
  std::unordered_map<std::string, AccountId> account_by_key_;
  std::unordered_map<ModelId, std::vector<EndpointId>> engines_by_model_;
  std::unordered_map<ServiceName, std::vector<EndpointId>> by_service_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_CONFIGURATION_H_
