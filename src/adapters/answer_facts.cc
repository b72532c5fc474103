#include "src/adapters/answer_facts.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace harecrank {
namespace {

namespace http = boost::beast::http;

// Beast's form of a version: 11 is HTTP/1.1.
constexpr unsigned kMajorVersion = 10;

bool HasReset(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  // Closed by the peer alone, the connection would still wait for this side.
  return ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

// Returns whether all bytes that were written have been acknowledged, as far as
// the system tells.
bool HasArrived(int descriptor) {
  int queued = 0;
  return ::ioctl(descriptor, SIOCOUTQ, &queued) != 0 || queued == 0;
}

}  // namespace

AnswerHead FactsOf(const http::response_header<http::fields>& head) {
  AnswerHead facts;
  facts.status = head.result_int();
  facts.minor_version = head.version() % kMajorVersion;
  facts.has_length = head.count(http::field::content_length) != 0;
  const auto [first, last] = head.equal_range(http::field::transfer_encoding);
  for (auto field = first; field != last; ++field) {
    const std::string before = facts.transfer_coding.has_value()
                                   ? *facts.transfer_coding + ", "
                                   : std::string();
    facts.transfer_coding = before + std::string(field->value());
  }
  return facts;
}

ConnectionEnd AskEnd(boost::asio::ip::tcp::socket* socket, bool write_failed,
                     bool is_written) {
  ConnectionEnd end;
  end.closed_in_order = true;
  end.other_operation_failed = write_failed;
  end.was_reset = HasReset(socket->native_handle());
  end.request_arrived = is_written && HasArrived(socket->native_handle());
  return end;
}

}  // namespace harecrank
