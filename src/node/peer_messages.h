// What nodes tell each other about configuration and the host list, as CBOR in
// HTTP bodies.

#ifndef HARECRANK_SRC_NODE_PEER_MESSAGES_H_
#define HARECRANK_SRC_NODE_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/configuration.h"

namespace harecrank {

// What one node has.
struct PeerState {
  std::string node;
  std::uint32_t revision = 0;
  std::string digest;
  std::uint64_t host_version = 0;
  bool ready = false;
};

// What one node gives to another that has less.
struct PeerUpdate {
  PeerState state;
  // The changes the other lacks, as a JSON ChangeLog; or empty.
  std::string changes_json;
  // The whole document, where the changes are not remembered; or empty.
  std::string document_json;
  // The host list, if the giver's is newer: whether it is, and who leaves.
  bool has_hosts = false;
  std::vector<std::string> leaving;
};

// Convert to and from bytes. Reading returns nothing for bytes that are no such
// message.
std::string EncodePeerState(const PeerState& state);
std::optional<PeerState> DecodePeerState(const std::string& bytes);
std::string EncodePeerUpdate(const PeerUpdate& update);
std::optional<PeerUpdate> DecodePeerUpdate(const std::string& bytes);

}  // namespace harecrank

#endif  // HARECRANK_SRC_NODE_PEER_MESSAGES_H_
