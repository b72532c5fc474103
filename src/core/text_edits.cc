#include "harecrank/core/text_edits.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace harecrank {
namespace {

// Returns where the piece that begins at `from` ends.
std::size_t EndOfPiece(const std::string& text, std::size_t from) {
  const std::size_t brace = text.find('}', from);
  return brace == std::string::npos ? text.size() : brace + 1;
}

// Finds pieces of one text. Pieces mostly follow each other as they did, so the
// place after the last one is tried first, and the index is made only once that
// fails.
class PieceFinder {
 public:
  explicit PieceFinder(const std::string& base) : base_(base) {}

  // Returns where `piece` begins, or npos.
  std::size_t Find(std::string_view piece, std::size_t expected) {
    if (base_.compare(expected, piece.size(), piece) == 0) {
      return expected;
    }
    if (index_.empty()) {
      MakeIndex();
    }
    const auto found = index_.find(piece);
    return found == index_.end() ? std::string::npos : found->second;
  }

 private:
  void MakeIndex() {
    for (std::size_t from = 0; from < base_.size();) {
      const std::size_t end = EndOfPiece(base_, from);
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
  PieceFinder pieces(base);
  std::vector<TextEdit> edits;
  edits.emplace_back();
  for (std::size_t from = 0; from < next.size();) {
    const std::size_t end = EndOfPiece(next, from);
    const auto piece = std::string_view(next).substr(from, end - from);
    TextEdit& last = edits.back();
    const std::size_t expected = last.copy_offset + last.copy_size;
    const std::size_t found = pieces.Find(piece, expected);
    if (found == std::string::npos) {
      last.inserted += piece;
    } else if (found == expected && last.inserted.empty()) {
      last.copy_size += piece.size();
    } else {
      edits.push_back(TextEdit{found, piece.size(), ""});
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
