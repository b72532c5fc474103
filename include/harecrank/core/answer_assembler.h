// Puts one answer together from the attempts that brought it.

#ifndef HARECRANK_CORE_ANSWER_ASSEMBLER_H_
#define HARECRANK_CORE_ANSWER_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace harecrank {

// One token of an answer, at its position from zero.
struct AnswerToken {
  std::int64_t position = 0;
  std::string text;
};

// Lets each position through once and in order, whatever comes twice, late or
// before its turn. Not thread-safe.
class AnswerAssembler {
 public:
  // Takes a token and returns the tokens that are now next in order.
  std::vector<AnswerToken> Accept(AnswerToken token);

  // Returns the first position that has not been let through: where another
  // attempt must resume.
  std::int64_t NextPosition() const { return next_; }

 private:
  std::int64_t next_ = 0;
  std::map<std::int64_t, std::string> early_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ANSWER_ASSEMBLER_H_
