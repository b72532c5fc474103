// Where an answer goes.

#ifndef HARECRANK_SRC_ENTRY_ANSWER_SINK_H_
#define HARECRANK_SRC_ENTRY_ANSWER_SINK_H_

#include <string>

namespace harecrank {

// Takes the parts of one answer, in order, on the request's own thread.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  // Takes the next part. Returns false if the caller has left.
  virtual bool OnPart(const std::string& part) = 0;

  // Called now and then while no part comes. Returns false if the caller has
  // left.
  virtual bool OnIdle() = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_ANSWER_SINK_H_
