// Assembles one answer from the tokens of one or several attempts.

#ifndef HARECRANK_CORE_ANSWER_ASSEMBLER_H_
#define HARECRANK_CORE_ANSWER_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace harecrank {

// A token of an answer and its position, counted from zero.
struct AnswerToken {
  std::int64_t position = 0;
  std::string text;
};

// Delivers each position exactly once and in order, although attempts may
// repeat, reorder or skip ahead of positions. Not thread-safe.
class AnswerAssembler {
 public:
  // Accepts a token and returns all tokens that can now be delivered, in order.
  // Ignores positions that have been delivered. Buffers positions ahead of
  // NextPosition() up to a fixed number and drops the others.
  std::vector<AnswerToken> Accept(AnswerToken token);

  // Returns the first position that has not been delivered, which is where
  // another attempt must resume.
  std::int64_t NextPosition() const { return next_; }

 private:
  std::int64_t next_ = 0;
  // Texts of tokens ahead of next_, by position.
  std::map<std::int64_t, std::string> out_of_order_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ANSWER_ASSEMBLER_H_
