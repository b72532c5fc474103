#include "src/gateway/gateway_services.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

std::shared_ptr<const RoutingTable> MakeTable(std::uint64_t version) {
  RoutingDocument document;
  document.version = RoutingVersion{version};
  return std::make_shared<const RoutingTable>(document);
}

TEST_CASE("An older routing table never replaces the one in force") {
  RoutingState state;
  CHECK(state.InForce() == nullptr);
  CHECK(state.Offer(MakeTable(7)));
  CHECK_FALSE(state.Offer(MakeTable(7)));
  CHECK_FALSE(state.Offer(MakeTable(3)));
  CHECK(state.InForce()->Version() == RoutingVersion{7});
  CHECK(state.Offer(MakeTable(12)));
  CHECK(state.InForce()->Version() == RoutingVersion{12});
}

}  // namespace
}  // namespace harecrank
