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

constexpr std::size_t kPiece = 16384;
constexpr std::chrono::milliseconds kPoll{5};
constexpr std::int64_t kMicrosPerMilli = 1000;

// The faults in force. Each takes effect on connections old and new.
struct Faults {
  // Connections are closed, and new ones refused.
  std::atomic<bool> cut{false};
  // Connections are reset, and new ones too.
  std::atomic<bool> reset{false};
  // Bytes are held both ways until it ends.
  std::atomic<bool> freeze{false};
  // Bytes of one direction are held: a one-way loss, as TCP shows it.
  std::atomic<bool> hold_up{false};
  std::atomic<bool> hold_down{false};
  // New connections are taken and nothing is forwarded.
  std::atomic<bool> half_open{false};
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
          ReadBody(request, kPiece, &body);
          Set(json::parse(body));
          SendResponse(response, http_status::kOk, "{}");
        });
    acceptor_ = std::thread([this] { Accept(); });
  }

  ~FaultProxy() override {
    stopping_ = true;
    acceptor_.join();
    for (std::thread& thread : pumps_) {
      thread.join();
    }
  }

 private:
  void Set(const json& fault) {
    faults_.reset = fault.value("reset", false);
    // The pumps end by `cut`, and then close as `reset` says.
    faults_.cut = faults_.reset || fault.value("cut", false);
    faults_.freeze = fault.value("freeze", false);
    faults_.hold_up = fault.value("hold_up", false);
    faults_.hold_down = fault.value("hold_down", false);
    faults_.half_open = fault.value("half_open", false);
    faults_.delay_ms = fault.value("delay_ms", 0);
    faults_.bytes_per_second = fault.value("bytes_per_second", 0);
  }

  void Accept() {
    const Poco::Timespan wait(kPoll.count() * kMicrosPerMilli);
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
      pumps_.emplace_back([this, caller] { Serve(caller); });
    }
  }

  void Serve(StreamSocket caller) {
    while (faults_.half_open && !faults_.cut && !stopping_) {
      std::this_thread::sleep_for(kPoll);
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
    std::thread down([&] { Pump(target, caller, &faults_.hold_down); });
    Pump(caller, target, &faults_.hold_up);
    down.join();
  }

  // Forwards until either side ends, or the proxy is cut.
  void Pump(StreamSocket from, StreamSocket to, const std::atomic<bool>* held) {
    std::array<char, kPiece> piece{};
    const Poco::Timespan wait(kPoll.count() * kMicrosPerMilli);
    try {
      while (!faults_.cut && !stopping_) {
        if (faults_.freeze || *held) {
          std::this_thread::sleep_for(kPoll);
          continue;
        }
        if (!from.poll(wait, Poco::Net::Socket::SELECT_READ)) {
          continue;
        }
        const int got =
            from.receiveBytes(piece.data(), static_cast<int>(piece.size()));
        if (got <= 0) {
          break;
        }
        Hold(got);
        to.sendBytes(piece.data(), got);
      }
    } catch (const Poco::Exception&) {
      // Ended by one of the sides; the other learns below.
    }
    Shutdown(&from);
    Shutdown(&to);
  }

  void Hold(int bytes) const {
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
        // To close with no time to linger discards what is unsent and resets.
        socket->setLinger(true, 0);
        socket->close();
        return;
      }
      socket->shutdown();
    } catch (const Poco::Exception&) {
      // It was closed already.
    }
  }

  std::string target_;
  Faults faults_;
  std::atomic<bool> stopping_{false};
  Poco::Net::ServerSocket listener_;
  std::unique_ptr<HttpServer> control_;
  std::list<std::thread> pumps_;
  std::thread acceptor_;
};

}  // namespace

std::unique_ptr<StandIn> MakeFaultProxy(const ProxyOptions& options) {
  return std::make_unique<FaultProxy>(options);
}

}  // namespace harecrank::standins
