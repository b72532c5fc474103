// Writes one answer to a caller, either as a single response or as a stream of
// server-sent events.

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

// Dependencies of an AnswerWriter. All pointers must outlive it.
struct AnswerWriterPorts {
  Poco::Net::HTTPServerRequest* request = nullptr;
  Poco::Net::HTTPServerResponse* response = nullptr;
  MonotonicClock clock;
  // `first_part` records the time from the creation of the writer to the first
  // part of the answer, `between_parts` the time between consecutive parts.
  DurationHistogram* first_part = nullptr;
  DurationHistogram* between_parts = nullptr;
};

// Returns the JSON error body for a refusal.
std::string RefusalJson(const Refusal& refusal);

// Writes a refusal with its HTTP status, and with a Retry-After header if it
// has a retry delay.
void WriteRefusal(Poco::Net::HTTPServerResponse& response,
                  const Refusal& refusal);

// Writes the parts of one answer in the form that the request selected.
//
// In a stream, each part is flushed immediately as one event. While no part
// arrives, comments are sent as keep-alives. The stream ends with an explicit
// "done" or "error" event, so that a caller can distinguish a complete answer
// from a broken connection.
class AnswerWriter : public AnswerSink {
 public:
  AnswerWriter(AnswerWriterPorts ports, const CallerRequest& caller_request);

  bool OnPart(const std::string& part) override;
  bool OnIdle() override;

  // Completes the response after the request has ended.
  void Finish(const DispatchResult& result);

 private:
  void BeginStream();
  bool WriteEvent(const std::string& data);
  bool Flush();
  std::string EventJson(const std::string& part) const;
  std::string ResponseJson(const Answered& answered) const;
  void EndStream(const DispatchResult& result);
  void WriteResponse(const Answered& answered);

  AnswerWriterPorts ports_;
  const CallerRequest& request_;
  TimePoint started_at_;
  TimePoint last_write_at_;
  std::optional<TimePoint> last_part_at_;
  std::string full_text_;
  std::int64_t part_count_ = 0;
  std::ostream* stream_ = nullptr;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_ANSWER_WRITER_H_
