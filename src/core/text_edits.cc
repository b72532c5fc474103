#include "harecrank/core/text_edits.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace harecrank {
namespace {

// Returns the end of the chunk that begins at `from`: after the next closing
// brace, or at the end of the text.
std::size_t EndOfChunk(const std::string& text, std::size_t from) {
  const std::size_t brace = text.find('}', from);
  return brace == std::string::npos ? text.size() : brace + 1;
}

// Finds chunks of the new text in a base text. Most chunks have the same order
// in both texts, so Find tries the expected position first. The index of the
// base text is built when Find fails there for the first time.
class ChunkFinder {
 public:
  explicit ChunkFinder(const std::string& base) : base_(base) {}

  // Returns the position of `chunk` in the base text, or npos.
  std::size_t Find(std::string_view chunk, std::size_t expected) {
    if (base_.compare(expected, chunk.size(), chunk) == 0) {
      return expected;
    }
    if (index_.empty()) {
      BuildIndex();
    }
    const auto found = index_.find(chunk);
    return found == index_.end() ? std::string::npos : found->second;
  }

 private:
  void BuildIndex() {
    for (std::size_t from = 0; from < base_.size();) {
      const std::size_t end = EndOfChunk(base_, from);
      index_.emplace(std::string_view(base_).substr(from, end - from), from);
      from = end;
    }
  }

  const std::string& base_;
  std::unordered_map<std::string_view, std::size_t> index_;
};

}  // namespace

std::vector<TextEdit> DiffTexts(const std::string& base,
                                const std::string& next) {
  ChunkFinder chunks(base);
  std::vector<TextEdit> edits;
  edits.emplace_back();
  for (std::size_t from = 0; from < next.size();) {
    const std::size_t end = EndOfChunk(next, from);
    const auto chunk = std::string_view(next).substr(from, end - from);
    TextEdit& last = edits.back();
    const std::size_t expected = last.copy_offset + last.copy_size;
    const std::size_t found = chunks.Find(chunk, expected);
    if (found == std::string::npos) {
      last.inserted += chunk;
    } else if (found == expected && last.inserted.empty()) {
      last.copy_size += chunk.size();
    } else {
      edits.push_back(TextEdit{found, chunk.size(), ""});
    }
    from = end;
  }
  return edits;
}

std::optional<std::string> ApplyEdits(const std::string& base,
                                      const std::vector<TextEdit>& edits) {
  std::size_t size = 0;
  for (const TextEdit& edit : edits) {
    if (edit.copy_offset > base.size() ||
        edit.copy_size > base.size() - edit.copy_offset) {
      return std::nullopt;
    }
    size += edit.copy_size + edit.inserted.size();
    if (size > kMaxEditedBytes) {
      return std::nullopt;
    }
  }
  std::string next;
  next.reserve(size);
  for (const TextEdit& edit : edits) {
    next.append(base, edit.copy_offset, edit.copy_size);
    next += edit.inserted;
  }
  return next;
}

}  // namespace harecrank
