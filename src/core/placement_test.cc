#include "harecrank/core/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

const ServiceName kWriters{"writers"};
const ServiceName kPages{"pages"};
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
      Add(kWriters, "e" + std::to_string(i), "a");
    }
    Add(kPages, "p0", "a");
    Add(kPages, "p1", "b");
    engines_.name = kWriters;
    engines_.engine = Engine();
    pages_.name = kPages;
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
    request.service = &engines_;
    request.prompt = Tokens{prompt};
    request.answer = Tokens{1500};
    request.tightest_gap = Millis(250);
    request.until_late = FractionalMillis(route.target_latency);
    return request;
  }

  PlacementResult Choose(const RouteRule& route, std::int64_t prompt) {
    return placer_.Choose(RequestOf(route, prompt));
  }

  // Places as a host does, and keeps the load.
  Placement Place(const RouteRule& route, std::int64_t prompt) {
    Placement placement = std::get<Placement>(Choose(route, prompt));
    for (const WorkPart& part : PartsOf(placement, RequestOf(route, prompt))) {
      loads_.Begin(part);
    }
    return placement;
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t drawn_ = 0;
  EndpointDirectory directory_{[this] { return now_; }};
  EndpointLoads loads_{[this] { return now_; }};
  EndpointHealth health_{[this] { return now_; }};
  int hosts_ = 3;
  Placer placer_{&directory_,
                 &loads_,
                 &health_,
                 DataCentreId{"a"},
                 LoadScope::kAllHosts,
                 [this] { return hosts_; },
                 PlacementPolicy{},
                 [this] { return drawn_ += 0x9e3779b97f4a7c15; }};
  ServiceProfile engines_;
  ServiceProfile pages_;
  RouteRule short_route_;
  RouteRule long_route_;
};

TEST_CASE_METHOD(PlacementFixture, "Short requests are packed, not spread") {
  std::set<EndpointId> used;
  for (int i = 0; i < 8; ++i) {
    used.insert(Place(short_route_, 2000).endpoint.id);
  }
  CHECK(used.size() <= 3);
}

TEST_CASE_METHOD(PlacementFixture,
                 "The more hosts place unseen, the wider they spread") {
  // How many engines are packed is another question than how wide they spread.
  PlacementPolicy policy;
  policy.short_share_of_slots = 0.6;
  const Placer placer(
      &directory_, &loads_, &health_, DataCentreId{"a"}, LoadScope::kAllHosts,
      [this] { return hosts_; }, policy,
      [this] { return drawn_ += 0x9e3779b97f4a7c15; });
  // As many as most engines take, each with more to read than the last.
  const FractionalMillis step(6);
  for (int i = 0; i < kEngines; ++i) {
    for (int member = 0; member < 8; ++member) {
      loads_.Begin(
          {EndpointId{"e" + std::to_string(i)}, WorkClass::kShort,
           (i * step + FractionalMillis(EndpointLoads::kRateWindow)) / 8,
           Tokens{2000}, short_route_.target_gap});
    }
  }
  // No wave of them arrives just now, which would spread them by itself.
  now_ += EndpointLoads::kRateWindow + Millis(1);
  const auto used = [this, &placer](int hosts) {
    hosts_ = hosts;
    std::set<EndpointId> chosen;
    for (int i = 0; i < 40; ++i) {
      const PlacementResult result =
          placer.Choose(RequestOf(short_route_, 2000));
      chosen.insert(std::get<Placement>(result).endpoint.id);
    }
    return chosen.size();
  };
  CHECK(used(1) == 1);
  CHECK(used(3) <= 3);
  CHECK(used(21) >= 5);
}

TEST_CASE_METHOD(PlacementFixture,
                 "Large parts keep off engines with short requests while there "
                 "is time") {
  std::set<EndpointId> with_short;
  for (int i = 0; i < kEngines / 3; ++i) {
    const EndpointId id{"e" + std::to_string(i)};
    loads_.Begin({id, WorkClass::kShort, FractionalMillis(0), Tokens{2000},
                  short_route_.target_gap});
    with_short.insert(id);
  }
  const auto placement = std::get<Placement>(Choose(long_route_, 154000));
  CHECK(with_short.count(placement.endpoint.id) == 0);
  for (const PrefillHelper& helper : placement.helpers) {
    CHECK(with_short.count(helper.record.id) == 0);
  }
}

