// Messages about configuration and the host list that nodes exchange, encoded
// as CBOR in HTTP bodies.

#ifndef HARECRANK_SRC_NODE_PEER_MESSAGES_H_
#define HARECRANK_SRC_NODE_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/configuration.h"

namespace harecrank {

// Versions of the configuration and the host list on one node.
struct PeerState {
  std::string node;
  std::uint32_t revision = 0;
  std::string digest;
  std::uint64_t host_version = 0;
  bool ready = false;
};

// Update that a node sends to a peer whose configuration or host list is, or
// may be, older.
struct PeerUpdate {
  PeerState state;
  // Changes that the peer lacks, as a JSON ChangeLog; empty if none are sent.
  std::string changes_json;
  // The whole document, sent if the changes are no longer available; empty
  // otherwise.
  std::string document_json;
  // Whether the update contains the sender's host list. If so, `leaving` holds
  // the ids of the hosts that are leaving.
  bool has_hosts = false;
  std::vector<std::string> leaving;
};

// Encode and decode messages. Decoding returns nullopt for malformed bytes.
std::string EncodePeerState(const PeerState& state);
std::optional<PeerState> DecodePeerState(const std::string& bytes);
std::string EncodePeerUpdate(const PeerUpdate& update);
std::optional<PeerUpdate> DecodePeerUpdate(const std::string& bytes);

}  // namespace harecrank

#endif  // HARECRANK_SRC_NODE_PEER_MESSAGES_H_
