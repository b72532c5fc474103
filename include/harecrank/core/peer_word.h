// What an entry host tells its peers a few times a second.

#ifndef HARECRANK_CORE_PEER_WORD_H_
#define HARECRANK_CORE_PEER_WORD_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_health.h"
#include "harecrank/core/endpoint_loads.h"
#include "harecrank/core/routing_table.h"
#include "harecrank/core/strong_types.h"
#include "harecrank/core/waiting_room.h"

namespace harecrank {

// One host's word.
struct PeerWord {
  NodeId node;
  // Where it answers operators and peers.
  std::string operations_address;
  RoutingVersion routing;
  StoreRevision known_up_to;
  // The platform answers it.
  bool source_well = false;
  // What it has under way, by endpoint.
  std::unordered_map<EndpointId, EndpointLoad> loads;
  // Endpoints that it leaves alone by what it has seen itself.
  std::vector<AvoidedEndpoint> avoided;
  // How urgent its most urgent waiting request is, if any waits.
  std::optional<Urgency> urgency;
  // The least work among its waiting requests that can no longer be in time.
  std::optional<FractionalMillis> least_late_work;
  // Some other hosts that it knows.
  std::vector<std::string> peers;
};

// Returns `word` as CBOR.
std::string EncodePeerWord(const PeerWord& word);

// Reads what EncodePeerWord wrote. Returns nothing if `bytes` is no such word.
std::optional<PeerWord> DecodePeerWord(const std::string& bytes);

// The peers that this host knows. Not thread-safe.
class PeerBook {
 public:
  // `self` and `seeds` are operations addresses; seeds may be stale.
  PeerBook(std::string self, std::vector<std::string> seeds,
           MonotonicClock clock, RandomSource random);

  // Replaces the seeds.
  void SetSeeds(std::vector<std::string> seeds);

  // Notes a peer's word. Returns whether the peer was not known as alive.
  bool OnWord(const PeerWord& word);

  // Returns the hosts to tell next: all that are known while they are few, a
  // random choice of kMostTold beyond that.
  std::vector<std::string> Targets() const;

  // Returns some addresses to tell others of.
  std::vector<std::string> Known() const;

  // Returns the peer that was heard lately and knows the most, if that is more
  // than `routing` and `known_up_to`; nothing otherwise.
  std::optional<std::string> BetterInformed(RoutingVersion routing,
                                            StoreRevision known_up_to) const;

  // Returns how many peers lately had something more urgent waiting.
  int PeersAhead(Urgency urgency) const;

  // Returns the least work that lately waited at any peer and could no longer
  // be in time.
  std::optional<FractionalMillis> LeastLateWork() const;

  // Returns how many hosts are alive, this one among them.
  int AliveHosts() const;

  // How long a host counts as alive after its last word: many times the pause
  // between two words.
  static constexpr Millis kAliveFor{3000};
  // A node's control traffic is bounded, however many hosts there are. With 21
  // hosts, telling 8 at a time left each with words 0.25 s old on average, and
  // mean worth at 0.617; telling all of them gave 0.651 (docs/PLATFORM.md).
  static constexpr std::size_t kMostTold = 24;
  // How long what a peer said of its waiting requests counts.
  static constexpr Millis kUrgencyHolds{400};

 private:
  struct Peer {
    NodeId node;
    RoutingVersion routing;
    StoreRevision known_up_to;
    bool source_well = false;
    std::optional<Urgency> urgency;
    std::optional<FractionalMillis> least_late_work;
    TimePoint heard{};
  };

  bool IsAlive(const Peer& peer) const;

  std::string self_;
  std::vector<std::string> seeds_;
  MonotonicClock clock_;
  RandomSource random_;
  std::unordered_map<std::string, Peer> peers_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PEER_WORD_H_
