// The difference between two texts that are mostly alike, such as two versions
// of a published configuration.

#ifndef HARECRANK_CORE_TEXT_EDITS_H_
#define HARECRANK_CORE_TEXT_EDITS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace harecrank {

// A run of the older text that the newer one keeps, and what follows it there.
struct TextEdit {
  // In bytes from the beginning of the older text.
  std::size_t copy_offset = 0;
  std::size_t copy_size = 0;
  std::string inserted;
};

// Returns edits that lead from `base` to `next`. Texts are compared piece by
// piece, where a piece ends with a closing brace; a piece that moved is found
// again. Takes time in proportion to the texts' sizes.
std::vector<TextEdit> DiffTexts(const std::string& base,
                                const std::string& next);

// Returns what `edits` make of `base`, or nothing if they keep what it does not
// have.
std::optional<std::string> ApplyEdits(const std::string& base,
                                      const std::vector<TextEdit>& edits);

}  // namespace harecrank

#endif  // HARECRANK_CORE_TEXT_EDITS_H_
