// The parts of a prompt, by the names that its caller gives.
//
// A prompt consists of parts in order, such as a system prompt, a document and
// a question. Requests share parts; only the last part belongs to one request.

#ifndef HARECRANK_CORE_PROMPT_PARTS_H_
#define HARECRANK_CORE_PROMPT_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// Identifies one part of prompts. Equal on all hosts for equal names.
using PromptPartId = StrongNumber<struct PromptPartTag, std::uint64_t>;

// Maximum number of shared parts of a prompt that are told apart, so that a
// caller who names thousands of them costs no more than others. Further parts
// are ignored.
inline constexpr std::size_t kMaxSharedParts = 32;

// Returns the shared parts of a prompt, that is all but the last one, in order
// and without repetitions. `list` holds "NAME:TOKENS" separated by commas.
// Empty for a list that names fewer than two parts.
std::vector<PromptPartId> SharedPartsOf(std::string_view list);

// Returns the name of the part in logs: the hexadecimal name that the caller
// sent, or 16 hexadecimal digits of the hash of a name of another form.
std::string LogName(PromptPartId part);

}  // namespace harecrank

#endif  // HARECRANK_CORE_PROMPT_PARTS_H_
