#include "harecrank/core/event_check.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <websocketpp/utf8_validator.hpp>

namespace harecrank {
namespace {

// Digits of the greatest number in an id, which fits in 64 bits.
constexpr std::size_t kMaxIdDigits = 18;

bool IsUtf8(std::string_view text) {
  websocketpp::utf8_validator::validator validator;
  return validator.decode(text.begin(), text.end()) && validator.complete();
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Whether `c` is visible in ASCII, so that it may stand in a header.
bool IsVisible(char c) { return c > ' ' && c <= '~'; }

// An id, split before the number at its end.
struct ParsedId {
  std::string_view prefix;
  std::uint64_t number = 0;
};

std::optional<ParsedId> ParseId(std::string_view id) {
  if (id.size() > EventCheck::kMaxIdBytes ||
      !std::all_of(id.begin(), id.end(), IsVisible)) {
    return std::nullopt;
  }
  std::size_t begin = id.size();
  while (begin > 0 && IsDigit(id[begin - 1])) {
    --begin;
  }
  const std::string_view digits = id.substr(begin);
  if (digits.empty() || digits.size() > kMaxIdDigits) {
    return std::nullopt;
  }
  ParsedId parsed{id.substr(0, begin), 0};
  std::from_chars(digits.data(), digits.data() + digits.size(), parsed.number);
  return parsed;
}

// The fields of a block that decide whether it is an event.
struct Block {
  int ids = 0;
  // Value of the last field "id".
  std::string_view id;
  bool has_data = false;
  // Whether there is a field that the format does not define.
  bool has_other = false;

  void AddLine(std::string_view line) {
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (name == "id") {
      ++ids;
      id = colon == std::string_view::npos ? std::string_view()
                                           : line.substr(colon + 1);
      id.remove_prefix(!id.empty() && id.front() == ' ' ? 1 : 0);
    } else if (name == "data") {
      has_data = true;
    } else if (!name.empty() && name != "event" && name != "retry") {
      has_other = true;
    }
  }
};

Block ParseBlock(std::string_view text) {
  Block block;
  while (!text.empty()) {
    const std::size_t end = text.find_first_of("\r\n");
    block.AddLine(text.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    // The LF of a CRLF becomes an empty line, which has no field.
    text.remove_prefix(end + 1);
  }
  return block;
}

}  // namespace

void EventCheck::ResumeAfter(std::string_view id) {
  if (const auto parsed = ParseId(id)) {
    sequence_ = PieceSequence(PieceStep::kAscending, parsed->number + 1);
    id_prefix_ = std::string(parsed->prefix);
    is_resumed_ = true;
  }
}

EventVerdict EventCheck::Accept(std::string_view text) {
  if (!IsUtf8(text)) {
    return PieceFault::kNotText;
  }
  const Block block = ParseBlock(text);
  if (block.ids == 0 && !block.has_data && !block.has_other) {
    return NoEvent{};
  }
  if (block.ids > 1) {
    return PieceFault::kSeveralIds;
  }
  if (block.id.empty()) {
    return PieceFault::kNoId;
  }
  if (!block.has_data) {
    return PieceFault::kNoData;
  }
  return AcceptId(block.id);
}

EventVerdict EventCheck::AcceptId(std::string_view id) {
  const auto parsed = ParseId(id);
  if (!parsed.has_value()) {
    return PieceFault::kMalformedId;
  }
  const bool is_foreign =
      id_prefix_.has_value() && parsed->prefix != *id_prefix_;
  const auto fault = is_foreign ? std::make_optional(PieceFault::kForeignId)
                                : sequence_.Accept(parsed->number);
  if (fault.has_value()) {
    return is_resumed_ && count_ == 0 ? PieceFault::kNotResumed : *fault;
  }
  id_prefix_ = std::string(parsed->prefix);
  last_id_ = std::string(id);
  ++count_;
  return NextEvent{};
}

}  // namespace harecrank
