#include "src/gateway/response_decoder.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "harecrank/core/decimal_text.h"
#include "src/gateway/endpoint_request.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

constexpr double kMillisPerSecond = 1000;

std::optional<Poco::Timestamp> ParseHttpDate(std::string_view text) {
  const std::string& format = Poco::DateTimeFormat::HTTP_FORMAT;
  const std::string date_text(text);
  Poco::DateTime date;
  int zone = 0;
  const bool is_parsed =
      Poco::DateTimeParser::tryParse(format, date_text, date, zone);
  // The parser accepts nearly any text as a date, so the parsed date is
  // formatted again and compared with the text.
  if (!is_parsed ||
      Poco::DateTimeFormatter::format(date, format) != date_text) {
    return std::nullopt;
  }
  return date.timestamp();
}

bool IsEventStream(const ResponseHead& head) {
  constexpr std::string_view kType = "text/event-stream";
  return View(head[http::field::content_type]).substr(0, kType.size()) == kType;
}

bool IsEncoded(const ResponseHead& head) {
  const auto coding = head.find(http::field::content_encoding);
  return coding != head.end() &&
         !boost::beast::iequals(coding->value(), "identity");
}

// Returns whether a Retry-After header in a response with `status` is a
// back-off hint.
bool MayCarryBackoffHint(unsigned status) {
  return status == http_status::kUnavailable ||
         status == http_status::kTooManyRequests;
}

}  // namespace

BackoffHint ParseRetryAfter(std::string_view text,
                            std::string_view response_date) {
  const auto longest = static_cast<double>(kMaxBackoff.count());
  if (const auto seconds = ParseDecimal(text)) {
    const double backoff = std::min(longest, *seconds * kMillisPerSecond);
    return Millis(static_cast<std::int64_t>(std::ceil(backoff)));
  }
  const auto until = ParseHttpDate(text);
  const auto since = ParseHttpDate(response_date);
  if (!until.has_value() || !since.has_value()) {
    return UnreadableBackoff{};
  }
  const Millis backoff = std::chrono::duration_cast<Millis>(
      std::chrono::microseconds(*until - *since));
  return std::clamp(backoff, Millis(0), kMaxBackoff);
}

LeavingHint ParseLeavingHint(std::string_view text) {
  const auto number = ParseDecimal(text);
  if (number == 0.0) {
    return LeavingHint::kNone;
  }
  return number == 1.0 ? LeavingHint::kLeaving : LeavingHint::kUnreadable;
}

EndpointResponse DecodeResponse(const ResponseHead& head,
                                const ProtocolNames& names) {
  EndpointResponse response;
  response.status = head.result_int();
  response.is_signed = head.count(names.answer_signature) != 0;
  response.is_encoded = IsEncoded(head);
  response.is_event_stream = IsEventStream(head);
  response.not_run = head.count(names.not_run) != 0;
  response.at_fault = std::string(head[names.endpoint_at_fault]);
  const auto limit = head.find(names.request_limit);
  if (limit != head.end()) {
    response.limit = ParseRateLimit(View(limit->value()));
  }
  const auto backoff = head.find(http::field::retry_after);
  if (backoff != head.end() && MayCarryBackoffHint(response.status)) {
    response.backoff =
        ParseRetryAfter(View(backoff->value()), View(head[http::field::date]));
  }
  const auto leaving = head.find(names.leaving);
  if (leaving != head.end()) {
    response.leaving = ParseLeavingHint(View(leaving->value()));
  }
  return response;
}

}  // namespace harecrank
