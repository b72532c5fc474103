#include "src/node/peer_messages.h"

#include <nlohmann/json.hpp>

#include "harecrank/core/cbor_depth.h"

namespace harecrank {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerState, node, revision, digest,
                                   host_version, ready)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerUpdate, state, changes_json,
                                   document_json, has_hosts, leaving)

namespace {

template <typename T>
std::string ToBytes(const T& value) {
  std::string bytes;
  json::to_cbor(json(value), bytes);
  return bytes;
}

template <typename T>
std::optional<T> FromBytes(const std::string& bytes) {
  if (!IsShallowCbor(bytes)) {
    return std::nullopt;
  }
  try {
    return json::from_cbor(bytes).get<T>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodePeerState(const PeerState& state) { return ToBytes(state); }

std::optional<PeerState> DecodePeerState(const std::string& bytes) {
  return FromBytes<PeerState>(bytes);
}

std::string EncodePeerUpdate(const PeerUpdate& update) {
  return ToBytes(update);
}

std::optional<PeerUpdate> DecodePeerUpdate(const std::string& bytes) {
  return FromBytes<PeerUpdate>(bytes);
}

}  // namespace harecrank
