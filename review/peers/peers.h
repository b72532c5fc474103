// Stand-ins for the users' platform, its servers and its clients, for the cases
// of the second review. They speak what the users' pages say, with blocking
// sockets and a thread for each connection. The users' words come from
// words.txt.

#ifndef HARECRANK_REVIEW_PEERS_PEERS_H_
#define HARECRANK_REVIEW_PEERS_PEERS_H_

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// What a case is started with.
struct Options {
  std::string gateway;  // The program under test.
  std::string folder;   // For settings and logs; exists and is empty.
  std::string words;    // Path of words.txt.
  std::string record;   // Path of the record to write.
  bool trouble = true;  // Whether the disruption happens.
};

// Parses GATEWAY FOLDER WORDS RECORD TROUBLE. Ends the process with 2 if they
// are not that.
Options ParseOptions(int argc, char** argv);

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Ends the process at once. Threads that wait for connections use objects of
// the function that calls this, so these must not be destroyed before.
[[noreturn]] void EndCase(int code);

// The users' words.
class Words {
 public:
  explicit Words(const std::string& path);
  const std::string& Of(const std::string& name) const;

 private:
  std::map<std::string, std::string> words_;
};

// What was sent, answered and run, a line each, with the milliseconds since the
// start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  std::int64_t Now() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

// A socket that is closed with its owner. Not copyable.
class Socket {
 public:
  explicit Socket(int descriptor = -1) : descriptor_(descriptor) {}
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;

  int Descriptor() const { return descriptor_; }
  bool IsOpen() const { return descriptor_ >= 0; }
  void Close();
  // Closes the connection with a reset.
  void Reset();
  // Ends both directions, or a listener, while other threads use the socket.
  void Shutdown() const;
  bool SendAll(const std::string& bytes) const;
  // Returns up to `most` bytes; empty at the end or on an error.
  std::string Receive(std::size_t most) const;
  void SetReceiveTimeout(Millis timeout) const;

 private:
  int descriptor_;
};

// Listens at `ip`, at a free port if `port` is 0. A `receive_bytes` above 0 is
// the size of the receive buffer of its connections.
Socket ListenTcp(const std::string& ip, std::uint16_t port,
                 int receive_bytes = 0);
Socket BindUdp(const std::string& ip, std::uint16_t port);
void SendDatagram(const Socket& socket, const std::string& bytes,
                  const std::string& ip, std::uint16_t port);
Socket ConnectTcp(const std::string& ip, std::uint16_t port);
std::uint16_t PortOf(const Socket& socket);
std::string AddressOf(const std::string& ip, std::uint16_t port);
// Accepts connections in a thread of its own, each handled in a thread of its
// own. `listener` must outlive the process's use of it.
void Serve(const Socket* listener, std::function<void(Socket)> handle);

// The head of a message, with the names of its fields in lower case.
struct Head {
  std::vector<std::string> start;  // The words of the first line.
  std::map<std::string, std::string> fields;

  const std::string& Field(const std::string& name) const;
  // Returns the announced length of the body, or -1.
  std::int64_t Length() const;
};

// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(const Socket* socket) : socket_(socket) {}
  // Returns false at the end of the connection.
  bool ReadHead(Head* head);
  // Reads `bytes` bytes. Returns fewer if the connection ends before.
  std::string ReadBytes(std::size_t bytes);
  std::string ReadToEnd();
  // Reads a body in chunks. Returns whether its end came.
  bool ReadChunks(std::string* body);

 private:
  bool Fill();
  bool ReadLine(std::string* line);

  const Socket* socket_;
  std::string buffer_;
};

// The platform's store. Thread-safe.
class Store {
 public:
  Store(const std::string& ip, const Words* words);
  const std::string& Address() const { return address_; }
  // Both return the revision of the change, which is acknowledged by then.
  std::uint64_t Put(const std::string& key, const std::string& value);
  std::uint64_t Remove(const std::string& key);

 private:
  struct Change {
    std::uint64_t revision;
    nlohmann::json event;
  };

  void Handle(Socket connection);
  nlohmann::json Range(const std::string& query);
  nlohmann::json Watch(const std::string& query);

  const Words* words_;
  Socket listener_;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::map<std::string, nlohmann::json> items_;
  std::vector<Change> history_;
};

// The fields of a server's entry in the store.
struct ServerEntry {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::string state = "ready";
  int slots = 16;
  int sequence = 1;
};
std::string KeyOf(const ServerEntry& entry);
std::string ValueOf(const ServerEntry& entry);

// A route of the configuration.
struct Route {
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 3000;
  int target_ms = 300;
  int max_attempts = 2;
};
constexpr char kHost[] = "a.example";

struct Account {
  std::string name;
  std::vector<std::string> keys;
};

// Returns a configuration as the operator writes it.
std::string ConfigurationOf(const Words& words, int version,
                            const std::vector<Route>& routes,
                            const std::vector<std::string>& services,
                            const std::vector<Account>& accounts);

// The gateways of one deployment, each with a loopback address of its own.
class Deployment {
 public:
  // `first_ip` is the last number of the first gateway's address, 127.0.1.x.
  // With `own_peer_ports` each has another port for the other gateways, so that
  // a proxy can stand between them: a gateway sends to its own port at the
  // others' addresses.
  Deployment(const Options& options, const Words* words, std::string store,
             int gateways, bool own_peer_ports);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts all and waits until they are ready. Returns whether they are.
  bool Start();
  // Ends all: with SIGTERM, and with SIGKILL those that do not end then.
  void Stop();
  int Count() const { return static_cast<int>(processes_.size()); }
  std::string Ip(int gateway) const;
  std::uint16_t CallerPort() const { return caller_port_; }
  std::uint16_t PeerPort(int gateway) const;
  pid_t Process(int gateway) const {
    return processes_[static_cast<std::size_t>(gateway)];
  }
  // Returns whether all processes still run.
  bool AllRun() const;

 private:
  std::string SettingsOf(int gateway) const;
  void Spawn(int gateway);
  bool IsReady(int gateway) const;

  const Options& options_;
  const Words* words_;
  std::string store_;
  bool own_peer_ports_;
  std::uint16_t caller_port_ = 0;
  std::uint16_t readiness_port_ = 0;
  std::uint16_t operations_port_ = 0;
  std::uint16_t first_peer_port_ = 0;
  std::vector<pid_t> processes_;
};

// One request of a client, and what came back.
struct Request {
  std::string method = "GET";
  std::string path;
  std::string id;
  std::string key;
  std::vector<std::string> fields;  // More lines of the head.
  std::string body;
};
struct Answer {
  int status = 0;  // 0 if none came.
  Head head;
  std::string body;
  bool complete = false;

  bool IsSuccess() const { return status / 100 == 2; }
};
Answer SendRequest(const Words& words, const std::string& ip,
                   std::uint16_t port, const Request& request, Millis limit);

}  // namespace review

#endif  // HARECRANK_REVIEW_PEERS_PEERS_H_
