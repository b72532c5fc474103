#include "src/gateway/gateway_services.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

std::shared_ptr<const RoutingTable> Table(std::uint64_t version) {
  RoutingDocument document;
  document.version = RoutingVersion{version};
  return std::make_shared<const RoutingTable>(document);
}

TEST_CASE("The routing table in force never goes back") {
  RoutingState state;
  CHECK(state.InForce() == nullptr);
  CHECK(state.Offer(Table(7)));
  CHECK_FALSE(state.Offer(Table(7)));
  CHECK_FALSE(state.Offer(Table(3)));
  CHECK(state.InForce()->Version() == RoutingVersion{7});
  CHECK(state.Offer(Table(12)));
  CHECK(state.InForce()->Version() == RoutingVersion{12});
}

}  // namespace
}  // namespace harecrank