TEST_CASE_METHOD(PlacementFixture,
                 "Parts are laid as far from short requests as can be") {
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
  std::set<std::string> readers{placement.endpoint.id.value};
  for (const PrefillHelper& helper : placement.helpers) {
    readers.insert(helper.record.id.value);
  }
  const std::set<std::string> last(order.end() - 3, order.end());
  CHECK(readers == last);
}

TEST_CASE_METHOD(PlacementFixture,
                 "A long prompt is read by many engines, none of which a "
                 "short request uses") {
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

TEST_CASE_METHOD(PlacementFixture,
                 "A second long prompt waits until the first has been read") {
  Place(long_route_, 250000);
  CHECK(std::holds_alternative<EnginesBusy>(Choose(long_route_, 250000)));
  // Its prediction has run out, but no first event has come.
  now_ += Millis(5000);
  CHECK(std::holds_alternative<EnginesBusy>(Choose(long_route_, 250000)));
}

TEST_CASE_METHOD(PlacementFixture,
                 "A short request avoids engines that read a long prompt") {
  const Placement long_one = Place(long_route_, 250000);
  const Placement short_one = Place(short_route_, 2000);
  CHECK(short_one.endpoint.id != long_one.endpoint.id);
  CHECK(short_one.first_event < FractionalMillis(150));
}

TEST_CASE_METHOD(PlacementFixture,
                 "A prompt that no engine holds has its memory on helpers") {
  const Placement placement = Place(long_route_, 420000);
  Tokens held;
  for (const PrefillHelper& helper : placement.helpers) {
    held = held + helper.held;
  }
  CHECK(Tokens{120000} < held);
  CHECK(IsOversize(engines_, Tokens{420000}));
  CHECK_FALSE(IsOversize(engines_, Tokens{200000}));
}

TEST_CASE_METHOD(PlacementFixture,
                 "A prompt that no engine holds keeps off engines where "
                 "anything runs") {
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
  request.service = &pages_;
  request.tried = {EndpointId{"p0"}};
  const PlacementResult second = placer_.Choose(request);
  CHECK(std::get<Placement>(second).endpoint.id == EndpointId{"p1"});
  request.tried.insert(EndpointId{"p1"});
  CHECK(std::holds_alternative<NoEndpoint>(placer_.Choose(request)));
}

TEST_CASE_METHOD(PlacementFixture,
                 "A plain request prefers its own data centre while that is "
                 "no busier") {
  PlacementRequest request;
  request.target_latency = short_route_.target_latency;
  request.target_gap = short_route_.target_gap;
  request.service = &pages_;
  drawn_ = 0;
  loads_.Begin({EndpointId{"p0"}, WorkClass::kShort, FractionalMillis(0),
                Tokens{0}, Millis(0)});
  loads_.Begin({EndpointId{"p0"}, WorkClass::kShort, FractionalMillis(0),
                Tokens{0}, Millis(0)});
  CHECK(std::get<Placement>(placer_.Choose(request)).endpoint.id ==
        EndpointId{"p1"});
}

// After a stop of the whole fleet all hosts see empty engines: packed onto the
// first of them, a wave of short requests waits there for its own reading.
TEST_CASE_METHOD(PlacementFixture,
                 "A wave of short requests is spread before it is known how "
                 "many are under way") {
  const auto used_in_a_wave = [this](int wave) {
    std::set<EndpointId> used;
    for (int i = 0; i < wave; ++i) {
      const Placement placement = Place(short_route_, 8000);
      used.insert(placement.endpoint.id);
    }
    return used.size();
  };
  hosts_ = 5;
  const std::size_t few = used_in_a_wave(2);
  CHECK(few <= 2);
  CHECK(used_in_a_wave(12) >= 8);
}

}  // namespace
}  // namespace harecrank
