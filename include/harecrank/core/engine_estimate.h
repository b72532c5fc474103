// How long a model engine takes, by the costs that its operator publishes.

#ifndef HARECRANK_CORE_ENGINE_ESTIMATE_H_
#define HARECRANK_CORE_ENGINE_ESTIMATE_H_

#include "harecrank/core/routing_table.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Returns how long one engine alone reads a prompt of `prompt` tokens. The
// pairs make it grow with the square of long prompts.
FractionalMillis PrefillTime(const EngineProfile& engine, Tokens prompt);

// Returns how long one pass over `members` requests takes that hold `context`
// tokens in all and read no prompt.
FractionalMillis PassTime(const EngineProfile& engine, int members,
                          Tokens context);

// Returns what the answer to one request adds to the passes that it is written
// in: its members' cost, not that of the passes, which others share.
FractionalMillis DecodeTime(const EngineProfile& engine, Tokens prompt,
                            Tokens answer);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENGINE_ESTIMATE_H_
