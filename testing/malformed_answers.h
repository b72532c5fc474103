// Answers that are not well-formed, for the tests of all that reads answers.

#ifndef HARECRANK_TESTING_MALFORMED_ANSWERS_H_
#define HARECRANK_TESTING_MALFORMED_ANSWERS_H_

#include <string>
#include <vector>

namespace harecrank::testing {

// An answer in the parts that its sender may add to.
struct AnswerText {
  std::string name;
  // Interim answers and the status line.
  std::string start = "HTTP/1.1 200 OK\r\n";
  // Follow the sender's own fields, if it has any.
  std::string fields;
  std::string body;
  // Precede the sender's own fields.
  std::string first_fields{};

  // Returns the whole answer with the sender's `own_fields`.
  std::string With(const std::string& own_fields) const {
    return start + first_fields + own_fields + fields + "\r\n" + body;
  }
};

// Answers whose heads are malformed. A reader believes nothing of them.
std::vector<AnswerText> MalformedAnswers();

// Answers whose bodies have no end that all readers see in the same place, or
// whose chunks or trailers are malformed.
std::vector<AnswerText> MisframedAnswers();

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_MALFORMED_ANSWERS_H_
