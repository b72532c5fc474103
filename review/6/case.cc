// All servers of a zone are told to leave, the operator takes a key away
// meanwhile, and one datagram between two gateways is lost. Checks that every
// gateway follows the configuration afterwards.

#include <array>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/peers/peers.h"

namespace review {
namespace {

constexpr int kGateways = 3;
constexpr int kServersOfZone = 80;
constexpr int kZones = 3;
constexpr Millis kSettling{3000};
// All servers of the zone say within this time that they leave.
constexpr Millis kNotice{100};
// The bounds of the configuration and of being in touch, and a margin.
constexpr Millis kApply{2000};
constexpr Millis kContact{3000};
constexpr Millis kMargin{3000};
constexpr int kRounds = 12;
constexpr Millis kRoundInterval{1000};
constexpr Millis kLimit{3000};
constexpr char kOldKey[] = "key-old";
constexpr char kNewKey[] = "key-new";

// A server that answers each request at once.
class Server {
 public:
  Server(ServerEntry entry, const std::string& ip, const Words* words,
         Record* record)
      : entry_(std::move(entry)),
        words_(words),
        record_(record),
        listener_(ListenTcp(ip, 0)) {
    entry_.address = AddressOf(ip, PortOf(listener_));
    Serve(&listener_, [this](Socket socket) { Handle(std::move(socket)); });
  }

  const ServerEntry& Entry() const { return entry_; }
  // Writes the entry of a server that is about to leave.
  void SayDraining(Store* store) {
    entry_.state = "draining";
    ++entry_.sequence;
    store->Put(KeyOf(entry_), ValueOf(entry_));
  }

 private:
  void Handle(Socket socket) {
    Reader reader(&socket);
    Head head;
    while (reader.ReadHead(&head)) {
      reader.ReadBytes(
          static_cast<std::size_t>(std::max<std::int64_t>(0, head.Length())));
      const std::string& id = head.Field(words_->Of("request_id"));
      const bool is_meant = head.Field(words_->Of("expected")) == entry_.id;
      if (is_meant) {
        record_->Write("server " + entry_.id + " runs " + id + " for " +
                       head.Field(words_->Of("account")));
      }
      const std::string body = is_meant ? "done" : "";
      const std::string status = is_meant ? "200 OK" : "421 Misdirected";
      std::string answer = "HTTP/1.1 " + status + "\r\n";
      answer += words_->Of("request_id") + ": " + id + "\r\n";
      answer += words_->Of("signature") + ": 3e1b.07\r\n";
      answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      socket.SendAll(answer + body);
    }
  }

  ServerEntry entry_;
  const Words* words_;
  Record* record_;
  Socket listener_;
};

// Forwards the datagrams between the gateways. Once armed, loses one: of two
// that carry changes of the store and follow each other at once on a link, the
// second.
class Links {
 public:
  Links(const Deployment* deployment, Record* record)
      : deployment_(deployment), record_(record) {
    for (int from = 0; from < deployment->Count(); ++from) {
      for (int to = 0; to < deployment->Count(); ++to) {
        if (from != to) {
          Start(from, to);
        }
      }
    }
  }

  void LoseOne() { armed_ = true; }
  int Lost() const { return lost_; }

 private:
  // Smaller datagrams with changes hold a single one.
  static constexpr std::size_t kSeveralChanges = 300;
  static constexpr Millis kTogether{10};

  void Start(int from, int to) {
    sockets_.push_back(std::make_unique<Socket>(
        BindUdp(deployment_->Ip(to), deployment_->PeerPort(from))));
    const Socket* socket = sockets_.back().get();
    std::thread([this, socket, from, to] {
      Forward(socket, from, to);
    }).detach();
  }

  // A message with changes is a CBOR array of three that begins with a five.
  static bool HasChanges(const std::string& datagram) {
    return datagram.compare(0, 2, "\x83\x05") == 0;
  }

  void Forward(const Socket* socket, int from, int to) {
    constexpr std::size_t kMaxBytes = 65536;
    Clock::time_point last{};
    while (true) {
      const std::string datagram = socket->Receive(kMaxBytes);
      const Clock::time_point now = Clock::now();
      const bool has_changes =
          datagram.size() >= kSeveralChanges && HasChanges(datagram);
      const bool follows = has_changes && now - last < kTogether;
      last = has_changes ? now : last;
      if (follows && armed_.exchange(false)) {
        ++lost_;
        record_->Write("lost: a datagram of " +
                       std::to_string(datagram.size()) +
                       " bytes from gateway " + std::to_string(from) +
                       " to gateway " + std::to_string(to));
        continue;
      }
      SendDatagram(*socket, datagram, deployment_->Ip(to),
                   deployment_->PeerPort(to));
    }
  }

