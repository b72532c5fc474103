#include "src/entry/answer_writer.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"

namespace harecrank {
namespace {

using nlohmann::json;

// How long a stream may be silent before a keep-alive comment is sent. It is
// well below the shortest idle time-outs of common load balancers and proxies,
// which would otherwise close the connection.
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
    // Retry-After has whole seconds. The delay is rounded up so that a caller
    // does not retry too early.
    const std::int64_t seconds =
        (refusal.retry_after->count() + kMillisPerSecond - 1) /
        kMillisPerSecond;
    response.set("Retry-After",
                 std::to_string(std::max<std::int64_t>(seconds, 1)));
  }
  SendResponse(response, refusal.http_status, RefusalJson(refusal));
}

AnswerWriter::AnswerWriter(AnswerWriterPorts ports,
                           const CallerRequest& caller_request)
    : ports_(std::move(ports)),
      request_(caller_request),
      started_at_(ports_.clock()),
      last_write_at_(started_at_) {}

bool AnswerWriter::OnPart(const std::string& part) {
  const TimePoint now = ports_.clock();
  if (last_part_at_) {
    ports_.between_parts->Record(now - *last_part_at_);
  } else {
    ports_.first_part->Record(now - started_at_);
  }
  last_part_at_ = now;
  ++part_count_;
  if (!request_.stream) {
    full_text_ += part;
    return true;
  }
  return WriteEvent(EventJson(part));
}

bool AnswerWriter::OnIdle() {
  if (!IsCallerConnected(*ports_.request)) {
    return false;
  }
  if (!request_.stream || ports_.clock() - last_write_at_ < kPingAfter) {
    return true;
  }
  BeginStream();
  *stream_ << ": ping\n\n";
  return Flush();
}

void AnswerWriter::Finish(const DispatchResult& result) {
  if (stream_ != nullptr || (request_.stream && part_count_ > 0)) {
    EndStream(result);
    return;
  }
  if (const auto* refusal = std::get_if<Refusal>(&result)) {
    WriteRefusal(*ports_.response, *refusal);
    return;
  }
  if (request_.stream) {
    BeginStream();
    EndStream(result);
    return;
  }
  WriteResponse(std::get<Answered>(result));
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
  last_write_at_ = ports_.clock();
  return stream_->good();
}

std::string AnswerWriter::EventJson(const std::string& part) const {
  json choice{{"index", 0}};
  if (request_.form == AnswerForm::kChat) {
    choice["delta"] = {{"content", part}};
  } else {
    choice["text"] = part;
  }
  return Dump(json{{"model", request_.model.value},
                   {"choices", json::array({choice})}});
}

std::string AnswerWriter::ResponseJson(const Answered& answered) const {
  json choice{{"index", 0}, {"finish_reason", answered.finished.reason}};
  if (request_.form == AnswerForm::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", full_text_}};
  } else {
    choice["text"] = full_text_;
  }
  return Dump(json{{"model", request_.model.value},
                   {"choices", json::array({choice})},
                   {"usage",
                    {{"prompt_tokens", request_.prompt_tokens.value},
                     {"completion_tokens", answered.finished.length}}},
                   {"harecrank",
                    {{"endpoint", answered.endpoint.value},
                     {"attempts", answered.attempts},
                     {"members", answered.members}}}});
}

void AnswerWriter::EndStream(const DispatchResult& result) {
  // The HTTP status cannot change after the first byte, so an error is sent as
  // an event named "error".
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

void AnswerWriter::WriteResponse(const Answered& answered) {
  if (request_.form == AnswerForm::kService) {
    ports_.response->set("Harecrank-Endpoint", answered.endpoint.value);
    const std::string& type = answered.finished.content_type;
    SendResponse(*ports_.response, answered.finished.status, full_text_,
                 type.empty() ? "application/octet-stream" : type);
    return;
  }
  SendResponse(*ports_.response, http_status::kOk, ResponseJson(answered));
}

}  // namespace harecrank
