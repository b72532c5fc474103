#include "harecrank/core/engine_estimate.h"

namespace harecrank {
namespace {

constexpr double kThousand = 1e3;
constexpr double kMillion = 1e6;

}  // namespace

FractionalMillis PrefillTime(const EngineProfile& engine, Tokens prompt) {
  const auto tokens = static_cast<double>(prompt.value);
  const double linear = tokens / engine.prefill_tokens_per_ms;
  // Causal attention computes each token against all preceding tokens, which
  // makes about half the square of the number of tokens.
  const double pairs = tokens * tokens / 2;
  return FractionalMillis(linear + pairs / kMillion *
                                       engine.prefill_ms_per_million_pairs);
}

FractionalMillis DecodeTime(const EngineProfile& engine, Tokens prompt,
                            Tokens answer) {
  const double step = engine.step_ms_per_sequence +
                      static_cast<double>(prompt.value) / kThousand *
                          engine.step_ms_per_thousand_context;
  return FractionalMillis(static_cast<double>(answer.value) * step);
}

FractionalMillis StreamTime(const EngineProfile& engine, int members,
                            Tokens context, Tokens answer) {
  const double passes =
      static_cast<double>(answer.value) / engine.steps_per_pass;
  return passes * PassTime(engine, members, context);
}

FractionalMillis PassTime(const EngineProfile& engine, int members,
                          Tokens context) {
  const double step = engine.step_ms + members * engine.step_ms_per_sequence +
                      static_cast<double>(context.value) / kThousand *
                          engine.step_ms_per_thousand_context;
  return FractionalMillis(step * engine.steps_per_pass);
}

}  // namespace harecrank
