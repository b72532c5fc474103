// What hosts tell each other about parts of prompts that crash endpoints.

#ifndef HARECRANK_CORE_PART_EVIDENCE_H_
#define HARECRANK_CORE_PART_EVIDENCE_H_

#include <optional>
#include <vector>

#include "harecrank/core/endpoint_crash.h"
#include "harecrank/core/part_trials.h"
#include "harecrank/core/prompt_parts.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// A part of a prompt that an endpoint was starting when it crashed.
struct SuspectPart {
  PromptPartId part;
  // Time since the last sound answer to a prompt with the part began, as far as
  // the sender knows.
  std::optional<Millis> sound_age;
};

// The crash of one endpoint. Times are sent as ages because hosts do not share
// a clock.
struct SuspectCrash {
  EndpointCrash crash;
  Millis age{0};
  std::vector<SuspectPart> parts;
};

// A part whose answers are sound again, although crashes counted against it.
struct SoundPart {
  PromptPartId part;
  // Time since the sound answer began.
  Millis age{0};
};

// A part that the sender does not send to endpoints.
struct HeldPart {
  PromptPartId part;
  // Times since the first and the last crash that count against it, and since
  // it has been held.
  Millis first_crash_age{0};
  Millis last_crash_age{0};
  Millis held_for{0};
  PartTrials trials{};
};

struct PartEvidence {
  std::vector<SuspectCrash> crashes;
  std::vector<SoundPart> sound;
  std::vector<HeldPart> held;

  bool IsEmpty() const {
    return crashes.empty() && sound.empty() && held.empty();
  }
};

// Appends `more` to `evidence`.
void Append(PartEvidence more, PartEvidence* evidence);

}  // namespace harecrank

#endif  // HARECRANK_CORE_PART_EVIDENCE_H_
