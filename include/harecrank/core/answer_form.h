// Decides by its head whether an HTTP answer is well-formed: the one rule for
// everything that reads answers. core/answer_end.h decides on its end.
//
// Parsers check the grammar of each line. What they let through are lines that
// are sound by themselves and make no answer: a status that no answer has, a
// protocol that nobody asked for, and a body whose end readers see in different
// places (RFC 9112, sections 6.1 and 6.3).

#ifndef HARECRANK_CORE_ANSWER_FORM_H_
#define HARECRANK_CORE_ANSWER_FORM_H_

#include <optional>
#include <string>
#include <variant>

namespace harecrank {

// Maximum number of interim answers before a final one. Servers send one or
// two.
inline constexpr int kMaxInterimAnswers = 8;

// What a parser tells of the head of an answer.
struct AnswerHead {
  unsigned status = 0;
  // Of HTTP/1.x.
  unsigned minor_version = 1;
  bool has_length = false;
  // The values of all fields Transfer-Encoding, separated by commas; unset
  // without such a field.
  std::optional<std::string> transfer_coding;
};

// Whether another answer to the same request follows.
enum class AnswerStage { kInterim, kFinal };

// Why a head makes no answer.
enum class HeadFault {
  // No answer has this status.
  kStatus,
  // Another protocol follows, which no request of this process asks for.
  kProtocol,
  // The body has a transfer coding other than "chunked" alone, or has it in a
  // version that knows none.
  kTransferCoding,
  // The body has both a length and a transfer coding.
  kTwoLengths,
  // More than kMaxInterimAnswers answers were interim.
  kNoFinalAnswer
};

// Returns the name for logs and metrics, such as "odd_status".
const char* NameOf(HeadFault fault);

// Returns whether `status` is one of a final answer.
bool IsFinalStatus(unsigned status);

using HeadVerdict = std::variant<AnswerStage, HeadFault>;

// Decides on the heads that follow one request.
class AnswerHeads {
 public:
  // Returns the verdict on the next head. After a fault, nothing more that the
  // connection carries may be read.
  HeadVerdict Check(const AnswerHead& head);

 private:
  int interim_answers_ = 0;
};

// Returns what is wrong with the only head that follows a request, for readers
// that expect no interim answers.
std::optional<HeadFault> FaultOfOnlyHead(const AnswerHead& head);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ANSWER_FORM_H_
