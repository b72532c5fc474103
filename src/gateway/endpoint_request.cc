#include "src/gateway/endpoint_request.h"

#include <boost/beast/core/string.hpp>
#include <charconv>

#include "src/gateway/message_text.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

constexpr char kResumeAfter[] = "Last-Event-ID";

// Returns whether the caller's header `name` is dropped or replaced by the
// gateway.
bool IsSetByGateway(std::string_view name, const ProtocolNames& names,
                    const HeadChanges& changes) {
  const boost::beast::string_view header_name(name.data(), name.size());
  const auto matches = [&header_name](const std::string& known) {
    return boost::beast::iequals(known, header_name);
  };
  if (matches("Authorization")) {
    return changes.strip_key;
  }
  if (matches(kResumeAfter)) {
    return !changes.resume_after.empty();
  }
  return matches(names.time_left) || matches(names.expected_endpoint) ||
         matches(names.account) || matches(names.urgency) ||
         matches(names.helpers);
}

}  // namespace

std::string EndpointHead(const CallerRequest& request,
                         const ProtocolNames& names,
                         const HeadChanges& changes) {
  std::string head(View(request.method_string()));
  head.append(" ");
  head.append(View(request.target()));
  head.append(" HTTP/1.1\r\n");
  const HopByHopHeaders hop_by_hop(request);
  for (const auto& field : request) {
    const std::string_view name = View(field.name_string());
    if (!hop_by_hop.Contains(name) && !IsSetByGateway(name, names, changes)) {
      AppendHeader(name, View(field.value()), &head);
    }
  }
  AppendHeader(names.time_left, std::to_string(changes.time_left.count()),
               &head);
  AppendHeader(names.expected_endpoint, changes.endpoint.value, &head);
  if (changes.account.has_value()) {
    AppendHeader(names.account, changes.account->value, &head);
  }
  if (changes.urgency.has_value()) {
    AppendHeader(names.urgency, std::to_string(*changes.urgency), &head);
  }
  if (!changes.helpers.empty()) {
    AppendHeader(names.helpers, changes.helpers, &head);
  }
  if (!changes.resume_after.empty()) {
    AppendHeader(kResumeAfter, changes.resume_after, &head);
  }
  const bool has_body = changes.body_bytes > 0 ||
                        request.method() == http::verb::post ||
                        request.method() == http::verb::put;
  if (has_body) {
    AppendHeader("Content-Length", std::to_string(changes.body_bytes), &head);
  }
  head.append("\r\n");
  return head;
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end == text.data()) {
    return std::nullopt;
  }
  return number;
}

std::string BearerKey(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  if (authorization.size() <= kScheme.size() ||
      !boost::beast::iequals(
          boost::beast::string_view(authorization.data(), kScheme.size()),
          boost::beast::string_view(kScheme.data(), kScheme.size()))) {
    return "";
  }
  return std::string(authorization.substr(kScheme.size()));
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace harecrank
