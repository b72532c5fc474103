#include "harecrank/core/event_scanner.h"

#include <algorithm>

namespace harecrank {
namespace {

// The longest form of the end of an event.
constexpr std::string_view kBlankLine = "\r\n\r\n";

// Returns the position after the first blank line at or after `from`, or npos.
std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  const std::size_t lf_end = text.find("\n\n", from);
  const std::size_t crlf_end = text.find(kBlankLine, from);
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
    return std::string_view::npos;
  }
  if (lf_end < crlf_end) {
    return lf_end + 2;
  }
  return crlf_end + kBlankLine.size();
}

// Returns the value of an "id" field, or an empty view if `line` is another
// field.
std::string_view ParseId(std::string_view line) {
  constexpr std::string_view kField = "id:";
  if (line.substr(0, kField.size()) != kField) {
    return {};
  }
  line.remove_prefix(kField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return line;
}

}  // namespace

void EventScanner::DropPartial() {
  partial_.clear();
  scanned_ = 0;
}

std::string EventScanner::Accept(std::string_view bytes) {
  partial_.append(bytes);
  std::size_t complete_size = 0;
  std::size_t end = EndOfEvent(partial_, scanned_);
  while (end != std::string_view::npos) {
    RecordEvent(
        std::string_view(partial_).substr(complete_size, end - complete_size));
    complete_size = end;
    end = EndOfEvent(partial_, complete_size);
  }
  std::string events = partial_.substr(0, complete_size);
  partial_.erase(0, complete_size);
  // The longest blank line may lack its last byte.
  scanned_ = partial_.size() - std::min(partial_.size(), kBlankLine.size() - 1);
  return events;
}

void EventScanner::RecordEvent(std::string_view event) {
  ++count_;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view id = ParseId(event.substr(0, end));
    if (!id.empty()) {
      last_id_ = std::string(id);
    }
    if (end == std::string_view::npos) {
      return;
    }
    event.remove_prefix(end + 1);
  }
}

}  // namespace harecrank
