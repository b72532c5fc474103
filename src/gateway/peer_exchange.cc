#include "src/gateway/peer_exchange.h"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "harecrank/core/http_status.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;

// How soon after a change peers are told. Hosts that see the same engines open
// decide within milliseconds of each other.
constexpr Millis kSoon{1};
// The pause between two questions to peers, and how long an answer may take.
constexpr Millis kAskInterval{250};
constexpr Millis kAskTimeout{500};

asio::ip::udp::endpoint UdpEndpoint(const std::string& address) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint.has_value()) {
    throw boost::system::system_error(asio::error::invalid_argument,
                                      "'" + address + "' is no IP:PORT");
  }
  return {endpoint->address(), endpoint->port()};
}

}  // namespace

PeerExchange::PeerExchange(asio::io_context* io, const std::string& address,
                           PeerBook* book, PeerExchangePorts ports,
                           EventLog* log, Metrics* metrics,
                           MonotonicClock clock)
    : io_(io),
      socket_(*io, UdpEndpoint(address)),
      port_(socket_.local_endpoint().port()),
      book_(book),
      ports_(std::move(ports)),
      log_(log),
      metrics_(metrics),
      clock_(std::move(clock)),
      timer_(*io) {
  // Peers that are gone answer with errors, and a full buffer drops.
  socket_.non_blocking(true);
}

void PeerExchange::Start() {
  Receive();
  Tell();
}

void PeerExchange::Receive() {
  received_.resize(kMostDatagram);
  socket_.async_receive_from(
      asio::buffer(received_), sender_,
      [this](boost::system::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          OnDatagram(size);
        }
        Receive();
      });
}

void PeerExchange::OnDatagram(std::size_t size) {
  const auto word = DecodePeerWord(received_.substr(0, size));
  if (!word.has_value()) {
    metrics_->GetCounter("harecrank_gateway_bad_peer_words_total")->Add();
    return;
  }
  if (book_->OnWord(*word)) {
    log_->Write("peer_heard", {{"peer", word->node.value},
                               {"address", word->operations_address}});
  }
  ports_.on_word(*word);
}

void PeerExchange::TellSoon() {
  if (soon_) {
    return;
  }
  soon_ = true;
  ScheduleTell(kSoon);
}

void PeerExchange::ScheduleTell(Millis pause) {
  timer_.expires_after(pause);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tell();
    }
  });
}

void PeerExchange::Tell() {
  soon_ = false;
  PeerWord word = ports_.own_word();
  AskBetterInformed(word);
  word.peers = book_->Known();
  const std::string bytes = EncodePeerWord(word);
  for (const std::string& address : book_->Targets()) {
    const auto target = ParseTcpEndpoint(address);
    if (!target.has_value()) {
      continue;
    }
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(bytes), {target->address(), port_}, 0,
                    ignored);
  }
  ScheduleTell(kInterval);
}

void PeerExchange::AskBetterInformed(const PeerWord& own) {
  const TimePoint now = clock_();
  if (own.source_well || now - asked_at_ < kAskInterval) {
    return;
  }
  const auto peer = book_->BetterInformed(own.routing, own.known_up_to);
  if (!peer.has_value()) {
    return;
  }
  asked_at_ = now;
  asking_ = std::make_shared<HttpClient>(io_, *peer);
  asking_->Get(
      kSnapshotPath, kAskTimeout,
      [this, peer = *peer](const CallResult& result) {
        const auto* reply = std::get_if<HttpReply>(&result);
        const bool taken = reply != nullptr &&
                           reply->result_int() == http_status::kOk &&
                           ports_.on_snapshot(reply->body());
        log_->Write("peer_asked", {{"address", peer}, {"taken", taken}});
      });
}

}  // namespace harecrank
