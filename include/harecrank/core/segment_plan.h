// How a prompt that is larger than any one engine is cut among several.

#ifndef HARECRANK_CORE_SEGMENT_PLAN_H_
#define HARECRANK_CORE_SEGMENT_PLAN_H_

#include <optional>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// An engine that may take part.
struct SegmentCandidate {
  EndpointId id;
  Tokens free_memory;
  Tokens memory;
};

// One member's part of a prompt.
struct Segment {
  EndpointId member;
  Tokens begin;
  Tokens length;
  // What the member must reserve: its segment, and on the last member, which
  // generates, the answer as well.
  Tokens reserve;
};

// Cuts `prompt` plus `answer` tokens among as few of `candidates` as hold them
// by their free memory, those with the most free memory first, but among at
// least `min_members` if there are as many. Segments are even, as far as
// memory allows, since the slowest member sets the time to the first token.
// The answer belongs to the last member. Returns nothing if all candidates
// together are too small.
std::optional<std::vector<Segment>> PlanSegments(
    Tokens prompt, Tokens answer, std::vector<SegmentCandidate> candidates,
    std::size_t min_members = 1);

}  // namespace harecrank

#endif  // HARECRANK_CORE_SEGMENT_PLAN_H_
