#include "src/gateway/request_framing.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace harecrank {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int kVersion11 = 11;
// What a field occupies beside its name and value: its links in the list and
// the index of the fields, and the allocation.
constexpr std::size_t kFieldOverhead = 96;

// The codings of one Transfer-Encoding field.
struct Codings {
  int count = 0;
  bool last_is_chunked = false;
};

Codings CodingsOf(beast::string_view value) {
  Codings codings;
  for (const beast::string_view coding : http::token_list(value)) {
    ++codings.count;
    codings.last_is_chunked = beast::iequals(coding, "chunked");
  }
  return codings;
}

}  // namespace

FramingCheck CheckFraming(const RequestHead& head) {
  const auto [first, last] = head.equal_range(http::field::transfer_encoding);
  if (first == last) {
    return FramingCheck::kKnown;
  }
  if (std::next(first) != last || head.version() < kVersion11) {
    return FramingCheck::kNoEnd;
  }
  const Codings codings = CodingsOf(first->value());
  if (!codings.last_is_chunked) {
    return FramingCheck::kNoEnd;
  }
  const bool is_chunked_only =
      codings.count == 1 && beast::iequals(first->value(), "chunked");
  return is_chunked_only ? FramingCheck::kKnown : FramingCheck::kUnknownCoding;
}

std::size_t HeadMemory(const RequestHead& head) {
  std::size_t bytes = 0;
  for (const auto& field : head) {
    bytes += kFieldOverhead + field.name_string().size() + field.value().size();
  }
  return bytes;
}

}  // namespace harecrank
