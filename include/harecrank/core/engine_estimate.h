// Estimates of engine time, from the cost parameters that the operator
// publishes.

#ifndef HARECRANK_CORE_ENGINE_ESTIMATE_H_
#define HARECRANK_CORE_ENGINE_ESTIMATE_H_

#include "harecrank/core/routing_table.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Returns the time that one engine needs to prefill `prompt` tokens. Attention
// over token pairs makes it grow quadratically for long prompts.
FractionalMillis PrefillTime(const EngineProfile& engine, Tokens prompt);

// Returns the duration of one forward pass without prefill over a batch of
// `members` requests that hold `context` tokens in total.
FractionalMillis PassTime(const EngineProfile& engine, int members,
                          Tokens context);

// Returns the engine time that decoding one answer adds to the passes it takes
// part in. The fixed cost of a pass is excluded, since all requests of the
// batch share it.
FractionalMillis DecodeTime(const EngineProfile& engine, Tokens prompt,
                            Tokens answer);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENGINE_ESTIMATE_H_
