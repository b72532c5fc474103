// Checks that the head of a caller's request tells where its body ends.

#ifndef HARECRANK_SRC_GATEWAY_REQUEST_FRAMING_H_
#define HARECRANK_SRC_GATEWAY_REQUEST_FRAMING_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace harecrank {

// Whether the end of a request's body is known.
enum class FramingCheck {
  kKnown,
  // The body has a coding beside "chunked" that this host does not know.
  kUnknownCoding,
  // Its last coding is not "chunked", so that the body has no end.
  kNoEnd
};

using RequestHead =
    boost::beast::http::request_header<boost::beast::http::fields>;

// Checks the Transfer-Encoding of a head. What follows a head of which the
// result is not kKnown must not be read: bytes of its body could be taken for
// further requests (RFC 9112, section 6.3).
FramingCheck CheckFraming(const RequestHead& head);

// Returns about how many bytes the fields of a head occupy in memory. Many
// small fields occupy far more than they have bytes.
std::size_t HeadMemory(const RequestHead& head);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_REQUEST_FRAMING_H_
