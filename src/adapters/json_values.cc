#include "src/adapters/json_values.h"

namespace harecrank {

bool HasFewJsonValues(std::string_view text, std::size_t max_values) {
  // Each value but the first follows one of these characters.
  std::size_t values = 1;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string && c == '\\') {
      ++i;
    } else if (c == '"') {
      in_string = !in_string;
    } else if (!in_string && (c == ',' || c == '[' || c == '{')) {
      if (++values > max_values) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace harecrank
