#include "src/entry/answer_writer.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"

namespace harecrank {
namespace {

using nlohmann::json;

// Well under the shortest idle limit of common balancers and proxies.
constexpr Millis kPingAfter{5000};
constexpr std::int64_t kMillisPerSecond = 1000;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string RefusalJson(const Refusal& refusal) {
  json error{{"code", refusal.code},
             {"message", refusal.message},
             {"outcome", OutcomeName(refusal.outcome)}};
  if (refusal.retry_after) {
    error["retry_after_ms"] = refusal.retry_after->count();
  }
  return Dump(json{{"error", error}});
}

void WriteRefusal(Poco::Net::HTTPServerResponse& response,
                  const Refusal& refusal) {
  if (refusal.retry_after) {
    // The header counts whole seconds; rounding up never invites too early.
    const std::int64_t seconds =
        (refusal.retry_after->count() + kMillisPerSecond - 1) /
        kMillisPerSecond;
    response.set("Retry-After",
                 std::to_string(std::max<std::int64_t>(seconds, 1)));
  }
  SendResponse(response, refusal.http_status, RefusalJson(refusal));
}

AnswerWriter::AnswerWriter(AnswerWriterPorts ports, const CallerRequest& asked)
    : ports_(std::move(ports)),
      asked_(asked),
      began_(ports_.clock()),
      last_written_(began_) {}

bool AnswerWriter::OnPart(const std::string& part) {
  const TimePoint now = ports_.clock();
  if (last_part_) {
    ports_.gap->Record(now - *last_part_);
  } else {
    ports_.first_part->Record(now - began_);
  }
  last_part_ = now;
  ++parts_;
  if (!asked_.stream) {
    whole_ += part;
    return true;
  }
  return WriteEvent(PartJson(part));
}

bool AnswerWriter::OnIdle() {
  if (!IsCallerConnected(*ports_.request)) {
    return false;
  }
  if (!asked_.stream || ports_.clock() - last_written_ < kPingAfter) {
    return true;
  }
  BeginStream();
  *stream_ << ": ping\n\n";
  return Flush();
}

void AnswerWriter::Finish(const DispatchResult& result) {
  if (stream_ != nullptr || (asked_.stream && parts_ > 0)) {
    FinishStream(result);
    return;
  }
  if (const auto* refusal = std::get_if<Refusal>(&result)) {
    WriteRefusal(*ports_.response, *refusal);
    return;
  }
  if (asked_.stream) {
    BeginStream();
    FinishStream(result);
    return;
  }
  FinishWhole(std::get<Answered>(result));
}

void AnswerWriter::BeginStream() {
  if (stream_ != nullptr) {
    return;
  }
  ports_.response->setStatus(Poco::Net::HTTPResponse::HTTP_OK);
  ports_.response->setContentType("text/event-stream; charset=utf-8");
  ports_.response->set("Cache-Control", "no-cache");
  ports_.response->set("X-Accel-Buffering", "no");
  ports_.response->setChunkedTransferEncoding(true);
  stream_ = &ports_.response->send();
}

bool AnswerWriter::WriteEvent(const std::string& data) {
  BeginStream();
  *stream_ << "data: " << data << "\n\n";
  return Flush();
}

bool AnswerWriter::Flush() {
  stream_->flush();
  last_written_ = ports_.clock();
  return stream_->good();
}

std::string AnswerWriter::PartJson(const std::string& part) const {
  json choice{{"index", 0}};
  if (asked_.form == AnswerForm::kChat) {
    choice["delta"] = {{"content", part}};
  } else {
    choice["text"] = part;
  }
  return Dump(
      json{{"model", asked_.model.value}, {"choices", json::array({choice})}});
}

std::string AnswerWriter::WholeJson(const Answered& answered) const {
  json choice{{"index", 0}, {"finish_reason", answered.finished.reason}};
  if (asked_.form == AnswerForm::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", whole_}};
  } else {
    choice["text"] = whole_;
  }
  return Dump(json{{"model", asked_.model.value},
                   {"choices", json::array({choice})},
                   {"usage",
                    {{"prompt_tokens", asked_.prompt_tokens.value},
                     {"completion_tokens", answered.finished.length}}},
                   {"harecrank",
                    {{"endpoint", answered.endpoint.value},
                     {"attempts", answered.attempts},
                     {"members", answered.members}}}});
}

void AnswerWriter::FinishStream(const DispatchResult& result) {
  // After the first byte the status cannot change, so an error goes in the
  // stream, as an event of its own name.
  if (const auto* refusal = std::get_if<Refusal>(&result)) {
    *stream_ << "event: error\ndata: " << RefusalJson(*refusal) << "\n\n";
  } else {
    const auto& answered = std::get<Answered>(result);
    const json end{{"finish_reason", answered.finished.reason},
                   {"completion_tokens", answered.finished.length},
                   {"endpoint", answered.endpoint.value},
                   {"attempts", answered.attempts},
                   {"members", answered.members}};
    *stream_ << "event: done\ndata: " << Dump(end) << "\n\ndata: [DONE]\n\n";
  }
  Flush();
}

void AnswerWriter::FinishWhole(const Answered& answered) {
  if (asked_.form == AnswerForm::kService) {
    ports_.response->set("Harecrank-Endpoint", answered.endpoint.value);
    const std::string& type = answered.finished.content_type;
    SendResponse(*ports_.response, answered.finished.status, whole_,
                 type.empty() ? "application/octet-stream" : type);
    return;
  }
  SendResponse(*ports_.response, http_status::kOk, WholeJson(answered));
}

}  // namespace harecrank
