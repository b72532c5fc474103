// Delta encoding for texts that differ little, such as two versions of a
// published configuration.

#ifndef HARECRANK_CORE_TEXT_EDITS_H_
#define HARECRANK_CORE_TEXT_EDITS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace harecrank {

// A copy-and-insert instruction: a range of the base text, followed by new
// text.
struct TextEdit {
  // Offset and size of the copied range of the base text, in bytes.
  std::size_t copy_offset = 0;
  std::size_t copy_size = 0;
  std::string inserted;
};

// Returns edits that transform `base` into `next`. The texts are compared by
// chunks, each of which ends with a closing brace. A chunk of `next` is copied
// even if it stands at another place in `base`. Takes time linear in the sizes
// of the texts.
std::vector<TextEdit> DiffTexts(const std::string& base,
                                const std::string& next);

// Maximum size of a text that edits make, several times the largest document. A
// few edits may otherwise copy a text any number of times.
inline constexpr std::size_t kMaxEditedBytes = 32U << 20U;

// Applies `edits` to `base` and returns the result, or nothing if an edit
// copies a range beyond the end of `base` or the result is too large.
std::optional<std::string> ApplyEdits(const std::string& base,
                                      const std::vector<TextEdit>& edits);

}  // namespace harecrank

#endif  // HARECRANK_CORE_TEXT_EDITS_H_
