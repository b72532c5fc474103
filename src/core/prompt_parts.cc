#include "harecrank/core/prompt_parts.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <system_error>

namespace harecrank {
namespace {

constexpr int kHexadecimal = 16;

PromptPartId IdOf(std::string_view name) {
  std::uint64_t value = 0;
  const char* const end = name.data() + name.size();
  const auto [last, error] =
      std::from_chars(name.data(), end, value, kHexadecimal);
  if (error != std::errc{} || last != end) {
    value = XXH3_64bits(name.data(), name.size());
  }
  return PromptPartId{value};
}

std::string_view Trim(std::string_view text) {
  const auto is_blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && is_blank(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && is_blank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

std::vector<PromptPartId> SharedPartsOf(std::string_view list) {
  std::vector<PromptPartId> parts;
  // The text after the last comma describes the last part.
  for (std::size_t comma = list.find(',');
       comma != std::string_view::npos && parts.size() < kMaxSharedParts;
       comma = list.find(',')) {
    const std::string_view entry = list.substr(0, comma);
    list.remove_prefix(comma + 1);
    const std::string_view name = Trim(entry.substr(0, entry.find(':')));
    if (name.empty()) {
      continue;
    }
    const PromptPartId part = IdOf(name);
    if (std::find(parts.begin(), parts.end(), part) == parts.end()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::string LogName(PromptPartId part) {
  std::ostringstream text;
  text << std::hex << part.value;
  return text.str();
}

}  // namespace harecrank
