// Estimates how long engines take to prefill and decode, from the cost
// parameters in the engine profile that the operator publishes.

#ifndef HARECRANK_CORE_ENGINE_ESTIMATE_H_
#define HARECRANK_CORE_ENGINE_ESTIMATE_H_

#include "harecrank/core/routing_table.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Returns the time that one engine needs to prefill `prompt` tokens. Because
// attention is computed over pairs of tokens, this time grows quadratically for
// long prompts.
FractionalMillis PrefillTime(const EngineProfile& engine, Tokens prompt);

// Returns the duration of one forward pass without prefill, for a batch of
// `members` requests that hold `context` tokens of KV memory in total.
FractionalMillis PassTime(const EngineProfile& engine, int members,
                          Tokens context);

// Returns the time from the first event of a stream to its last, on an engine
// that decodes `members` requests with `context` tokens of KV memory in total.
FractionalMillis StreamTime(const EngineProfile& engine, int members,
                            Tokens context, Tokens answer);

// Returns the engine time that decoding the answer of one request adds to the
// forward passes in which the request takes part. The fixed cost of a pass is
// excluded, since all requests of the batch share it.
FractionalMillis DecodeTime(const EngineProfile& engine, Tokens prompt,
                            Tokens answer);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENGINE_ESTIMATE_H_
