// Keeps work from engines that are slow, fail often, or may be the cause of a
// slow group.
//
// A group is as slow as its slowest engine and fails with any of its engines,
// so that one bad engine costs several long prompts. Short prompts, of which
// each is worth little, test such an engine until it is sound again.

#ifndef HARECRANK_CORE_UNSOUND_ENGINES_H_
#define HARECRANK_CORE_UNSOUND_ENGINES_H_

#include <vector>

#include "harecrank/core/prefill_group.h"

namespace harecrank {

// Removes the engines that are not sound from the candidates of a long prompt:
// the worst first, and at most kMaxLeftOutShare of the candidates. Keeps the
// order of the others.
void LeaveOutUnsound(std::vector<EngineCandidate>* candidates);

// Removes the failing engines from the candidates of a short prompt, within the
// same limit. Those whose trial is due remain.
void LeaveOutFailing(std::vector<EngineCandidate>* candidates);

// Returns whether a short prompt on the engine would show its pace: its trial
// is due, and no prefill is ahead.
bool IsGoodTrial(const EngineCandidate& candidate);

// Largest share of the candidates that are left out. With more unsound engines
// than this, the others would be overloaded, or the cause is not the engines.
inline constexpr double kMaxLeftOutShare = 0.25;

}  // namespace harecrank

#endif  // HARECRANK_CORE_UNSOUND_ENGINES_H_
