// The text of HTTP heads and chunks that the gateway sends.

#ifndef HARECRANK_SRC_GATEWAY_MESSAGE_TEXT_H_
#define HARECRANK_SRC_GATEWAY_MESSAGE_TEXT_H_

#include <boost/beast/http/fields.hpp>
#include <set>
#include <string>
#include <string_view>

#include "src/gateway/response_sink.h"

namespace harecrank {

// Returns whether the header `name` concerns one connection only, and so is
// not passed on. `connection` is the value of the message's Connection header,
// which may name more.
bool IsHopByHop(std::string_view name, std::string_view connection);

// Appends "Name: value" and the line's end.
void AppendHeader(std::string_view name, std::string_view value,
                  std::string* text);

// Appends status line and headers of an answer, without the empty line that
// ends a head.
void AppendAnswerHead(const ResponseHead& head, std::string* text);

// Appends `bytes` as one chunk. Appends nothing if there are none, since an
// empty chunk ends a body.
void AppendChunk(std::string_view bytes, std::string* text);

// The chunk that ends a body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_MESSAGE_TEXT_H_
