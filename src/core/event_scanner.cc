#include "harecrank/core/event_scanner.h"

namespace harecrank {
namespace {

// By the format, a stream may begin with this mark. Within a stream it would
// belong to the first line of an event.
constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

std::string_view WithoutMark(std::string_view block) {
  if (block.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
    block.remove_prefix(kByteOrderMark.size());
  }
  return block;
}

}  // namespace

void EventScanner::ResumeAfter(std::string_view id) { check_.ResumeAfter(id); }

void EventScanner::BeginRun() {
  splitter_.Clear();
  at_start_ = true;
  is_garbled_ = false;
}

ScannedEvents EventScanner::Accept(std::string_view bytes) {
  ScannedEvents scanned;
  if (is_garbled_) {
    return scanned;
  }
  splitter_.Append(bytes);
  while (const auto next = splitter_.Next()) {
    const std::string_view block = at_start_ ? WithoutMark(*next) : *next;
    at_start_ = false;
    const EventVerdict verdict = check_.Accept(block);
    if (std::holds_alternative<NextEvent>(verdict)) {
      scanned.events.append(block);
    } else if (const auto* fault = std::get_if<PieceFault>(&verdict)) {
      scanned.fault = *fault;
      break;
    }
  }
  if (!scanned.fault.has_value() && PartialSize() > kMaxEventBytes) {
    scanned.fault = PieceFault::kTooLarge;
  }
  if (scanned.fault.has_value()) {
    splitter_.Clear();
    is_garbled_ = true;
  }
  return scanned;
}

bool EventScanner::MayEnd() const {
  return !HasPartial() && !is_garbled_ && (Count() > 0 || check_.IsResumed());
}

}  // namespace harecrank
