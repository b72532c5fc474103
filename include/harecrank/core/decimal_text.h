// Parsing of decimal numbers in messages from other processes.

#ifndef HARECRANK_CORE_DECIMAL_TEXT_H_
#define HARECRANK_CORE_DECIMAL_TEXT_H_

#include <optional>
#include <string_view>

namespace harecrank {

// Returns the finite, non-negative decimal number in `text`, or nothing if
// `text` is anything else. Spaces and tabs around the number are allowed.
std::optional<double> ParseDecimal(std::string_view text);

}  // namespace harecrank

#endif  // HARECRANK_CORE_DECIMAL_TEXT_H_
