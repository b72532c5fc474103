// Checks CBOR that comes from others before a parser reads it.
//
// Parsers of CBOR call themselves for each level of nesting. A short message
// that consists of nothing but beginnings of lists would use up the stack.

#ifndef HARECRANK_CORE_CBOR_DEPTH_H_
#define HARECRANK_CORE_CBOR_DEPTH_H_

#include <cstddef>
#include <string_view>

namespace harecrank {

// Maximum nesting of a message. Those of this project nest half as deep.
inline constexpr std::size_t kMaxCborDepth = 32;

// Returns whether `bytes` begin with an item of CBOR (RFC 8949) whose lists,
// maps, tags and pieces of strings nest at most `max_depth` deep. Returns false
// also if the item is cut off or malformed. What follows the item is not read.
bool IsShallowCbor(std::string_view bytes,
                   std::size_t max_depth = kMaxCborDepth);

}  // namespace harecrank

#endif  // HARECRANK_CORE_CBOR_DEPTH_H_
