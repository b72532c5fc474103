#include "src/gateway/message_text.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cstdio>

namespace harecrank {
namespace {

namespace beast = boost::beast;

beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view FromBeast(beast::string_view text) {
  return {text.data(), text.size()};
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = beast::detail::ascii_tolower(c);
  }
  return lower;
}

}  // namespace

HopByHopHeaders::HopByHopHeaders(const beast::http::fields& fields) {
  const auto [first, last] = fields.equal_range(beast::http::field::connection);
  for (auto field = first; field != last; ++field) {
    for (const beast::string_view token :
         beast::http::token_list(field->value())) {
      named_.insert(LowerCase(FromBeast(token)));
    }
  }
}

bool HopByHopHeaders::Contains(std::string_view name) const {
  // The hop-by-hop headers of RFC 9110, section 7.6.1. Content-Length is added
  // because the gateway frames the body anew on each connection.
  constexpr std::array<std::string_view, 10> kNames = {
      "Connection",         "Keep-Alive", "Proxy-Connection", "TE",
      "Transfer-Encoding",  "Trailer",    "Upgrade",          "Content-Length",
      "Proxy-Authenticate", "Expect"};
  for (const std::string_view known : kNames) {
    if (beast::iequals(ToBeast(known), ToBeast(name))) {
      return true;
    }
  }
  return !named_.empty() && named_.count(LowerCase(name)) != 0;
}

void AppendHeader(std::string_view name, std::string_view value,
                  std::string* text) {
  text->append(name);
  text->append(": ");
  text->append(value);
  text->append("\r\n");
}

void AppendAnswerHead(const ResponseHead& head, std::string* text) {
  text->append("HTTP/1.1 ");
  text->append(std::to_string(head.result_int()));
  text->append(" ");
  text->append(FromBeast(head.reason()));
  text->append("\r\n");
  const HopByHopHeaders hop_by_hop(head);
  for (const auto& field : head) {
    const std::string_view name = FromBeast(field.name_string());
    if (!hop_by_hop.Contains(name)) {
      AppendHeader(name, FromBeast(field.value()), text);
    }
  }
}

void AppendChunk(std::string_view bytes, std::string* text) {
  if (bytes.empty()) {
    return;
  }
  constexpr std::size_t kMaxSizeText = 24;
  std::array<char, kMaxSizeText> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  text->append(size.data(), static_cast<std::size_t>(length));
  text->append(bytes);
  text->append("\r\n");
}

}  // namespace harecrank
