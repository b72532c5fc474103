#include "harecrank/core/answer_assembler.h"

#include <utility>

namespace harecrank {
namespace {

// A peer that sends positions far ahead must not make this process hold them.
constexpr std::size_t kMostEarly = 4096;

}  // namespace

std::vector<AnswerToken> AnswerAssembler::Accept(AnswerToken token) {
  std::vector<AnswerToken> ready;
  if (token.position < next_) {
    return ready;
  }
  if (token.position > next_) {
    if (early_.size() < kMostEarly) {
      early_.emplace(token.position, std::move(token.text));
    }
    return ready;
  }
  ready.push_back(std::move(token));
  ++next_;
  for (auto held = early_.begin(); held != early_.end() && held->first == next_;
       held = early_.begin()) {
    ready.push_back(AnswerToken{held->first, std::move(held->second)});
    early_.erase(held);
    ++next_;
  }
  return ready;
}

}  // namespace harecrank
