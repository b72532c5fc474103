#include "harecrank/core/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

const ServiceName kEngineService{"writers"};
const ServiceName kPlainService{"pages"};
constexpr int kEngines = 12;

EngineProfile Engine() {
  EngineProfile engine;
  engine.slots = 16;
  engine.memory = Tokens{300000};
  engine.step_ms = 0.85;
  engine.step_ms_per_sequence = 0.004;
  engine.step_ms_per_thousand_context = 0.003;
  engine.prefill_tokens_per_ms = 177;
  engine.prefill_ms_per_million_pairs = 0.184;
  engine.steps_per_pass = 50;
  return engine;
}

// Twelve engines and two plain endpoints, all idle, seen from data centre a.
class PlacementFixture {
 protected:
  PlacementFixture() {
    for (int i = 0; i < kEngines; ++i) {
      Add(kEngineService, "e" + std::to_string(i), "a");
    }
    Add(kPlainService, "p0", "a");
    Add(kPlainService, "p1", "b");
    engine_service_.name = kEngineService;
    engine_service_.engine = Engine();
    plain_service_.name = kPlainService;
    short_route_.target_latency = Millis(300);
    short_route_.target_gap = Millis(250);
    long_route_.target_latency = Millis(3000);
    long_route_.target_gap = Millis(1000);
  }

  void Add(const ServiceName& service, const std::string& id,
           const std::string& data_centre) {
    EndpointRecord record;
    record.id = EndpointId{id};
    record.service = service;
    record.address = id + ":1";
    record.data_centre = DataCentreId{data_centre};
    directory_.Upsert(record);
  }

  PlacementRequest RequestOf(const RouteRule& route, std::int64_t prompt) {
    PlacementRequest request;
    request.target_latency = route.target_latency;
    request.target_gap = route.target_gap;
    request.service = &engine_service_;
    request.prompt = Tokens{prompt};
    request.answer = Tokens{1500};
    request.tightest_gap = Millis(250);
    request.until_late = FractionalMillis(route.target_latency);
    return request;
  }

  PlacementResult Choose(const RouteRule& route, std::int64_t prompt) {
    return placer_.Choose(RequestOf(route, prompt));
  }

