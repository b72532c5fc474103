#include "review/peers/peers.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kMaxDigits = 12;
constexpr Millis kReadyTimeout{15000};
constexpr Millis kReadyInterval{50};
constexpr Millis kCallTimeout{2000};
constexpr Millis kStopTimeout{10000};

sockaddr_in SocketAddress(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool BindTo(const Socket& socket, const std::string& ip, std::uint16_t port) {
  const sockaddr_in address = SocketAddress(ip, port);
  return bind(socket.Descriptor(), reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0;
}

[[noreturn]] void GiveUp(const std::string& reason) {
  std::cerr << reason << "\n";
  std::_Exit(kCouldNotRun);
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Trim(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos) {
    return "";
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::string EncodeBase64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned kMask = 63;
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const unsigned char byte =
          i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0;
      group = group << 8U | byte;
    }
    for (unsigned k = 0; k < 4; ++k) {
      const bool is_padding = i + k > bytes.size();
      text.push_back(is_padding ? '='
                                : kDigits[group >> (18U - 6U * k) & kMask]);
    }
  }
  return text;
}

// Returns the number of the parameter `name` of a query.
std::uint64_t NumberOf(const std::string& query, const std::string& name) {
  const std::size_t at = ("&" + query).find("&" + name + "=");
  return at == std::string::npos
             ? 0
             : std::strtoull(query.c_str() + at + name.size() + 1, nullptr, 10);
}

std::string TextOf(const std::string& query, const std::string& name) {
  const std::size_t at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + name.size() + 1;
  return query.substr(begin, query.find('&', begin) - begin);
}

}  // namespace

Options ParseOptions(int argc, char** argv) {
  constexpr int kArguments = 6;
  if (argc != kArguments) {
    GiveUp("arguments: GATEWAY FOLDER WORDS RECORD TROUBLE");
  }
  std::signal(SIGPIPE, SIG_IGN);
  return Options{argv[1], argv[2], argv[3], argv[4],
                 std::string(argv[5]) != "0"};
}

void EndCase(int code) {
  std::cout.flush();
  std::_Exit(code);
}

Words::Words(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t blank = line.find(' ');
    if (!line.empty() && line.front() != '#' && blank != std::string::npos) {
      words_[line.substr(0, blank)] = line.substr(blank + 1);
    }
  }
}

const std::string& Words::Of(const std::string& name) const {
  const auto found = words_.find(name);
  if (found == words_.end()) {
    GiveUp("no word for " + name);
  }
  return found->second;
}

Record::Record(const std::string& path) : file_(path), start_(Clock::now()) {}

std::int64_t Record::Now() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - start_).count();
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << Now() << " ms " << line << std::endl;
}

