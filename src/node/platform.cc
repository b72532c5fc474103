#include "src/node/platform.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr Millis kReadTimeout{2000};
// Added to the waiting time of a watch to give the time-out of its HTTP call.
constexpr Millis kWatchMargin{2000};

struct Describer {
  std::string operator()(const PlatformUnreachable& error) const {
    return error.reason;
  }
  std::string operator()(const PlatformRejected& error) const {
    return "the platform answered with status " + std::to_string(error.status);
  }
  std::string operator()(const PlatformResponseMalformed& error) const {
    return "the platform's answer cannot be read: " + error.reason;
  }
};

leaf::result<HttpResponse> Get(const std::string& address,
                               const std::string& path, Millis timeout) {
  HttpCall call;
  call.address = address;
  call.path = path;
  call.timeout = timeout;
  HttpResponse answer;
  BOOST_LEAF_CHECK(leaf::try_handle_some(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(answer, SendHttpRequest(call));
        return {};
      },
      [](const HttpError& error) -> leaf::result<void> {
        return leaf::new_error(
            PlatformError{PlatformUnreachable{Describe(error)}});
      }));
  return answer;
}

leaf::result<json> ParseBody(const std::string& body) {
  try {
    return json::parse(body);
  } catch (const json::exception& error) {
    return leaf::new_error(
        PlatformError{PlatformResponseMalformed{error.what()}});
  }
}

leaf::result<PublishedValue> ToValue(const HttpResponse& answer) {
  if (answer.status != http_status::kOk) {
    return leaf::new_error(PlatformError{PlatformRejected{answer.status}});
  }
  BOOST_LEAF_AUTO(body, ParseBody(answer.body));
  try {
    return PublishedValue{body.at("version").get<std::uint64_t>(),
                          body.at("value").get<std::string>()};
  } catch (const json::exception& error) {
    return leaf::new_error(
        PlatformError{PlatformResponseMalformed{error.what()}});
  }
}

// Returns whether `host` is an entry of the host list and not live. An entry
// that cannot be read says nothing of any host.
bool IsLeaving(const json& host) {
  const auto id = host.find("id");
  const auto state = host.find("state");
  return id != host.end() && id->is_string() && *id != "" &&
         state != host.end() && state->is_string() && *state != "live";
}

}  // namespace

std::string Describe(const PlatformError& error) {
  return std::visit(Describer{}, error);
}

HttpConfigService::HttpConfigService(std::string address)
    : address_(std::move(address)) {}

leaf::result<PublishedValue> HttpConfigService::Read(const std::string& key) {
  BOOST_LEAF_AUTO(answer, Get(address_, "/v1/values/" + key, kReadTimeout));
  return ToValue(answer);
}

leaf::result<std::optional<PublishedValue>> HttpConfigService::Watch(
    const std::string& key, std::uint64_t known, Millis wait) {
  const std::string path = "/v1/values/" + key +
                           "?after=" + std::to_string(known) +
                           "&wait_ms=" + std::to_string(wait.count());
  BOOST_LEAF_AUTO(answer, Get(address_, path, wait + kWatchMargin));
  if (answer.status == http_status::kNotModified) {
    return std::optional<PublishedValue>();
  }
  BOOST_LEAF_AUTO(value, ToValue(answer));
  return std::optional<PublishedValue>(std::move(value));
}

HttpHostList::HttpHostList(std::string address)
    : address_(std::move(address)) {}

leaf::result<HostListVersion> HttpHostList::Read() {
  BOOST_LEAF_AUTO(answer, Get(address_, "/v1/hosts", kReadTimeout));
  if (answer.status != http_status::kOk) {
    return leaf::new_error(PlatformError{PlatformRejected{answer.status}});
  }
  BOOST_LEAF_AUTO(body, ParseBody(answer.body));
  try {
    HostListVersion list;
    body.at("version").get_to(list.version);
    for (const json& host : body.at("hosts")) {
      if (IsLeaving(host)) {
        list.leaving.insert(NodeId{host.at("id").get<std::string>()});
      }
    }
    return list;
  } catch (const json::exception& error) {
    return leaf::new_error(
        PlatformError{PlatformResponseMalformed{error.what()}});
  }
}

}  // namespace harecrank