  // Places a request and records its load.
  Placement Place(const RouteRule& route, std::int64_t prompt) {
    Placement placement = std::get<Placement>(Choose(route, prompt));
    for (const WorkPart& part : PartsOf(placement, RequestOf(route, prompt))) {
      loads_.Begin(part);
    }
    return placement;
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t random_state_ = 0;
  EndpointDirectory directory_{[this] { return now_; }};
  EndpointLoads loads_{[this] { return now_; }};
  EndpointHealth health_{[this] { return now_; }};
  int placing_hosts_ = 3;
  Placer placer_{&directory_,
                 &loads_,
                 &health_,
                 DataCentreId{"a"},
                 LoadScope::kAllHosts,
                 [this] { return placing_hosts_; },
                 PlacementPolicy{},
                 [this] { return random_state_ += 0x9e3779b97f4a7c15; }};
  ServiceProfile engine_service_;
  ServiceProfile plain_service_;
  RouteRule short_route_;
  RouteRule long_route_;
};

TEST_CASE_METHOD(PlacementFixture, "Short requests are packed, not spread") {
  std::set<EndpointId> engines_used;
  for (int i = 0; i < 8; ++i) {
    engines_used.insert(Place(short_route_, 2000).endpoint.id);
  }
  CHECK(engines_used.size() <= 3);
}

TEST_CASE_METHOD(
    PlacementFixture,
    "More hosts that place independently spread their requests more widely") {
  // Fixes the number of reserved engines, so that only the jitter varies.
  PlacementPolicy policy;
  policy.short_share_of_slots = 0.6;
  const Placer placer(
      &directory_, &loads_, &health_, DataCentreId{"a"}, LoadScope::kAllHosts,
      [this] { return placing_hosts_; }, policy,
      [this] { return random_state_ += 0x9e3779b97f4a7c15; });
  // Enough short requests that most engines are reserved for them. Each engine
  // has a longer backlog than the one before.
  const FractionalMillis step(6);
  for (int i = 0; i < kEngines; ++i) {
    for (int member = 0; member < 8; ++member) {
      loads_.Begin(
          {EndpointId{"e" + std::to_string(i)}, WorkClass::kShort,
           (i * step + FractionalMillis(EndpointLoads::kRateWindow)) / 8,
           Tokens{2000}, short_route_.target_gap});
    }
  }
  // Lets the arrival rate fall to zero, since it widens the jitter as well.
  now_ += EndpointLoads::kRateWindow + Millis(1);
  const auto engines_used = [this, &placer](int hosts) {
    placing_hosts_ = hosts;
    std::set<EndpointId> chosen;
    for (int i = 0; i < 40; ++i) {
      const PlacementResult result =
          placer.Choose(RequestOf(short_route_, 2000));
      chosen.insert(std::get<Placement>(result).endpoint.id);
    }
    return chosen.size();
  };
  CHECK(engines_used(1) == 1);
  CHECK(engines_used(3) <= 3);
  CHECK(engines_used(21) >= 5);
}

TEST_CASE_METHOD(
    PlacementFixture,
    "Large parts avoid engines with short requests while there is time") {
  std::set<EndpointId> short_engines;
  for (int i = 0; i < kEngines / 3; ++i) {
    const EndpointId id{"e" + std::to_string(i)};
    loads_.Begin({id, WorkClass::kShort, FractionalMillis(0), Tokens{2000},
                  short_route_.target_gap});
    short_engines.insert(id);
  }
  const auto placement = std::get<Placement>(Choose(long_route_, 154000));
  CHECK(short_engines.count(placement.endpoint.id) == 0);
  for (const PrefillHelper& helper : placement.helpers) {
    CHECK(short_engines.count(helper.record.id) == 0);
  }
}

TEST_CASE_METHOD(PlacementFixture,
                 "Parts are placed at the opposite end of the engine order "
                 "from short requests") {
  std::vector<std::string> order;
  order.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    order.push_back("e" + std::to_string(i));
  }
  std::sort(order.begin(), order.end(),
            [](const std::string& a, const std::string& b) {
              return RendezvousWeight("short-first", a) >
                     RendezvousWeight("short-first", b);
            });
  CHECK(std::get<Placement>(Choose(short_route_, 2000)).endpoint.id.value ==
        order.front());
  const auto placement = std::get<Placement>(Choose(long_route_, 40000));
  std::set<std::string> engines{placement.endpoint.id.value};
  for (const PrefillHelper& helper : placement.helpers) {
    engines.insert(helper.record.id.value);
  }
  const std::set<std::string> last(order.end() - 3, order.end());
  CHECK(engines == last);
}

TEST_CASE_METHOD(PlacementFixture,
                 "A long prompt is prefilled by many engines, none of which "
                 "has short requests") {
  std::set<EndpointId> used_by_short;
  for (int i = 0; i < 4; ++i) {
    used_by_short.insert(Place(short_route_, 2000).endpoint.id);
  }
  const Placement placement = Place(long_route_, 154000);
  CHECK(placement.helpers.size() >= 8);
  CHECK(placement.first_event < FractionalMillis(1000));
  CHECK(used_by_short.count(placement.endpoint.id) == 0);
  for (const PrefillHelper& helper : placement.helpers) {
    CHECK(used_by_short.count(helper.record.id) == 0);
  }
}

TEST_CASE_METHOD(
    PlacementFixture,
    "A second long prompt waits until the prefill of the first is done") {
  Place(long_route_, 250000);
  CHECK(std::holds_alternative<EnginesBusy>(Choose(long_route_, 250000)));
  // The predicted time has passed, but the first event has not come.
  now_ += Millis(5000);
  CHECK(std::holds_alternative<EnginesBusy>(Choose(long_route_, 250000)));
}

