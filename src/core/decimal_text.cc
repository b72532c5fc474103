#include "harecrank/core/decimal_text.h"

#include <charconv>
#include <cmath>

namespace harecrank {
namespace {

std::string_view TrimSpaces(std::string_view text) {
  constexpr std::string_view kSpaces = " \t";
  const std::size_t first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpaces) - first + 1);
}

}  // namespace

std::optional<double> ParseDecimal(std::string_view text) {
  const std::string_view digits = TrimSpaces(text);
  double number = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, number);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  if (!is_number || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

}  // namespace harecrank
