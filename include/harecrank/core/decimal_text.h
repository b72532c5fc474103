// Numbers as other processes write them.

#ifndef HARECRANK_CORE_DECIMAL_TEXT_H_
#define HARECRANK_CORE_DECIMAL_TEXT_H_

#include <optional>
#include <string_view>

namespace harecrank {

// Reads a decimal number, zero or more, with spaces around it; nothing if
// `text` is anything else.
std::optional<double> ParseDecimal(std::string_view text);

}  // namespace harecrank

#endif  // HARECRANK_CORE_DECIMAL_TEXT_H_
