#include "harecrank/core/routing_table.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

std::shared_ptr<const RouteRule> MakeRule(const std::string& prefix,
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

TEST_CASE("The route with the longest matching prefix is found") {
  RoutingDocument document;
  document.routes = {MakeRule("/", "s"), MakeRule("/a/", "s"),
                     MakeRule("/a/b/", "s")};
  const RoutingTable table(document);
  CHECK(table.FindRoute("a.example", "/a/b/c")->path_prefix == "/a/b/");
  CHECK(table.FindRoute("a.example", "/a/bc")->path_prefix == "/a/");
  CHECK(table.FindRoute("a.example", "/x")->path_prefix == "/");
}

TEST_CASE("Host names match regardless of case and port") {
  RoutingDocument document;
  document.routes = {MakeRule("/a/", "s")};
  const RoutingTable table(document);
  CHECK(table.FindRoute("a.EXAMPLE:8080", "/a/") != nullptr);
  CHECK(table.FindRoute("b.example", "/a/") == nullptr);
  CHECK(table.FindRoute("a.example", "/b/") == nullptr);
  CHECK(table.FindRoute("a.example", "") == nullptr);
}

TEST_CASE("An account is found by each of its keys and by no other key") {
  RoutingDocument document;
  document.accounts = {AccountEntry{AccountId{"acme"}, {"k1", "k2"}, 3, {}}};
  const RoutingTable table(document);
  CHECK(table.NeedsKeys());
  CHECK(table.FindAccountByKey("k2")->id == AccountId{"acme"});
  CHECK(table.FindAccountByKey("") == nullptr);
}

TEST_CASE("No request needs a key if no accounts are published") {
  CHECK_FALSE(RoutingTable(RoutingDocument{}).NeedsKeys());
}

TEST_CASE("The tightest gap of a service is the shortest of all routes to it") {
  RoutingDocument document;
  document.routes = {MakeRule("/a/", "s", Millis(600)),
                     MakeRule("/b/", "s", Millis(250)), MakeRule("/c/", "t")};
  const RoutingTable table(document);
  CHECK(table.TightestGap(ServiceName{"s"}) == Millis(250));
  CHECK(table.TightestGap(ServiceName{"t"}) == Millis(0));
}

}  // namespace
}  // namespace harecrank
