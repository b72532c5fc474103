// The one check of a published configuration, the same on every process.

#ifndef HARECRANK_CORE_DOCUMENT_VALIDATOR_H_
#define HARECRANK_CORE_DOCUMENT_VALIDATOR_H_

#include <string>
#include <vector>

#include "src/generated/harecrank.pb.h"

namespace harecrank {

// One fault of a document or of a settings file.
struct ConfigProblem {
  // Where, as "endpoints.e1.link_address".
  std::string path;
  std::string found;
  std::string allowed;
};

// Returns "path: found X; allowed: Y".
std::string Describe(const ConfigProblem& problem);

// Returns every fault of `document`; none if it may come into force.
std::vector<ConfigProblem> ValidateDocument(const v1::Document& document);

// Returns whether `address` is an IP number and port, such as "10.0.0.1:80".
bool IsIpAddressAndPort(const std::string& address);

// Returns whether `id` may name an object: 1 to 64 letters, digits, '-', '_'.
bool IsObjectId(const std::string& id);

}  // namespace harecrank

#endif  // HARECRANK_CORE_DOCUMENT_VALIDATOR_H_
