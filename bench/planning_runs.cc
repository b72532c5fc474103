// Measures the CPU time that the planner needs to plan long prompts ahead, as a
// function of the number of engines, while twenty prompts wait. Runs in one
// process without a network.

#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bench/measure.h"
#include "bench/runs.h"
#include "harecrank/core/planner.h"
#include "testing/engine_service.h"

namespace harecrank::bench {
namespace {

using nlohmann::json;

constexpr int kWaiting = 20;
constexpr int kTimes = 200;
constexpr int kQuickTimes = 10;
constexpr int kLongestPrompt = 220000;
constexpr int kMiddlePrompt = 40000;

const ServiceName kService{"writers"};

// A planner with busy engines and waiting prompts.
class BusyPlanner {
 public:
  explicit BusyPlanner(int engines) {
    policy_.long_placing = ReserveEnginesAhead{};
    for (int i = 0; i < engines; ++i) {
      EndpointRecord record;
      record.id = EndpointId{"i-" + std::to_string(i)};
      record.service = kService;
      record.address = "10.9.0.1:" + std::to_string(i);
      directory_.Upsert(record);
    }
    RoutingDocument document;
    document.version = RoutingVersion{1};
    document.services = {testing::MakeEngineServiceProfile(kService)};
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    planner_ = std::make_unique<Planner>(
        &directory_, &health_, &start_quotas_, DataCentreId{"a"},
        [this] { return table_; }, policy_, [this] { return now_; },
        [this] { return random_(); });
    // The first queries keep all engines busy, and those after them wait.
    for (int i = 0; planner_->WaitingCount() < kWaiting; ++i) {
      SendQuery(i % 2 == 0 ? kLongestPrompt : kMiddlePrompt);
    }
  }

  std::size_t Waiting() const { return planner_->WaitingCount(); }
  void Plan() { planner_->ProcessWaitQueue(); }

  // Returns a timetable of engines that become free at random times.
  EngineTimetable MakeTimetable() {
    std::uniform_int_distribution<int> busy_ms(0, 900);
    std::vector<EngineAvailability> engines;
    for (const EndpointRecord* record : directory_.UsableOf(kService)) {
      EngineAvailability engine;
      engine.candidate.record = record;
      engine.candidate.rank = random_();
      engine.free_at = now_ + Millis(busy_ms(random_));
      engines.push_back(std::move(engine));
    }
    return EngineTimetable(&*table_->FindService(kService)->engine, &policy_,
                           now_, std::move(engines));
  }

  LongPrompt Longest() const {
    PlacementRequest request;
    request.service = table_->FindService(kService);
    request.target_latency = Millis(4000);
    request.target_gap = Millis(1200);
    request.tightest_gap = Millis(300);
    request.prompt = Tokens{kLongestPrompt};
    return LongPromptOf(request);
  }

 private:
  void SendQuery(int prompt) {
    PlacementQuery query;
    query.host = HostAddress{"h"};
    query.incarnation = Incarnation{1};
    query.id = QueryId{++last_query_};
    query.service = kService;
    query.target_latency = Millis(4000);
    query.target_gap = Millis(1200);
    query.prompt = Tokens{prompt};
    query.answer = Tokens{900};
    query.until_late = query.target_latency;
    planner_->OnQuery(query);
  }

  TimePoint now_{std::chrono::hours(1)};
  std::mt19937_64 random_{1};
  EndpointDirectory directory_{[this] { return now_; }};
  EndpointHealth health_{[this] { return now_; }};
  ColdEndpoints cold_{[this] { return now_; }};
  EndpointRateLimits limits_{[this] { return now_; }};
  StartQuotas start_quotas_{ColdLimit{},      &cold_,
                            &limits_,         HostBackoffs{},
                            [] { return 1; }, [this] { return now_; }};
  PlacementPolicy policy_;
  std::shared_ptr<const RoutingTable> table_;
  std::unique_ptr<Planner> planner_;
  std::uint64_t last_query_ = 0;
};

}  // namespace

json MeasurePlanning(const RunOptions& options) {
  const int times = options.quick ? kQuickTimes : kTimes;
  Slope decision{"one group, planned and reserved", "engines", "us", {}};
  Slope pass{"a pass over 20 waiting prompts", "engines", "us", {}};
  for (const int engines : {60, 150, 600, 3700}) {
    BusyPlanner planner(engines);
    const auto add = [engines](Slope* slope, double micros) {
      slope->points.push_back(Point{static_cast<double>(engines), micros});
    };
    const LongPrompt prompt = planner.Longest();
    double micros = 0;
    for (int i = 0; i < times; ++i) {
      EngineTimetable timetable = planner.MakeTimetable();
      micros += MeanMicros(kWaiting, [&](int) {
        if (auto planned =
                timetable.EarliestGroup(prompt, timetable.Now(), {})) {
          timetable.Reserve(*planned);
        }
      });
    }
    add(&decision, micros / times);
    add(&pass, MeanMicros(times, [&](int) { planner.Plan(); }));
    std::cout << engines << " engines: " << planner.Waiting()
              << " prompts wait\n";
  }
  return json::array({ReportSlope(decision), ReportSlope(pass)});
}

}  // namespace harecrank::bench
