// Formats the HTTP heads and chunks that the gateway sends.

#ifndef HARECRANK_SRC_GATEWAY_MESSAGE_TEXT_H_
#define HARECRANK_SRC_GATEWAY_MESSAGE_TEXT_H_

#include <boost/beast/http/fields.hpp>
#include <set>
#include <string>
#include <string_view>

#include "src/gateway/response_sink.h"

namespace harecrank {

// The headers of one message that are hop-by-hop and must not be forwarded.
class HopByHopHeaders {
 public:
  // `fields` are those of the message, whose Connection headers may name
  // further headers.
  explicit HopByHopHeaders(const boost::beast::http::fields& fields);

  bool Contains(std::string_view name) const;

 private:
  // In lower case.
  std::set<std::string> named_;
};

// Appends "Name: value" and CRLF.
void AppendHeader(std::string_view name, std::string_view value,
                  std::string* text);

// Appends the status line and the headers of a response, without the empty line
// that ends the head.
void AppendAnswerHead(const ResponseHead& head, std::string* text);

// Appends `bytes` as one chunk of the chunked transfer coding. Does nothing if
// `bytes` is empty, since an empty chunk ends the body.
void AppendChunk(std::string_view bytes, std::string* text);

// The chunk that ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_MESSAGE_TEXT_H_
