#include "src/adapters/link_client.h"

#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "src/adapters/logging.h"
#include "src/adapters/websocket_config.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr long kOpenTimeoutMs = 2000;
constexpr long kCloseTimeoutMs = 500;

}  // namespace

class LinkClient::Impl {
 public:
  explicit Impl(Handlers handlers)
      : handlers_(std::move(handlers)), log_(GetLog("link_client")) {
    internal::SetUpWebsocket(&client_);
    client_.set_open_handshake_timeout(kOpenTimeoutMs);
    client_.set_close_handshake_timeout(kCloseTimeoutMs);
    client_.start_perpetual();
    thread_ = std::thread([this] { Run(); });
  }

  ~Impl() { Stop(); }

  DialId Dial(const std::string& address) {
    const DialId dial = NewDial();
    websocketpp::lib::error_code error;
    const Client::connection_ptr connection =
        client_.get_connection("ws://" + address + "/link", error);
    if (error) {
      client_.get_io_service().post([this, dial] { OnClose(dial); });
      return dial;
    }
    connection->set_open_handler(
        [this, dial](const Handle&) { handlers_.on_open(dial); });
    connection->set_close_handler(
        [this, dial](const Handle&) { OnClose(dial); });
    connection->set_fail_handler(
        [this, dial](const Handle&) { OnClose(dial); });
    connection->set_message_handler(
        [this, dial](const Handle&, const Client::message_ptr& message) {
          OnMessage(dial, message->get_payload());
        });
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      handles_.emplace(dial.value, connection->get_handle());
    }
    client_.connect(connection);
    return dial;
  }

  bool Send(DialId dial, const wire::Message& message) {
    Handle handle;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto found = handles_.find(dial.value);
      if (found == handles_.end()) {
        return false;
      }
      handle = found->second;
    }
    websocketpp::lib::error_code error;
    client_.send(handle, wire::Encode(message),
                 websocketpp::frame::opcode::binary, error);
    return !error;
  }

  void Close(DialId dial) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = handles_.find(dial.value);
    if (found != handles_.end()) {
      websocketpp::lib::error_code ignored;
      client_.close(found->second, websocketpp::close::status::going_away, "",
                    ignored);
    }
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    client_.stop_perpetual();
    client_.stop();
    thread_.join();
  }

 private:
  // Runs the event loop. If the handling of a message throws, the message is
  // dropped and the loop continues, so that one message cannot end the process.
  void Run() {
    while (true) {
      try {
        client_.run();
        return;
      } catch (const std::exception& error) {
        LOG4CXX_ERROR(log_, "message dropped: exception in the event loop: "
                                << error.what());
      }
    }
  }

  DialId NewDial() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return DialId{next_id_++};
  }

  void OnClose(DialId dial) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      handles_.erase(dial.value);
    }
    handlers_.on_close(dial);
  }

  void OnMessage(DialId dial, const std::string& payload) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(message, wire::Decode(payload));
          handlers_.on_message(dial, std::move(message));
          return {};
        },
        [&](const wire::WireError& error) { Reject(dial, Describe(error)); },
        [&] { Reject(dial, "unexpected error type"); });
  }

  void Reject(DialId dial, const std::string& reason) {
    LOG4CXX_WARN(
        log_, "link " << dial.value << " closed: invalid message: " << reason);
    Close(dial);
  }

  Handlers handlers_;
  log4cxx::LoggerPtr log_;
  Client client_;
  std::thread thread_;
  std::mutex mutex_;
  std::map<std::uint64_t, Handle> handles_;
  std::uint64_t next_id_ = 1;
};

LinkClient::LinkClient(Handlers handlers)
    : impl_(std::make_unique<Impl>(std::move(handlers))) {}
LinkClient::~LinkClient() = default;

DialId LinkClient::Dial(const std::string& address) {
  return impl_->Dial(address);
}

bool LinkClient::Send(DialId dial, const wire::Message& message) {
  return impl_->Send(dial, message);
}

void LinkClient::Close(DialId dial) { impl_->Close(dial); }

void LinkClient::Stop() { impl_->Stop(); }

}  // namespace harecrank
