// Writes one answer to a caller, whole or as a stream of events.

#ifndef HARECRANK_SRC_ENTRY_ANSWER_WRITER_H_
#define HARECRANK_SRC_ENTRY_ANSWER_WRITER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <ostream>
#include <string>

#include "src/adapters/metrics.h"
#include "src/entry/answer_sink.h"
#include "src/entry/caller_request.h"
#include "src/entry/dispatcher.h"

namespace harecrank {

// What a writer works with. All must outlive it.
struct AnswerWriterPorts {
  Poco::Net::HTTPServerRequest* request = nullptr;
  Poco::Net::HTTPServerResponse* response = nullptr;
  MonotonicClock clock;
  // Where the time to the first part, and between parts, is recorded.
  DurationHistogram* first_part = nullptr;
  DurationHistogram* gap = nullptr;
};

// Returns the JSON that tells a caller of a refusal.
std::string RefusalJson(const Refusal& refusal);

// Writes a refusal with its status, and Retry-After where it has one.
void WriteRefusal(Poco::Net::HTTPServerResponse& response,
                  const Refusal& refusal);

// Takes the parts of one answer and writes them in the form that was asked for.
//
// A stream is live: each part goes out as one event at once. It is alive: a
// comment goes out while nothing else does. It ends with an explicit event, so
// that a caller can tell an end from a cut.
class AnswerWriter : public AnswerSink {
 public:
  AnswerWriter(AnswerWriterPorts ports, const CallerRequest& asked);

  bool OnPart(const std::string& part) override;
  bool OnIdle() override;

  // Writes what remains once the request has ended.
  void Finish(const DispatchResult& result);

 private:
  void BeginStream();
  bool WriteEvent(const std::string& data);
  bool Flush();
  std::string PartJson(const std::string& part) const;
  std::string WholeJson(const Answered& answered) const;
  void FinishStream(const DispatchResult& result);
  void FinishWhole(const Answered& answered);

  AnswerWriterPorts ports_;
  const CallerRequest& asked_;
  TimePoint began_;
  TimePoint last_written_;
  std::optional<TimePoint> last_part_;
  std::string whole_;
  std::int64_t parts_ = 0;
  std::ostream* stream_ = nullptr;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_ANSWER_WRITER_H_