Socket::Socket(Socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

void Socket::Close() {
  if (IsOpen()) {
    close(std::exchange(descriptor_, -1));
  }
}

void Socket::Reset() {
  const linger at_once{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  Close();
}

void Socket::Shutdown() const { shutdown(descriptor_, SHUT_RDWR); }

bool Socket::SendAll(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor_, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Socket::Receive(std::size_t most) const {
  std::string bytes(most, '\0');
  const ssize_t count = recv(descriptor_, bytes.data(), most, 0);
  bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(0, count)));
  return bytes;
}

void Socket::SetReceiveTimeout(Millis timeout) const {
  const timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

Socket ListenTcp(const std::string& ip, std::uint16_t port, int receive_bytes) {
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(listener.Descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_bytes > 0) {
    setsockopt(listener.Descriptor(), SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  if (!BindTo(listener, ip, port) ||
      listen(listener.Descriptor(), kBacklog) != 0) {
    GiveUp("cannot listen at " + AddressOf(ip, port));
  }
  return listener;
}

Socket BindUdp(const std::string& ip, std::uint16_t port) {
  Socket bound(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  if (!BindTo(bound, ip, port)) {
    GiveUp("cannot bind " + AddressOf(ip, port));
  }
  return bound;
}

void SendDatagram(const Socket& socket, const std::string& bytes,
                  const std::string& ip, std::uint16_t port) {
  const sockaddr_in address = SocketAddress(ip, port);
  sendto(socket.Descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

Socket ConnectTcp(const std::string& ip, std::uint16_t port) {
  Socket connected(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = SocketAddress(ip, port);
  if (connect(connected.Descriptor(),
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return Socket();
  }
  const int on = 1;
  setsockopt(connected.Descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connected;
}

std::uint16_t PortOf(const Socket& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket.Descriptor(), reinterpret_cast<sockaddr*>(&address),
              &size);
  return ntohs(address.sin_port);
}

std::string AddressOf(const std::string& ip, std::uint16_t port) {
  return ip + ":" + std::to_string(port);
}

void Serve(const Socket* listener, std::function<void(Socket)> handle) {
  std::thread([listener, handle = std::move(handle)] {
    while (true) {
      const int accepted =
          accept4(listener->Descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([handle, accepted] { handle(Socket(accepted)); }).detach();
    }
  }).detach();
}

const std::string& Head::Field(const std::string& name) const {
  static const std::string kNone;
  const auto found = fields.find(LowerCase(name));
  return found == fields.end() ? kNone : found->second;
}

std::int64_t Head::Length() const {
  const std::string& text = Field("content-length");
  return text.empty() ? -1 : std::strtoll(text.c_str(), nullptr, 10);
}

bool Reader::Fill() {
  const std::string bytes = socket_->Receive(kReadBytes);
  buffer_ += bytes;
  return !bytes.empty();
}

bool Reader::ReadLine(std::string* line) {
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Reader::ReadHead(Head* head) {
  *head = Head();
  std::string line;
  if (!ReadLine(&line)) {
    return false;
  }
  std::istringstream words(line);
  std::string word;
  while (words >> word) {
    head->start.push_back(word);
  }
  while (ReadLine(&line)) {
    if (line.empty()) {
      return head->start.size() >= 2;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      head->fields[LowerCase(line.substr(0, colon))] =
          Trim(line.substr(colon + 1));
    }
  }
  return false;
}

std::string Reader::ReadBytes(std::size_t bytes) {
  while (buffer_.size() < bytes && Fill()) {
  }
  std::string read = buffer_.substr(0, bytes);
  buffer_.erase(0, read.size());
  return read;
}

std::string Reader::ReadToEnd() {
  while (Fill()) {
  }
  return std::exchange(buffer_, "");
}

bool Reader::ReadChunks(std::string* body) {
  std::string line;
  while (ReadLine(&line)) {
    const std::size_t size =
        std::strtoull(line.substr(0, kMaxDigits).c_str(), nullptr, 16);
    const std::string chunk = ReadBytes(size);
    *body += chunk;
    if (chunk.size() < size || !ReadLine(&line)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
  return false;
}

Store::Store(const std::string& ip, const Words* words)
    : words_(words),
      listener_(ListenTcp(ip, 0)),
      address_(AddressOf(ip, PortOf(listener_))) {
  Serve(&listener_, [this](Socket socket) { Handle(std::move(socket)); });
}

std::uint64_t Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  const json item = {{"key", key},
                     {"revision", revision_},
                     {"made", revision_},
                     {"lease", 0},
                     {"value", EncodeBase64(value)}};
  items_[key] = item;
  history_.push_back(Change{revision_, item});
  changed_.notify_all();
  return revision_;
}

std::uint64_t Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  items_.erase(key);
  history_.push_back(Change{
      revision_, {{"key", key}, {"revision", revision_}, {"gone", true}}});
  changed_.notify_all();
  return revision_;
}

json Store::Range(const std::string& query) {
  const std::string after = TextOf(query, "after");
  const std::lock_guard<std::mutex> lock(mutex_);
  json items = json::array();
  for (const auto& [key, item] : items_) {
    if (key > after) {
      items.push_back(item);
    }
  }
  return {{"items", items}, {"more", false}, {"at", revision_}};
}

json Store::Watch(const std::string& query) {
  const std::uint64_t after = NumberOf(query, "after");
  const Millis wait(static_cast<std::int64_t>(NumberOf(query, "wait_ms")));
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, wait, [&] { return revision_ > after; });
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision > after) {
      events.push_back(change.event);
    }
  }
  return {{"events", events}, {"at", revision_}};
}

void Store::Handle(Socket connection) {
  Reader reader(&connection);
  Head head;
  while (reader.ReadHead(&head)) {
    const std::string& target = head.start[1];
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string path = target.substr(0, mark);
    const std::string query = target.substr(std::min(mark + 1, target.size()));
    json reply;
    if (path == words_->Of("range_path")) {
      reply = Range(query);
    } else if (path == words_->Of("watch_path")) {
      reply = Watch(query);
    }
    const std::string body = reply.dump();
    const std::string status = reply.is_null() ? "404 None" : "200 OK";
    std::string message = "HTTP/1.1 " + status + "\r\n";
    message += "Content-Type: application/json\r\n";
    message += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!connection.SendAll(message + body)) {
      return;
    }
  }
}

std::string KeyOf(const ServerEntry& entry) { return "servers/" + entry.id; }

std::string ValueOf(const ServerEntry& entry) {
  const json models = json::array(
      {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
  return json({{"service", entry.service},
               {"address", entry.address},
               {"zone", entry.zone},
               {"version", "v1"},
               {"slots", entry.slots},
               {"state", entry.state},
               {"cold_remaining_ms", 0},
               {"stage", "both"},
               {"models", models},
               {"sequence", entry.sequence}})
      .dump();
}

std::string ConfigurationOf(const Words& words, int version,
                            const std::vector<Route>& routes,
                            const std::vector<std::string>& services,
                            const std::vector<Account>& accounts) {
  json list = json::array();
  for (const Route& route : routes) {
    list.push_back({{"name", "r" + std::to_string(list.size())},
                    {"host", kHost},
                    {words.Of("prefix"), route.prefix},
                    {"kind", route.kind},
                    {"timeout_ms", route.timeout_ms},
                    {"target_latency_ms", route.target_ms},
                    {"priority", 1},
                    {"service", route.service},
                    {"max_attempts", route.max_attempts},
                    {"public", false},
                    {"sticky", false},
                    {"resumable", false}});
  }
  json profiles = json::array();
  for (const std::string& service : services) {
    profiles.push_back({{"name", service},
                        {"health_path", "/healthz"},
                        {"max_connections", 400},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  json tenants = json::array();
  for (const Account& account : accounts) {
    tenants.push_back(
        {{"name", account.name}, {words.Of("keys"), account.keys}});
  }
  return json({{"version", version},
               {"routes", list},
               {"services", profiles},
               {"limits",
                {{"max_header_bytes", 16384},
                 {"max_body_bytes", 4194304},
                 {"header_timeout_ms", 10000},
                 {"idle_timeout_ms", 60000}}},
               {"tenants", tenants}})
      .dump();
}

Deployment::Deployment(const Options& options, const Words* words,
                       std::string store, int gateways, bool own_peer_ports)
    : options_(options),
      words_(words),
      store_(std::move(store)),
      own_peer_ports_(own_peer_ports),
      processes_(static_cast<std::size_t>(gateways), -1) {
  // Ports that are free now at the first address; the other addresses belong to
  // this case alone.
  const Socket callers = ListenTcp(Ip(0), 0);
  const Socket readiness = ListenTcp(Ip(0), 0);
  const Socket operations = ListenTcp(Ip(0), 0);
  const Socket peers = ListenTcp(Ip(0), 0);
  caller_port_ = PortOf(callers);
  readiness_port_ = PortOf(readiness);
  operations_port_ = PortOf(operations);
  constexpr std::uint16_t kRoom = 16;
  first_peer_port_ =
      std::min(PortOf(peers), static_cast<std::uint16_t>(UINT16_MAX - kRoom));
}

std::string Deployment::Ip(int gateway) const {
  constexpr int kFirst = 20;
  return "127.0.1." + std::to_string(kFirst + gateway);
}

std::uint16_t Deployment::PeerPort(int gateway) const {
  return static_cast<std::uint16_t>(first_peer_port_ +
                                    (own_peer_ports_ ? gateway : 0));
}

std::string Deployment::SettingsOf(int gateway) const {
  const std::string zone = "z" + std::to_string(gateway + 1);
  json seeds = json::array();
  json regions = json::object();
  for (int i = 0; i < Count(); ++i) {
    seeds.push_back(AddressOf(Ip(i), operations_port_));
    regions["z" + std::to_string(i + 1)] = "home";
  }
  return json({{"node_id", "edge-" + zone},
               {"data_centre", zone},
               {"callers_address", AddressOf(Ip(gateway), caller_port_)},
               {"readiness_address", AddressOf(Ip(gateway), readiness_port_)},
               {"operations_address", AddressOf(Ip(gateway), operations_port_)},
               {"peers_address", AddressOf(Ip(gateway), PeerPort(gateway))},
               {"directory_service", store_},
               {"seed_peers", seeds},
               {"regions", regions},
               {"first_start", true},
               {"repeat_ratio", 0.2},
               {"repeat_allowance", 100},
               {"repeat_window_s", 10},
               {"stop_limit_s", 8},
               {"leave_limit_ms", 2000},
               {"power", 0.19},
               {"memory_mb", 260},
               {"descriptors", 4200}})
      .dump(2);
}

void Deployment::Spawn(int gateway) {
  const std::string stem =
      options_.folder + "/gateway-" + std::to_string(gateway);
  const std::string settings = stem + ".json";
  std::ofstream(settings) << SettingsOf(gateway) << "\n";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = stem + ".log";
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<std::string> words = {options_.gateway, "gateway", "--settings",
                                    settings};
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  pid_t process = -1;
  if (posix_spawn(&process, options_.gateway.c_str(), &actions, nullptr,
                  arguments.data(), environ) != 0) {
    GiveUp("cannot start " + options_.gateway);
  }
  posix_spawn_file_actions_destroy(&actions);
  processes_[static_cast<std::size_t>(gateway)] = process;
}

bool Deployment::IsReady(int gateway) const {
  const Socket socket = ConnectTcp(Ip(gateway), readiness_port_);
  if (!socket.IsOpen()) {
    return false;
  }
  socket.SetReceiveTimeout(kCallTimeout);
  socket.SendAll("GET " + words_->Of("ready_path") +
                 " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  Reader reader(&socket);
  Head head;
  return reader.ReadHead(&head) && head.start[1] == "200";
}

bool Deployment::Start() {
  for (int i = 0; i < Count(); ++i) {
    Spawn(i);
  }
  const Clock::time_point end = Clock::now() + kReadyTimeout;
  for (int i = 0; i < Count(); ++i) {
    while (!IsReady(i)) {
      if (Clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(kReadyInterval);
    }
  }
  return true;
}

bool Deployment::AllRun() const {
  return std::all_of(processes_.begin(), processes_.end(), [](pid_t process) {
    return waitpid(process, nullptr, WNOHANG) == 0;
  });
}

Deployment::~Deployment() { Stop(); }

void Deployment::Stop() {
  for (const pid_t process : processes_) {
    if (process > 0) {
      kill(process, SIGTERM);
    }
  }
  const Clock::time_point end = Clock::now() + kStopTimeout;
  for (const pid_t process : processes_) {
    while (process > 0 && waitpid(process, nullptr, WNOHANG) == 0) {
      if (Clock::now() > end) {
        kill(process, SIGKILL);
      }
      std::this_thread::sleep_for(kReadyInterval);
    }
  }
  processes_.clear();
}

Answer SendRequest(const Words& words, const std::string& ip,
                   std::uint16_t port, const Request& request, Millis limit) {
  Answer answer;
  const Socket socket = ConnectTcp(ip, port);
  if (!socket.IsOpen()) {
    return answer;
  }
  socket.SetReceiveTimeout(limit);
  std::string text =
      request.method + " " + request.path + " HTTP/1.1\r\nHost: " + kHost +
      "\r\n" + words.Of("request_id") + ": " + request.id + "\r\n" +
      words.Of("deadline") + ": " + std::to_string(limit.count()) + "\r\n";
  if (!request.key.empty()) {
    text += "Authorization: Bearer " + request.key + "\r\n";
  }
  for (const std::string& field : request.fields) {
    text += field + "\r\n";
  }
  if (request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  socket.SendAll(text + "\r\n" + request.body);
  Reader reader(&socket);
  if (!reader.ReadHead(&answer.head)) {
    return answer;
  }
  answer.status = std::atoi(answer.head.start[1].c_str());
  const std::int64_t length = answer.head.Length();
  if (answer.head.Field("transfer-encoding") == "chunked") {
    answer.complete = reader.ReadChunks(&answer.body);
  } else if (length >= 0) {
    answer.body = reader.ReadBytes(static_cast<std::size_t>(length));
    answer.complete = answer.body.size() == static_cast<std::size_t>(length);
  } else {
    answer.body = reader.ReadToEnd();
    answer.complete = true;
  }
  return answer;
}

}  // namespace review
