#include "src/gateway/endpoint_request.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

ProtocolNames Names() {
  ProtocolNames names;
  names.time_left = "X-Left";
  names.account = "X-Account";
  names.expected_endpoint = "X-Endpoint";
  names.helpers = "X-Helpers";
  names.urgency = "X-Urgency";
  return names;
}

CallerRequest Request() {
  CallerRequest request;
  request.method_string("POST");
  request.target("/a/b?c=d");
  request.set("Host", "h");
  request.set("Authorization", "Bearer k");
  request.set("Connection", "keep-alive, X-Private");
  request.set("X-Private", "1");
  request.set("x-helpers", "smuggled");
  request.set("X-Account", "somebody else");
  request.set("Last-Event-ID", "3");
  request.set("X-Mine", "kept");
  return request;
}

bool Has(const std::string& head, const std::string& line) {
  return head.find("\r\n" + line + "\r\n") != std::string::npos;
}

TEST_CASE(
    "The head keeps the caller's headers except those that only the gateway "
    "may set") {
  HeadChanges changes;
  changes.time_left = Millis(70);
  changes.endpoint = EndpointId{"e"};
  changes.account = AccountId{"acme"};
  changes.strip_key = true;
  const std::string head = EndpointHead(Request(), Names(), changes);
  CHECK(head.rfind("POST /a/b?c=d HTTP/1.1\r\n", 0) == 0);
  CHECK(Has(head, "X-Mine: kept"));
  CHECK(Has(head, "X-Left: 70"));
  CHECK(Has(head, "X-Endpoint: e"));
  CHECK(Has(head, "X-Account: acme"));
  CHECK(Has(head, "Last-Event-ID: 3"));
  CHECK(Has(head, "Content-Length: 0"));
  CHECK(head.find("somebody") == std::string::npos);
  CHECK(head.find("smuggled") == std::string::npos);
  CHECK(head.find("X-Private") == std::string::npos);
  CHECK(head.find("Bearer") == std::string::npos);
}

TEST_CASE("A resumed stream asks for the events after the last complete one") {
  HeadChanges changes;
  changes.resume_after = "17";
  const std::string head = EndpointHead(Request(), Names(), changes);
  CHECK(Has(head, "Last-Event-ID: 17"));
  CHECK(head.find("Last-Event-ID: 3") == std::string::npos);
}

TEST_CASE("Integers, bearer keys and paths are parsed strictly") {
  CHECK(ParseInteger(" 12,7") == 12);
  CHECK_FALSE(ParseInteger("x1").has_value());
  CHECK_FALSE(ParseInteger("").has_value());
  CHECK(BearerKey("bearer k1") == "k1");
  CHECK(BearerKey("Basic k1").empty());
  CHECK(BearerKey("Bearer ").empty());
  CHECK(PathOf("/a?b/c") == "/a");
}

}  // namespace
}  // namespace harecrank
