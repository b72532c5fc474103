#include "harecrank/core/peer_word.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace harecrank {
namespace {

using nlohmann::json;

// Peers forgotten after this long without a word. Long, so that a host finds
// its fleet again after minutes of being cut off.
constexpr std::chrono::minutes kForgetAfter{10};

// A load as [id, backlog in microseconds, short members, long members, memory,
// unread parts, tightest gap].
json EncodeLoad(const EndpointId& id, const EndpointLoad& load) {
  constexpr double kMicrosPerMilli = 1000;
  return json::array(
      {id.value,
       static_cast<std::int64_t>(load.read_backlog.count() * kMicrosPerMilli),
       load.short_members, load.long_members, load.memory.value,
       load.unread_parts, load.tightest_gap.count()});
}

std::pair<EndpointId, EndpointLoad> DecodeLoad(const json& item) {
  constexpr double kMicrosPerMilli = 1000;
  EndpointLoad load;
  load.read_backlog =
      FractionalMillis(item.at(1).get<double>() / kMicrosPerMilli);
  item.at(2).get_to(load.short_members);
  item.at(3).get_to(load.long_members);
  item.at(4).get_to(load.memory.value);
  item.at(5).get_to(load.unread_parts);
  load.tightest_gap = FractionalMillis(item.at(6).get<double>());
  return {EndpointId{item.at(0).get<std::string>()}, load};
}

}  // namespace

std::string EncodePeerWord(const PeerWord& word) {
  json loads = json::array();
  for (const auto& [id, load] : word.loads) {
    loads.push_back(EncodeLoad(id, load));
  }
  json avoided = json::array();
  for (const AvoidedEndpoint& endpoint : word.avoided) {
    avoided.push_back({endpoint.id.value, endpoint.left.count()});
  }
  json object = {
      {"node", word.node.value},       {"at", word.operations_address},
      {"routing", word.routing.value}, {"known", word.known_up_to.value},
      {"well", word.source_well},      {"loads", std::move(loads)},
      {"avoided", std::move(avoided)}, {"peers", word.peers}};
  if (word.urgency.has_value()) {
    object["urgency"] = word.urgency->count();
  }
  if (word.least_late_work.has_value()) {
    object["late_work"] = word.least_late_work->count();
  }
  std::string bytes;
  json::to_cbor(object, bytes);
  return bytes;
}

std::optional<PeerWord> DecodePeerWord(const std::string& bytes) {
  try {
    const json object = json::from_cbor(bytes);
    PeerWord word;
    object.at("node").get_to(word.node.value);
    object.at("at").get_to(word.operations_address);
    object.at("routing").get_to(word.routing.value);
    object.at("known").get_to(word.known_up_to.value);
    object.at("well").get_to(word.source_well);
    for (const json& item : object.at("loads")) {
      word.loads.insert(DecodeLoad(item));
    }
    for (const json& item : object.at("avoided")) {
      word.avoided.push_back(
          AvoidedEndpoint{EndpointId{item.at(0).get<std::string>()},
                          Millis(item.at(1).get<std::int64_t>())});
    }
    object.at("peers").get_to(word.peers);
    if (object.contains("urgency")) {
      word.urgency = Urgency(object.at("urgency").get<double>());
    }
    if (object.contains("late_work")) {
      word.least_late_work =
          FractionalMillis(object.at("late_work").get<double>());
    }
    return word;
  } catch (const json::exception&) {
    // Whatever reaches the port: the caller counts it.
    return std::nullopt;
  }
}

PeerBook::PeerBook(std::string self, std::vector<std::string> seeds,
                   MonotonicClock clock, RandomSource random)
    : self_(std::move(self)),
      seeds_(std::move(seeds)),
      clock_(std::move(clock)),
      random_(std::move(random)) {}

void PeerBook::SetSeeds(std::vector<std::string> seeds) {
  seeds_ = std::move(seeds);
}

bool PeerBook::OnWord(const PeerWord& word) {
  if (word.operations_address == self_) {
    return false;
  }
  Peer& peer = peers_[word.operations_address];
  const bool is_new = peer.heard == TimePoint{} || !IsAlive(peer);
  peer = Peer{word.node,        word.routing, word.known_up_to,
              word.source_well, word.urgency, word.least_late_work,
              clock_()};
  for (const std::string& address : word.peers) {
    if (address != self_) {
      peers_.try_emplace(address);
    }
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    const TimePoint heard = it->second.heard;
    const bool old = heard != TimePoint{} && clock_() - heard > kForgetAfter;
    it = old ? peers_.erase(it) : std::next(it);
  }
  return is_new;
}

std::vector<std::string> PeerBook::Targets() const {
  std::vector<std::string> targets;
  for (const std::string& seed : seeds_) {
    if (seed != self_ && peers_.count(seed) == 0) {
      targets.push_back(seed);
    }
  }
  for (const auto& [address, peer] : peers_) {
    targets.push_back(address);
  }
  for (std::size_t i = 0; i < kMostTold && targets.size() > kMostTold; ++i) {
    const std::size_t left = targets.size() - i;
    std::swap(targets[i], targets[i + random_() % left]);
  }
  targets.resize(std::min(targets.size(), kMostTold));
  return targets;
}

std::vector<std::string> PeerBook::Known() const {
  std::vector<std::string> known;
  for (const auto& [address, peer] : peers_) {
    if (IsAlive(peer) && known.size() < kMostTold) {
      known.push_back(address);
    }
  }
  return known;
}

std::optional<std::string> PeerBook::BetterInformed(
    RoutingVersion routing, StoreRevision known_up_to) const {
  const std::string* best = nullptr;
  const Peer* best_peer = nullptr;
  for (const auto& [address, peer] : peers_) {
    const bool better = routing < peer.routing ||
                        (peer.source_well && known_up_to < peer.known_up_to);
    if (!IsAlive(peer) || !better) {
      continue;
    }
    if (best_peer == nullptr || best_peer->known_up_to < peer.known_up_to) {
      best = &address;
      best_peer = &peer;
    }
  }
  return best == nullptr ? std::nullopt : std::make_optional(*best);
}

int PeerBook::PeersAhead(Urgency urgency) const {
  const TimePoint now = clock_();
  int ahead = 0;
  for (const auto& [address, peer] : peers_) {
    const auto age = now - peer.heard;
    const bool known = peer.urgency.has_value() && age <= kUrgencyHolds;
    if (known && *peer.urgency - age < urgency) {
      ++ahead;
    }
  }
  return ahead;
}

std::optional<FractionalMillis> PeerBook::LeastLateWork() const {
  const TimePoint now = clock_();
  std::optional<FractionalMillis> least;
  for (const auto& [address, peer] : peers_) {
    const std::optional<FractionalMillis>& work = peer.least_late_work;
    if (work.has_value() && now - peer.heard <= kUrgencyHolds) {
      least = std::min(*work, least.value_or(*work));
    }
  }
  return least;
}

int PeerBook::AliveHosts() const {
  return 1 + static_cast<int>(std::count_if(
                 peers_.begin(), peers_.end(),
                 [this](const auto& item) { return IsAlive(item.second); }));
}

bool PeerBook::IsAlive(const Peer& peer) const {
  return peer.heard != TimePoint{} && clock_() - peer.heard <= kAliveFor;
}

}  // namespace harecrank
