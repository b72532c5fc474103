#include "harecrank/core/event_splitter.h"

namespace harecrank {

void EventSplitter::Append(std::string_view bytes) {
  bytes_.erase(0, begin_);
  line_begin_ -= begin_;
  scanned_ -= begin_;
  begin_ = 0;
  bytes_.append(bytes);
  SkipLineFeed();
}

std::optional<std::string_view> EventSplitter::Next() {
  while (true) {
    const std::size_t end = bytes_.find_first_of("\r\n", scanned_);
    if (end == std::string::npos) {
      scanned_ = bytes_.size();
      return std::nullopt;
    }
    const auto after = AfterLine(end);
    if (!after.has_value()) {
      scanned_ = end;
      return std::nullopt;
    }
    const bool is_blank = end == line_begin_;
    line_begin_ = scanned_ = *after;
    if (is_blank) {
      return TakeBlock(*after);
    }
  }
}

std::optional<std::size_t> EventSplitter::AfterLine(std::size_t end) {
  if (bytes_[end] == '\n') {
    after_lone_cr_ = false;
    return end + 1;
  }
  if (end == line_begin_ && after_lone_cr_) {
    skips_lf_ = true;
    return end + 1;
  }
  if (end + 1 == bytes_.size()) {
    return std::nullopt;
  }
  after_lone_cr_ = bytes_[end + 1] != '\n';
  return end + (after_lone_cr_ ? 1 : 2);
}

std::string_view EventSplitter::TakeBlock(std::size_t end) {
  const std::size_t begin = begin_;
  begin_ = end;
  after_lone_cr_ = false;
  SkipLineFeed();
  return std::string_view(bytes_).substr(begin, end - begin);
}

void EventSplitter::SkipLineFeed() {
  if (!skips_lf_ || begin_ == bytes_.size()) {
    return;
  }
  skips_lf_ = false;
  if (bytes_[begin_] == '\n') {
    ++begin_;
    line_begin_ = scanned_ = begin_;
  }
}

void EventSplitter::Clear() { *this = EventSplitter(); }

}  // namespace harecrank
