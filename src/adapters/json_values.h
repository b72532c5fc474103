// Bounds the number of values in JSON that comes from callers.

#ifndef HARECRANK_SRC_ADAPTERS_JSON_VALUES_H_
#define HARECRANK_SRC_ADAPTERS_JSON_VALUES_H_

#include <cstddef>
#include <string_view>

namespace harecrank {

// Maximum number of values in the body of a request, many times that of the
// longest conversation. A parsed value occupies dozens of times the two bytes
// that it may have as text.
inline constexpr std::size_t kMaxJsonValues = 100000;

// Returns whether `text` contains at most `max_values` values, if it is JSON.
bool HasFewJsonValues(std::string_view text,
                      std::size_t max_values = kMaxJsonValues);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_JSON_VALUES_H_
