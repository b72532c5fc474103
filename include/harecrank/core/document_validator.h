// Validation of published configurations. All processes use these rules, so
// they accept the same documents.

#ifndef HARECRANK_CORE_DOCUMENT_VALIDATOR_H_
#define HARECRANK_CORE_DOCUMENT_VALIDATOR_H_

#include <string>
#include <vector>

#include "src/generated/harecrank.pb.h"

namespace harecrank {

// A fault of a configuration document or of a settings file.
struct ConfigProblem {
  // Path of the field, such as "endpoints.e1.link_address".
  std::string path;
  // The invalid value.
  std::string found;
  // Description of the valid values.
  std::string allowed;
};

// Returns "path: found X; allowed: Y".
std::string Describe(const ConfigProblem& problem);

// Returns all faults of `document`, or an empty vector if it is valid.
std::vector<ConfigProblem> ValidateDocument(const v1::Document& document);

// Returns whether `address` is an IP address and a port, such as "10.0.0.1:80"
// or "[::1]:80". Host names are not valid.
bool IsIpAddressAndPort(const std::string& address);

// Returns whether `id` is a valid object id: 1 to 64 letters, digits, '-' and
// '_'.
bool IsObjectId(const std::string& id);

}  // namespace harecrank

#endif  // HARECRANK_CORE_DOCUMENT_VALIDATOR_H_
