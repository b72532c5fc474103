#include "harecrank/core/event_scanner.h"

namespace harecrank {
namespace {

// Returns the position after the first blank line at or after `from`, or npos.
std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  const std::size_t unix_end = text.find("\n\n", from);
  const std::size_t dos_end = text.find("\r\n\r\n", from);
  if (unix_end == std::string_view::npos && dos_end == std::string_view::npos) {
    return std::string_view::npos;
  }
  if (unix_end < dos_end) {
    return unix_end + 2;
  }
  return dos_end + 4;
}

// Returns the value of an "id" line, or nothing as an empty view.
std::string_view IdOf(std::string_view line) {
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

std::string EventScanner::Accept(std::string_view bytes) {
  partial_.append(bytes);
  std::size_t whole = 0;
  std::size_t end = EndOfEvent(partial_, whole);
  while (end != std::string_view::npos) {
    NoteEvent(std::string_view(partial_).substr(whole, end - whole));
    whole = end;
    end = EndOfEvent(partial_, whole);
  }
  std::string events = partial_.substr(0, whole);
  partial_.erase(0, whole);
  return events;
}

void EventScanner::NoteEvent(std::string_view event) {
  ++count_;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view id = IdOf(event.substr(0, end));
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
