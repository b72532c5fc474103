// The websocketpp options that both sides of a link share.

#ifndef HARECRANK_SRC_ADAPTERS_WEBSOCKET_CONFIG_H_
#define HARECRANK_SRC_ADAPTERS_WEBSOCKET_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <websocketpp/common/connection_hdl.hpp>
#include <websocketpp/logger/levels.hpp>

#include "src/adapters/wire.h"

namespace harecrank::internal {

// Applies the common options to a websocketpp server or client.
template <typename Endpoint>
void SetUpWebsocket(Endpoint* endpoint) {
  endpoint->clear_access_channels(websocketpp::log::alevel::all);
  endpoint->clear_error_channels(websocketpp::log::elevel::all);
  endpoint->init_asio();
  endpoint->set_max_message_size(wire::kMaxFrameBytes);
  endpoint->set_tcp_post_init_handler(
      [endpoint](const websocketpp::connection_hdl& handle) {
        websocketpp::lib::error_code none;
        const auto connection = endpoint->get_con_from_hdl(handle, none);
        if (!connection) {
          return;
        }
        // Without this, Nagle's algorithm would delay a token until the next
        // one fills a segment.
        boost::system::error_code ignored;
        connection->get_raw_socket().set_option(
            boost::asio::ip::tcp::no_delay(true), ignored);
      });
}

}  // namespace harecrank::internal

#endif  // HARECRANK_SRC_ADAPTERS_WEBSOCKET_CONFIG_H_