TEST_CASE_METHOD(PlacementFixture,
                 "A short request avoids engines that prefill a long prompt") {
  const Placement long_one = Place(long_route_, 250000);
  const Placement short_one = Place(short_route_, 2000);
  CHECK(short_one.endpoint.id != long_one.endpoint.id);
  CHECK(short_one.first_event < FractionalMillis(150));
}

TEST_CASE_METHOD(
    PlacementFixture,
    "A prompt larger than an engine's memory keeps the rest on helpers") {
  const Placement placement = Place(long_route_, 420000);
  Tokens held;
  for (const PrefillHelper& helper : placement.helpers) {
    held = held + helper.held;
  }
  CHECK(Tokens{120000} < held);
  CHECK(IsOversize(engine_service_, Tokens{420000}));
  CHECK_FALSE(IsOversize(engine_service_, Tokens{200000}));
}

TEST_CASE_METHOD(PlacementFixture,
                 "A prompt larger than an engine's memory avoids engines with "
                 "running requests") {
  for (int i = 0; i < kEngines; ++i) {
    loads_.Begin({EndpointId{"e" + std::to_string(i)}, WorkClass::kLong,
                  FractionalMillis(1), Tokens{1000}, long_route_.target_gap});
  }
  now_ += Millis(100);
  CHECK(std::holds_alternative<EnginesBusy>(Choose(long_route_, 420000)));
}

TEST_CASE_METHOD(PlacementFixture,
                 "Suspect endpoints are used only when all are suspect") {
  for (int i = 1; i < kEngines; ++i) {
    health_.OnUnreachable(EndpointId{"e" + std::to_string(i)});
  }
  CHECK(Place(short_route_, 2000).endpoint.id == EndpointId{"e0"});
  health_.OnUnreachable(EndpointId{"e0"});
  CHECK(std::holds_alternative<Placement>(Choose(short_route_, 2000)));
}

TEST_CASE_METHOD(PlacementFixture,
                 "Endpoints that were tried are not chosen again") {
  PlacementRequest request;
  request.target_latency = short_route_.target_latency;
  request.target_gap = short_route_.target_gap;
  request.service = &plain_service_;
  request.tried = {EndpointId{"p0"}};
  const PlacementResult second = placer_.Choose(request);
  CHECK(std::get<Placement>(second).endpoint.id == EndpointId{"p1"});
  request.tried.insert(EndpointId{"p1"});
  CHECK(std::holds_alternative<NoEndpoint>(placer_.Choose(request)));
}

TEST_CASE_METHOD(
    PlacementFixture,
    "A plain request prefers its own data centre unless that is busier") {
  PlacementRequest request;
  request.target_latency = short_route_.target_latency;
  request.target_gap = short_route_.target_gap;
  request.service = &plain_service_;
  random_state_ = 0;
  loads_.Begin({EndpointId{"p0"}, WorkClass::kShort, FractionalMillis(0),
                Tokens{0}, Millis(0)});
  loads_.Begin({EndpointId{"p0"}, WorkClass::kShort, FractionalMillis(0),
                Tokens{0}, Millis(0)});
  CHECK(std::get<Placement>(placer_.Choose(request)).endpoint.id ==
        EndpointId{"p1"});
}

// After a restart of the whole fleet all hosts see idle engines. If they packed
// a burst of short requests onto the first engines, the requests would wait
// there for each other's prefill.
TEST_CASE_METHOD(PlacementFixture,
                 "A burst of short requests is spread before the number of "
                 "active requests shows it") {
  const auto engines_used = [this](int requests) {
    std::set<EndpointId> chosen;
    for (int i = 0; i < requests; ++i) {
      const Placement placement = Place(short_route_, 8000);
      chosen.insert(placement.endpoint.id);
    }
    return chosen.size();
  };
  placing_hosts_ = 5;
  const std::size_t few = engines_used(2);
  CHECK(few <= 2);
  CHECK(engines_used(12) >= 8);
}

}  // namespace
}  // namespace harecrank
