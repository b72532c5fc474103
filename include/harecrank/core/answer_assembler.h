// Assembles one answer from the tokens of one or several attempts at a request.

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

// Merges the tokens of all attempts at one request into one answer. Delivers
// the token of each position exactly once and in order, although an attempt may
// repeat positions, send them out of order or skip some. Not thread-safe.
class AnswerAssembler {
 public:
  // Accepts a token and returns all tokens that can now be delivered, in order.
  // Ignores tokens whose position has been delivered. Buffers tokens ahead of
  // NextPosition() and drops them if the buffer is full.
  std::vector<AnswerToken> Accept(AnswerToken token);

  // Returns the first position that has not been delivered. Another attempt
  // must resume there.
  std::int64_t NextPosition() const { return next_; }

 private:
  std::int64_t next_ = 0;
  // Texts of tokens ahead of next_, by position.
  std::map<std::int64_t, std::string> out_of_order_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ANSWER_ASSEMBLER_H_
