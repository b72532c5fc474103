// Tells peers what this host has under way and knows, and asks those that know
// more while the platform does not answer this host.

#ifndef HARECRANK_SRC_GATEWAY_PEER_EXCHANGE_H_
#define HARECRANK_SRC_GATEWAY_PEER_EXCHANGE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "harecrank/core/peer_word.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/http_client.h"

namespace harecrank {

// What the exchange asks of its owner.
struct PeerExchangePorts {
  // Returns this host's word, without its peers.
  std::function<PeerWord()> own_word;
  // Takes a peer's loads.
  std::function<void(const PeerWord& word)> on_word;
  // Takes what a peer knows. Returns false if it cannot be used.
  std::function<bool(const std::string& snapshot)> on_snapshot;
};

// Words go by datagram: the next one comes soon, so a lost one needs no second
// sending. Snapshots are asked for by HTTP. Not thread-safe.
class PeerExchange {
 public:
  // Throws boost::system::system_error if `address` cannot be had. All hosts
  // use the same port.
  PeerExchange(boost::asio::io_context* io, const std::string& address,
               PeerBook* book, PeerExchangePorts ports, EventLog* log,
               Metrics* metrics, MonotonicClock clock);

  void Start();

  // Tells the peers soon, and not only when the next word is due.
  void TellSoon();

  // Path at which a peer gives its snapshot.
  static constexpr char kSnapshotPath[] = "/peer/snapshot";
  // The pause between two words. Short requests take some hundred ms, so a
  // load that is older than this says little.
  static constexpr Millis kInterval{100};

 private:
  void Receive();
  void OnDatagram(std::size_t size);
  void Tell();
  void ScheduleTell(Millis pause);
  void AskBetterInformed(const PeerWord& own);

  boost::asio::io_context* io_;
  boost::asio::ip::udp::socket socket_;
  std::uint16_t port_;
  PeerBook* book_;
  PeerExchangePorts ports_;
  EventLog* log_;
  Metrics* metrics_;
  MonotonicClock clock_;
  boost::asio::steady_timer timer_;
  static constexpr std::size_t kMostDatagram = 16384;
  std::string received_;
  boost::asio::ip::udp::endpoint sender_;
  std::shared_ptr<HttpClient> asking_;
  TimePoint asked_at_{};
  TimePoint told_at_{};
  bool soon_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PEER_EXCHANGE_H_
