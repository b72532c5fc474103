#include "harecrank/core/routing_table.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

std::shared_ptr<const RouteRule> Rule(const std::string& prefix,
                                      const std::string& service,
                                      Millis target_gap = Millis(0)) {
  RouteRule rule;
  rule.name = prefix;
  rule.host = "A.example";
  rule.path_prefix = prefix;
  rule.target_gap = target_gap;
  rule.services.push_back(WeightedService{ServiceName{service}, 1});
  return std::make_shared<const RouteRule>(std::move(rule));
}

TEST_CASE("The longest prefix that begins a path is its route") {
  RoutingDocument document;
  document.routes = {Rule("/", "s"), Rule("/a/", "s"), Rule("/a/b/", "s")};
  const RoutingTable table(document);
  CHECK(table.FindRoute("a.example", "/a/b/c")->path_prefix == "/a/b/");
  CHECK(table.FindRoute("a.example", "/a/bc")->path_prefix == "/a/");
  CHECK(table.FindRoute("a.example", "/x")->path_prefix == "/");
}

TEST_CASE("A host is matched whatever its case and port") {
  RoutingDocument document;
  document.routes = {Rule("/a/", "s")};
  const RoutingTable table(document);
  CHECK(table.FindRoute("a.EXAMPLE:8080", "/a/") != nullptr);
  CHECK(table.FindRoute("b.example", "/a/") == nullptr);
  CHECK(table.FindRoute("a.example", "/b/") == nullptr);
  CHECK(table.FindRoute("a.example", "") == nullptr);
}

TEST_CASE("Every key of an account leads to it, and no other key does") {
  RoutingDocument document;
  document.accounts = {AccountEntry{AccountId{"acme"}, {"k1", "k2"}, 3}};
  const RoutingTable table(document);
  CHECK(table.NeedsKeys());
  CHECK(table.FindAccountByKey("k2")->id == AccountId{"acme"});
  CHECK(table.FindAccountByKey("") == nullptr);
}

TEST_CASE("Without accounts no request needs a key") {
  CHECK_FALSE(RoutingTable(RoutingDocument{}).NeedsKeys());
}

TEST_CASE("The tightest gap of a service is that of any route to it") {
  RoutingDocument document;
  document.routes = {Rule("/a/", "s", Millis(600)),
                     Rule("/b/", "s", Millis(250)), Rule("/c/", "t")};
  const RoutingTable table(document);
  CHECK(table.TightestGap(ServiceName{"s"}) == Millis(250));
  CHECK(table.TightestGap(ServiceName{"t"}) == Millis(0));
}

}  // namespace
}  // namespace harecrank
