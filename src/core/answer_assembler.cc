#include "harecrank/core/answer_assembler.h"

#include <utility>

namespace harecrank {
namespace {

// Maximum number of buffered out-of-order tokens. Without a limit, a peer that
// skips a position could exhaust the memory of this process.
constexpr std::size_t kMaxOutOfOrder = 4096;

}  // namespace

std::vector<AnswerToken> AnswerAssembler::Accept(AnswerToken token) {
  std::vector<AnswerToken> ready;
  if (token.position < next_) {
    return ready;
  }
  if (token.position > next_) {
    if (out_of_order_.size() < kMaxOutOfOrder) {
      out_of_order_.emplace(token.position, std::move(token.text));
    }
    return ready;
  }
  ready.push_back(std::move(token));
  ++next_;
  for (auto buffered = out_of_order_.begin();
       buffered != out_of_order_.end() && buffered->first == next_;
       buffered = out_of_order_.begin()) {
    ready.push_back(AnswerToken{buffered->first, std::move(buffered->second)});
    out_of_order_.erase(buffered);
    ++next_;
  }
  return ready;
}

}  // namespace harecrank
