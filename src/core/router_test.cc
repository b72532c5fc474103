#include "harecrank/core/router.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

EndpointView MakeView(const std::string& id, std::int64_t short_backlog,
                      std::int64_t long_backlog) {
  EndpointView view;
  view.id = EndpointId{id};
  view.load.short_backlog = Tokens{short_backlog};
  view.load.long_backlog = Tokens{long_backlog};
  view.load.free_memory = Tokens{1000000};
  view.load.memory = Tokens{1000000};
  return view;
}

std::uint64_t Zero() { return 0; }

const RouteRequest kShortRequest{LengthClass::kShort, Tokens{1000}, Tokens{10}};
const RouteRequest kLongRequest{LengthClass::kLong, Tokens{500000}, Tokens{10}};

TEST_CASE("Nothing to choose from gives nothing") {
  CHECK_FALSE(Route(LengthAwarePolicy{}, kShortRequest, {}, Zero));
}

TEST_CASE("A short request avoids an endpoint that prefills a long one") {
  const std::vector<EndpointView> views{MakeView("busy", 0, 500000),
                                        MakeView("some", 20000, 0)};
  CHECK(Route(LengthAwarePolicy{0}, kShortRequest, views, Zero) == 1U);
}

TEST_CASE("At full long weight a short request looks at short work alone") {
  const std::vector<EndpointView> views{MakeView("busy", 0, 500000),
                                        MakeView("some", 20000, 0)};
  CHECK(Route(LengthAwarePolicy{100}, kShortRequest, views, Zero) == 0U);
}

TEST_CASE("A long request counts all work alike") {
  const std::vector<EndpointView> views{MakeView("busy", 0, 500000),
                                        MakeView("some", 20000, 0)};
  CHECK(Route(LengthAwarePolicy{100}, kLongRequest, views, Zero) == 1U);
}

TEST_CASE("A warm cache is used while its endpoint is not much busier") {
  std::vector<EndpointView> views{MakeView("cold", 1000, 0),
                                  MakeView("warm", 3000, 0)};
  views[1].affinity_rank = 1;
  CHECK(Route(LengthAwarePolicy{}, kShortRequest, views, Zero) == 1U);
  views[1].load.short_backlog = Tokens{100000};
  CHECK(Route(LengthAwarePolicy{}, kShortRequest, views, Zero) == 0U);
}

TEST_CASE("Work sent since the last report counts") {
  std::vector<EndpointView> views{MakeView("a", 0, 0), MakeView("b", 10, 0)};
  views[0].unreported = Tokens{50000};
  CHECK(Route(LeastLoadedPolicy{}, kShortRequest, views, Zero) == 1U);
}

TEST_CASE("Endpoints that look alike share the requests") {
  const std::vector<EndpointView> views{MakeView("a", 0, 0),
                                        MakeView("b", 0, 0)};
  std::uint64_t drawn = 0;
  const auto next = [&] { return drawn++; };
  const auto first = Route(LeastLoadedPolicy{}, kShortRequest, views, next);
  const auto second = Route(LeastLoadedPolicy{}, kShortRequest, views, next);
  CHECK(first != second);
}

TEST_CASE("A long prompt is spread as far as its parts stay large enough") {
  CHECK(PrefillPartCount(Tokens{60000}, 6) == 6);
  CHECK(PrefillPartCount(Tokens{60000}, 20) == 7);
  CHECK(PrefillPartCount(Tokens{16000}, 6) == 2);
  CHECK(PrefillPartCount(Tokens{100}, 6) == 1);
  CHECK(PrefillPartCount(Tokens{60000}, 0) == 1);
}

}  // namespace
}  // namespace harecrank
