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

std::uint64_t ReturnZero() { return 0; }

const RouteRequest kShortRequest{LengthClass::kShort, Tokens{1000}, Tokens{10}};
const RouteRequest kLongRequest{LengthClass::kLong, Tokens{500000}, Tokens{10}};

TEST_CASE("No endpoint is selected if there are none") {
  CHECK_FALSE(Route(LengthAwarePolicy{}, kShortRequest, {}, ReturnZero));
}

TEST_CASE("A short request avoids an endpoint that prefills a long prompt") {
  const std::vector<EndpointView> views{MakeView("busy", 0, 500000),
                                        MakeView("some", 20000, 0)};
  CHECK(Route(LengthAwarePolicy{0}, kShortRequest, views, ReturnZero) == 1U);
}

TEST_CASE("At full long weight only short work counts for a short request") {
  const std::vector<EndpointView> views{MakeView("busy", 0, 500000),
                                        MakeView("some", 20000, 0)};
  CHECK(Route(LengthAwarePolicy{100}, kShortRequest, views, ReturnZero) == 0U);
}

TEST_CASE("Short and long work count equally for a long request") {
  const std::vector<EndpointView> views{MakeView("busy", 0, 500000),
                                        MakeView("some", 20000, 0)};
  CHECK(Route(LengthAwarePolicy{100}, kLongRequest, views, ReturnZero) == 1U);
}

TEST_CASE("A warm cache is preferred unless its endpoint is much busier") {
  std::vector<EndpointView> views{MakeView("cold", 1000, 0),
                                  MakeView("warm", 3000, 0)};
  views[1].affinity_rank = 1;
  CHECK(Route(LengthAwarePolicy{}, kShortRequest, views, ReturnZero) == 1U);
  views[1].load.short_backlog = Tokens{100000};
  CHECK(Route(LengthAwarePolicy{}, kShortRequest, views, ReturnZero) == 0U);
}

TEST_CASE("Work sent since the last load report counts") {
  std::vector<EndpointView> views{MakeView("a", 0, 0), MakeView("b", 10, 0)};
  views[0].unreported = Tokens{50000};
  CHECK(Route(LeastLoadedPolicy{}, kShortRequest, views, ReturnZero) == 1U);
}

TEST_CASE("Requests are distributed among endpoints with equal scores") {
  const std::vector<EndpointView> views{MakeView("a", 0, 0),
                                        MakeView("b", 0, 0)};
  std::uint64_t drawn = 0;
  const auto next = [&] { return drawn++; };
  const auto first = Route(LeastLoadedPolicy{}, kShortRequest, views, next);
  const auto second = Route(LeastLoadedPolicy{}, kShortRequest, views, next);
  CHECK(first != second);
}

TEST_CASE(
    "A long prompt is split into at most one part for each endpoint, none of "
    "them too small") {
  CHECK(PrefillPartCount(Tokens{60000}, 6) == 6);
  CHECK(PrefillPartCount(Tokens{60000}, 20) == 7);
  CHECK(PrefillPartCount(Tokens{16000}, 6) == 2);
  CHECK(PrefillPartCount(Tokens{100}, 6) == 1);
  CHECK(PrefillPartCount(Tokens{60000}, 0) == 1);
}

}  // namespace
}  // namespace harecrank
