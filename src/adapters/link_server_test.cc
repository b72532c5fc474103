// Guards against a link server that accepts connections while it is being
// constructed: its owner has no pointer to it yet, so a handler that answers
// the first message of an entry host dereferences a null pointer.

#include "src/adapters/link_server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "src/adapters/link_client.h"
#include "testing/loopback.h"

namespace harecrank {
namespace {

constexpr Millis kObservationTime{100};
constexpr Millis kTimeout{5000};

// Opens links repeatedly, and sends Hello on each.
class HelloSender {
 public:
  explicit HelloSender(std::string address)
      : address_(std::move(address)),
        client_(MakeHandlers()),
        dial_thread_([this] { DialAll(); }) {}
  ~HelloSender() {
    stopping_ = true;
    dial_thread_.join();
    client_.Stop();
  }
  HelloSender(const HelloSender&) = delete;
  HelloSender& operator=(const HelloSender&) = delete;

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
  std::thread dial_thread_;
};

TEST_CASE("A link server delivers no message before Start") {
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
    const HelloSender hello_sender(address);
    std::this_thread::sleep_for(kObservationTime);
    CHECK(messages == 0);
    server.Start();
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (messages == 0 && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(Millis(5));
    }
    CHECK(messages > 0);
  }
  server.Stop();
}

}  // namespace
}  // namespace harecrank
