// Splits a text/event-stream body into blocks of lines.

#ifndef HARECRANK_CORE_EVENT_SPLITTER_H_
#define HARECRANK_CORE_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace harecrank {

// Splits the bytes of one event stream at its blank lines. Lines end with LF,
// CRLF or CR, as in the format. However the bytes are cut into pieces, the
// blocks are the same. Not thread-safe.
class EventSplitter {
 public:
  void Append(std::string_view bytes);

  // Returns the next complete block with the blank line at its end, or nothing.
  // It is valid until the next call of any function.
  std::optional<std::string_view> Next();

  // Discards all bytes that have not been returned.
  void Clear();

  // Number of bytes that have not been returned.
  std::size_t PendingSize() const { return bytes_.size() - begin_; }

 private:
  // Returns the position after the line whose content ends at `end`, or nothing
  // if the next byte must be known first.
  std::optional<std::size_t> AfterLine(std::size_t end);
  std::string_view TakeBlock(std::size_t end);
  void SkipLineFeed();

  std::string bytes_;
  // Where the next block begins, and the line in it that is not complete.
  std::size_t begin_ = 0;
  std::size_t line_begin_ = 0;
  // No line ends between `line_begin_` and this position.
  std::size_t scanned_ = 0;
  // Whether the line before ended with a CR alone. If such a stream has a CR
  // in place of a line, the block ends without knowing the next byte.
  bool after_lone_cr_ = false;
  // Whether an LF that comes next belongs to the block before.
  bool skips_lf_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_EVENT_SPLITTER_H_