  const Deployment* deployment_;
  Record* record_;
  std::vector<std::unique_ptr<Socket>> sockets_;
  std::atomic<bool> armed_{false};
  std::atomic<int> lost_{0};
};

std::string ConfigurationWith(const Words& words, int version,
                              const std::string& key) {
  Route route;
  route.prefix = "/status/";
  route.kind = "safe";
  route.service = "app";
  return ConfigurationOf(words, version, {route}, {"app", "model"},
                         {{"acme", {"key-1"}}, {"brand", {key}}});
}

// Sends one request with each key to each gateway. Returns how many were
// handled as only the older configuration allows.
int CountOutdated(const Words& words, const Deployment& deployment, int round,
                  Record* record) {
  int outdated = 0;
  for (int gateway = 0; gateway < deployment.Count(); ++gateway) {
    for (const std::string key : {kOldKey, kNewKey}) {
      Request request;
      request.path = "/status/x";
      request.id =
          key + "-" + std::to_string(gateway) + "-" + std::to_string(round);
      request.key = key;
      const Answer answer =
          SendRequest(words, deployment.Ip(gateway), deployment.CallerPort(),
                      request, kLimit);
      record->Write("client gets " + std::to_string(answer.status) + " for " +
                    request.id + " from gateway " + std::to_string(gateway));
      constexpr int kUnauthorised = 401;
      const bool is_outdated =
          key == kOldKey ? answer.IsSuccess() : answer.status == kUnauthorised;
      outdated += is_outdated ? 1 : 0;
    }
  }
  return outdated;
}

using Servers = std::vector<std::unique_ptr<Server>>;

// Starts the servers: those of service "model" by zone, then one of "app".
Servers StartServers(const Words* words, Record* record, Store* store) {
  Servers servers;
  for (int zone = 1; zone <= kZones; ++zone) {
    for (int i = 0; i < kServersOfZone; ++i) {
      ServerEntry entry;
      entry.id = "i-" + std::to_string(zone) + std::to_string(10000000 + i);
      entry.service = "model";
      entry.zone = "z" + std::to_string(zone);
      servers.push_back(std::make_unique<Server>(
          entry, "127.0.3." + std::to_string(zone), words, record));
    }
  }
  ServerEntry entry;
  entry.id = "i-90000000";
  entry.service = "app";
  entry.zone = "z1";
  servers.push_back(
      std::make_unique<Server>(entry, "127.0.3.9", words, record));
  for (const auto& server : servers) {
    store->Put(KeyOf(server->Entry()), ValueOf(server->Entry()));
  }
  return servers;
}

// The servers of the last zone say that they leave, and the operator changes
// the configuration while they do.
void EmptyZone(const Words& words, const Servers& servers, Store* store,
               Record* record) {
  const std::size_t first =
      static_cast<std::size_t>(kZones - 1) * kServersOfZone;
  for (int i = 0; i < kServersOfZone; ++i) {
    servers[first + static_cast<std::size_t>(i)]->SayDraining(store);
    if (i == kServersOfZone / 4) {
      store->Put(words.Of("configuration_key"),
                 ConfigurationWith(words, 4, kNewKey));
      record->Write("the store acknowledges configuration 4");
    }
    std::this_thread::sleep_for(kNotice / kServersOfZone +
                                std::chrono::microseconds(250));
  }
  record->Write("all servers of zone 3 are draining");
}

[[noreturn]] void Run(const Options& options) {
  const Words words(options.words);
  Record record(options.record);
  Store store("127.0.3.100", &words);
  const Servers servers = StartServers(&words, &record, &store);
  store.Put(words.Of("configuration_key"),
            ConfigurationWith(words, 3, kOldKey));
  Deployment deployment(options, &words, store.Address(), kGateways, true);
  Links links(&deployment, &record);
  if (!deployment.Start()) {
    std::cerr << "the gateways are not ready\n";
    deployment.Stop();
    EndCase(kCouldNotRun);
  }
  std::this_thread::sleep_for(kSettling);
  if (options.trouble) {
    links.LoseOne();
  }
  EmptyZone(words, servers, &store, &record);
  std::this_thread::sleep_for(kApply + kContact + kMargin);
  int outdated = 0;
  for (int round = 0; round < kRounds; ++round) {
    outdated += CountOutdated(words, deployment, round, &record);
    std::this_thread::sleep_for(kRoundInterval);
  }
  const std::string summary =
      std::to_string(links.Lost()) + " datagrams lost; of " +
      std::to_string(2 * kGateways * kRounds) + " requests sent more than " +
      std::to_string((kApply + kContact + kMargin).count()) +
      " ms after the acknowledgement, " + std::to_string(outdated) +
      " were handled as only the older configuration allows";
  record.Write(summary);
  std::cout << summary << "\n";
  const bool ran =
      deployment.AllRun() && (!options.trouble || links.Lost() == 1);
  deployment.Stop();
  EndCase(!ran ? kCouldNotRun : outdated > 0 ? kBroken : kHeld);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Run(review::ParseOptions(argc, argv));
}
