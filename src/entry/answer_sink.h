// Interface that receives the parts of an answer as they arrive.

#ifndef HARECRANK_SRC_ENTRY_ANSWER_SINK_H_
#define HARECRANK_SRC_ENTRY_ANSWER_SINK_H_

#include <string>

namespace harecrank {

// Receives the parts of one answer in order. A part is the text of one token,
// or a chunk of the response of a plain service. All methods are called on the
// thread that runs the request.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  // Handles the next part. Returns false if the caller has disconnected.
  virtual bool OnPart(const std::string& part) = 0;

  // Called repeatedly while no part arrives, so that the implementation can
  // send keep-alives and check the connection. Returns false if the caller has
  // disconnected.
  virtual bool OnIdle() = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_ANSWER_SINK_H_
