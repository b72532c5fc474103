#include "src/adapters/link_server.h"

#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include "src/adapters/logging.h"
#include "src/adapters/websocket_config.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using Server = websocketpp::server<websocketpp::config::asio>;
using Handle = websocketpp::connection_hdl;
using HandleLess = std::owner_less<Handle>;

}  // namespace

class LinkServer::Impl {
 public:
  Impl(const std::string& address, Handlers handlers)
      : handlers_(std::move(handlers)), log_(GetLog("link_server")) {
    internal::SetUpWebsocket(&server_);
    server_.set_reuse_addr(true);
    server_.set_open_handler([this](const Handle& handle) { OnOpen(handle); });
    server_.set_close_handler(
        [this](const Handle& handle) { OnClose(handle); });
    server_.set_message_handler(
        [this](const Handle& handle, const Server::message_ptr& message) {
          OnMessage(handle, message->get_payload());
        });
    const auto colon = address.rfind(':');
    server_.listen(address.substr(0, colon), address.substr(colon + 1));
  }

  ~Impl() { Stop(); }

  void Start() {
    server_.start_accept();
    thread_ = std::thread([this] { Run(); });
  }

  bool Send(ConnectionId connection, const wire::Message& message) {
    Handle handle;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto found = handles_.find(connection.value);
      if (found == handles_.end()) {
        return false;
      }
      handle = found->second;
    }
    websocketpp::lib::error_code error;
    server_.send(handle, wire::Encode(message),
                 websocketpp::frame::opcode::binary, error);
    return !error;
  }

  void Close(ConnectionId connection) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = handles_.find(connection.value);
    if (found != handles_.end()) {
      websocketpp::lib::error_code ignored;
      server_.close(found->second, websocketpp::close::status::going_away, "",
                    ignored);
    }
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    server_.stop();
    thread_.join();
  }

 private:
  // Runs the event loop. If the handling of a message throws, the message is
  // dropped and the loop continues, so that one message cannot end the process.
  void Run() {
    while (true) {
      try {
        server_.run();
        return;
      } catch (const std::exception& error) {
        LOG4CXX_ERROR(log_, "message dropped: exception in the event loop: "
                                << error.what());
      }
    }
  }

  void OnOpen(const Handle& handle) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const ConnectionId id{next_id_++};
    ids_.emplace(handle, id);
    handles_.emplace(id.value, handle);
  }

  void OnClose(const Handle& handle) {
    ConnectionId id;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      id = IdOf(handle);
      ids_.erase(handle);
      handles_.erase(id.value);
    }
    handlers_.on_close(id);
  }

  void OnMessage(const Handle& handle, const std::string& payload) {
    ConnectionId id;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      id = IdOf(handle);
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(message, wire::Decode(payload));
          handlers_.on_message(id, std::move(message));
          return {};
        },
        [&](const wire::WireError& error) { Reject(id, Describe(error)); },
        [&] { Reject(id, "unexpected error type"); });
  }

  void Reject(ConnectionId id, const std::string& reason) {
    LOG4CXX_WARN(log_,
                 "link " << id.value << " closed: invalid message: " << reason);
    Close(id);
  }

  ConnectionId IdOf(const Handle& handle) const {
    const auto found = ids_.find(handle);
    return found == ids_.end() ? ConnectionId{} : found->second;
  }

  Handlers handlers_;
  log4cxx::LoggerPtr log_;
  Server server_;
  std::thread thread_;
  std::mutex mutex_;
  std::map<Handle, ConnectionId, HandleLess> ids_;
  std::map<std::uint64_t, Handle> handles_;
  std::uint64_t next_id_ = 1;
};

LinkServer::LinkServer(const std::string& address, Handlers handlers)
    : impl_(std::make_unique<Impl>(address, std::move(handlers))) {}
LinkServer::~LinkServer() = default;

void LinkServer::Start() { impl_->Start(); }

bool LinkServer::Send(ConnectionId connection, const wire::Message& message) {
  return impl_->Send(connection, message);
}

void LinkServer::Close(ConnectionId connection) { impl_->Close(connection); }

void LinkServer::Stop() { impl_->Stop(); }

}  // namespace harecrank
