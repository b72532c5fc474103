#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"
#include "standins/servers.h"

namespace harecrank::standins {
namespace {

using nlohmann::json;
using Poco::Net::StreamSocket;

constexpr std::size_t kBufferBytes = 16384;
constexpr std::chrono::milliseconds kPollInterval{5};
constexpr std::int64_t kMicrosPerMilli = 1000;

// The faults in force. Each affects existing and new connections.
struct Faults {
  // Existing connections are closed, and new ones are closed at once.
  std::atomic<bool> cut{false};
  // Existing and new connections are reset.
  std::atomic<bool> reset{false};
  // No bytes are forwarded in either direction until the fault is removed.
  std::atomic<bool> freeze{false};
  // No bytes are forwarded in one direction, which is how a one-way loss of
  // packets appears to users of TCP. Upstream is from the caller to the target.
  std::atomic<bool> stall_upstream{false};
  std::atomic<bool> stall_downstream{false};
  // New connections are accepted and nothing is forwarded.
  std::atomic<bool> half_open{false};
  // Delay of each block of bytes that is forwarded.
  std::atomic<int> delay_ms{0};
  // Zero for no limit.
  std::atomic<std::int64_t> bytes_per_second{0};
};

class FaultProxy : public StandIn {
 public:
  explicit FaultProxy(const ProxyOptions& options)
      : target_(options.target),
        listener_(Poco::Net::SocketAddress(options.listen)) {
    HttpServerOptions control;
    control.address = options.control;
    control_ = std::make_unique<HttpServer>(
        control, [this](Poco::Net::HTTPServerRequest& request,
                        Poco::Net::HTTPServerResponse& response) {
          std::string body;
          ReadBody(request, kBufferBytes, &body);
          SetFaults(json::parse(body));
          SendResponse(response, http_status::kOk, "{}");
        });
    acceptor_ = std::thread([this] { Accept(); });
  }

  ~FaultProxy() override {
    stopping_ = true;
    acceptor_.join();
    for (std::thread& thread : connection_threads_) {
      thread.join();
    }
  }

 private:
  void SetFaults(const json& fault) {
    faults_.reset = fault.value("reset", false);
    // `cut` ends the forwarding loops; Shutdown then applies `reset`.
    faults_.cut = faults_.reset || fault.value("cut", false);
    faults_.freeze = fault.value("freeze", false);
    faults_.stall_upstream = fault.value("hold_up", false);
    faults_.stall_downstream = fault.value("hold_down", false);
    faults_.half_open = fault.value("half_open", false);
    faults_.delay_ms = fault.value("delay_ms", 0);
    faults_.bytes_per_second = fault.value("bytes_per_second", 0);
  }

  void Accept() {
    const Poco::Timespan wait(kPollInterval.count() * kMicrosPerMilli);
    while (!stopping_) {
      if (!listener_.poll(wait, Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      StreamSocket caller = listener_.acceptConnection();
      if (faults_.cut) {
        Shutdown(&caller);
        caller.close();
        continue;
      }
      connection_threads_.emplace_back([this, caller] { Serve(caller); });
    }
  }

  void Serve(StreamSocket caller) {
    while (faults_.half_open && !faults_.cut && !stopping_) {
      std::this_thread::sleep_for(kPollInterval);
    }
    StreamSocket target;
    try {
      target.connect(Poco::Net::SocketAddress(target_));
      target.setNoDelay(true);
      caller.setNoDelay(true);
    } catch (const Poco::Exception&) {
      caller.close();
      return;
    }
    std::thread downstream(
        [&] { Forward(target, caller, &faults_.stall_downstream); });
    Forward(caller, target, &faults_.stall_upstream);
    downstream.join();
  }

  // Forwards bytes until either side closes its connection or `cut` is set.
  void Forward(StreamSocket from, StreamSocket to,
               const std::atomic<bool>* stalled) {
    std::array<char, kBufferBytes> buffer{};
    const Poco::Timespan wait(kPollInterval.count() * kMicrosPerMilli);
    try {
      while (!faults_.cut && !stopping_) {
        if (faults_.freeze || *stalled) {
          std::this_thread::sleep_for(kPollInterval);
          continue;
        }
        if (!from.poll(wait, Poco::Net::Socket::SELECT_READ)) {
          continue;
        }
        const int received =
            from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (received <= 0) {
          break;
        }
        Throttle(received);
        to.sendBytes(buffer.data(), received);
      }
    } catch (const Poco::Exception&) {
      // One side has closed or reset its connection. The other one is closed
      // below.
    }
    Shutdown(&from);
    Shutdown(&to);
  }

  void Throttle(int bytes) const {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(faults_.delay_ms.load()));
    const std::int64_t rate = faults_.bytes_per_second;
    if (rate > 0) {
      std::this_thread::sleep_for(std::chrono::duration<double>(
          static_cast<double>(bytes) / static_cast<double>(rate)));
    }
  }

  void Shutdown(StreamSocket* socket) const {
    try {
      if (faults_.reset) {
        // Closing with a linger time of zero discards unsent bytes and sends a
        // reset.
        socket->setLinger(true, 0);
        socket->close();
        return;
      }
      socket->shutdown();
    } catch (const Poco::Exception&) {
      // The socket is closed already.
    }
  }

  std::string target_;
  Faults faults_;
  std::atomic<bool> stopping_{false};
  Poco::Net::ServerSocket listener_;
  std::unique_ptr<HttpServer> control_;
  std::list<std::thread> connection_threads_;
  std::thread acceptor_;
};

}  // namespace

std::unique_ptr<StandIn> MakeFaultProxy(const ProxyOptions& options) {
  return std::make_unique<FaultProxy>(options);
}

}  // namespace harecrank::standins
