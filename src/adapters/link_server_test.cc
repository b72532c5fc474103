// A link server that takes links from within its own construction may be asked
// before its owner holds it: an entry host's first message is then answered
// through a null pointer.

#include "src/adapters/link_server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "src/adapters/link_client.h"
#include "testing/loopback.h"

namespace harecrank {
namespace {

constexpr Millis kLongEnough{100};
constexpr Millis kLimit{5000};

// Dials until a link is open, and greets on each.
class Greeter {
 public:
  explicit Greeter(std::string address)
      : address_(std::move(address)),
        client_(MakeHandlers()),
        dialling_([this] { DialAll(); }) {}
  ~Greeter() {
    stopping_ = true;
    dialling_.join();
    client_.Stop();
  }
  Greeter(const Greeter&) = delete;
  Greeter& operator=(const Greeter&) = delete;

 private:
  LinkClient::Handlers MakeHandlers() {
    LinkClient::Handlers handlers;
    handlers.on_open = [this](DialId dial) {
      client_.Send(dial, wire::Hello{wire::kProtocolVersion, {}, {}});
    };
    handlers.on_message = [](DialId, const wire::Message&) {};
    handlers.on_close = [](DialId) {};
    return handlers;
  }

  void DialAll() {
    while (!stopping_) {
      client_.Dial(address_);
      std::this_thread::sleep_for(Millis(1));
    }
  }

  std::string address_;
  std::atomic<bool> stopping_{false};
  LinkClient client_;
  std::thread dialling_;
};

TEST_CASE("No message comes before a link server's owner has started it") {
  constexpr int kPort = 29001;
  const std::string address =
      testing::UniqueLoopbackAddress() + ":" + std::to_string(kPort);
  std::atomic<int> messages{0};
  LinkServer::Handlers handlers;
  handlers.on_message = [&messages](ConnectionId, const wire::Message&) {
    ++messages;
  };
  handlers.on_close = [](ConnectionId) {};
  LinkServer server(address, std::move(handlers));
  {
    const Greeter greeter(address);
    std::this_thread::sleep_for(kLongEnough);
    CHECK(messages == 0);
    server.Start();
    const auto limit = std::chrono::steady_clock::now() + kLimit;
    while (messages == 0 && std::chrono::steady_clock::now() < limit) {
      std::this_thread::sleep_for(Millis(5));
    }
    CHECK(messages > 0);
  }
  server.Stop();
}

}  // namespace
}  // namespace harecrank
