// Splits a prompt that is larger than the memory of any single engine among
// several engines.

#ifndef HARECRANK_CORE_SEGMENT_PLAN_H_
#define HARECRANK_CORE_SEGMENT_PLAN_H_

#include <optional>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// An engine that may become a member of the group among which a prompt is
// split. Memory is counted in tokens of KV memory.
struct SegmentCandidate {
  EndpointId id;
  Tokens free_memory;
  Tokens memory;
};

// The part of the prompt that one member of the group holds, from token `begin`
// on.
struct Segment {
  EndpointId member;
  Tokens begin;
  Tokens length;
  // KV memory, in tokens, that the member must reserve for its segment. The
  // last member generates the answer and reserves memory for it as well.
  Tokens reserve;
};

// Splits `prompt` tokens among the smallest number of candidates whose free
// memory holds the prompt and the `answer`, but among at least `min_members`
// candidates if there are enough. Candidates with the most free memory are
// taken first. Segments are of equal length as far as memory allows, since the
// slowest member determines the time to the first token. The answer is stored
// on the last member. Returns nothing if all candidates together are too small.
std::optional<std::vector<Segment>> PlanSegments(
    Tokens prompt, Tokens answer, std::vector<SegmentCandidate> candidates,
    std::size_t min_members = 1);

}  // namespace harecrank

#endif  // HARECRANK_CORE_SEGMENT_PLAN_H_
