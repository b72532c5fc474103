// Measurements made by sending a load: the hops, the policies, the groups.

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <thread>

#include "bench/load_plan.h"
#include "bench/measure.h"
#include "bench/runs.h"
#include "harecrank/core/router.h"
#include "src/cli/load_run.h"
#include "testing/fleet.h"

namespace harecrank::bench {
namespace {

using nlohmann::json;
using testing::Fleet;
using testing::FleetOptions;

constexpr std::int64_t kShortTokens = 1000;
constexpr std::int64_t kMiddleTokens = 8000;
constexpr std::int64_t kLongTokens = 60000;
// The policy's long_prompt_tokens on a fleet that sets none.
constexpr std::int64_t kLongFrom = 8000;

json Load(const LoadPlan& plan) { return json::parse(RunLoad(plan).json); }

// Adds the processor time that `name`'s process used while `run` ran.
template <typename Run>
double CpuOf(Fleet* fleet, const std::string& name, Run run) {
  const double before = ReadProcess(fleet->Get(name).Pid()).cpu_seconds;
  run();
  return ReadProcess(fleet->Get(name).Pid()).cpu_seconds - before;
}

// One way of routing, as it is measured.
struct Variant {
  std::string name;
  std::string policy;
  int long_weight_percent = 50;
};

// The fleet that every variant is measured on.
FleetOptions PolicyFleet(const Variant& variant) {
  FleetOptions options;
  options.entries = 2;
  options.engines = 6;
  options.services = 0;
  options.engine_memory = 200000;
  options.prefill_rate = 50000;
  options.step_ms = 5;
  options.step_ms_per_stream = 0.1;
  options.max_requests = 1024;
  options.max_running = 128;
  options.routing_policy = variant.policy;
  options.policy = {{"long_weight_percent", variant.long_weight_percent},
                    {"long_prompt_tokens", 16000}};
  return options;
}

// Requests a second that the fleet's prefill could do at most.
double Capacity(const FleetOptions& options) {
  const double mean = 0.90 * static_cast<double>(kShortTokens) +
                      0.06 * static_cast<double>(kMiddleTokens) +
                      0.04 * static_cast<double>(kLongTokens);
  return static_cast<double>(options.engines) * options.prefill_rate / mean;
}

void PrintPolicyHead() {
  std::cout
      << "variant                 load | 1k answered   p50    p95    p99 ms"
         " | 60k answered   p50    p95    p99 ms | goodput\n";
}

// Prints one length's figures.
void PrintLength(const json& length) {
  const double sent = length.value("sent", 0.0);
  std::cout << std::setw(12)
            << (sent == 0 ? 0 : length["answered"].get<double>() / sent * 100)
            << "%" << std::setw(6) << length.value("first_ms_p50", 0.0)
            << std::setw(7) << length.value("first_ms_p95", 0.0) << std::setw(7)
            << length.value("first_ms_p99", 0.0) << " |";
}

json MeasureVariant(const Variant& variant, double share, double seconds,
                    bool with_long) {
  const FleetOptions options = PolicyFleet(variant);
  Fleet fleet(options);
  fleet.WaitReady();
  LoadPlan plan = MakeLoadPlan(fleet, options.entries);
  plan.rate = Capacity(options) * share;
  plan.seconds = seconds;
  plan.mix = {"1000:0.90", "8000:0.06"};
  if (with_long) {
    plan.mix.emplace_back("60000:0.04");
  } else {
    plan.rate *= 0.96;
  }
  plan.time_limit_ms = 10000;
  json result = Load(plan);
  result["variant"] = variant.name;
  result["load"] = share;
  result["with_long"] = with_long;
  // Goodput is the work of the answers that came in time, against what the
  // prefill of all engines could do while requests were sent.
  double tokens = 0;
  for (const auto& length : result["lengths"].items()) {
    tokens +=
        std::stod(length.key()) * length.value()["answered"].get<double>();
  }
  const double goodput =
      tokens / (options.prefill_rate * options.engines) / plan.seconds;
  result["goodput"] = goodput;
  std::cout << std::fixed << std::left << std::setw(23)
            << variant.name + (with_long ? "" : " (no long)") << std::right
            << std::setprecision(1) << std::setw(4) << share << "x |"
            << std::setprecision(0);
  PrintLength(result["lengths"]["1000"]);
  PrintLength(result["lengths"].value("60000", json::object()));
  std::cout << std::setprecision(2) << std::setw(8) << goodput << std::endl;
  return result;
}

}  // namespace

json MeasureHops(const RunOptions& options) {
  Fleet fleet(testing::FastFleet());
  fleet.WaitReady();
  const double seconds = options.quick ? 3 : 6;
  json figures = json::array();
  std::cout << "rate    direct p50   p99 ms    through p50   p99 ms    entry "
               "ms/request   sidecar ms/request\n";
  for (const double rate : {25.0, 50.0, 100.0, 200.0}) {
    LoadPlan plan = MakeLoadPlan(fleet, 1);
    plan.rate = rate;
    plan.seconds = seconds;
    plan.threads = 128;
    LoadPlan direct = plan;
    direct.engine_address = fleet.EngineAddress(0);
    const json without = Load(direct)["lengths"]["1000"];
    json with;
    double sidecar = 0;
    const double entry = CpuOf(&fleet, "entry-0", [&] {
      sidecar = CpuOf(&fleet, "sidecar-0",
                      [&] { with = Load(plan)["lengths"]["1000"]; });
    });
    const double requests = with["answered"].get<double>();
    std::cout << std::fixed << std::setprecision(2) << std::setw(4) << rate
              << std::setw(13) << without["first_ms_p50"].get<double>()
              << std::setw(9) << without["first_ms_p99"].get<double>()
              << std::setw(14) << with["first_ms_p50"].get<double>()
              << std::setw(9) << with["first_ms_p99"].get<double>()
              << std::setw(18) << entry / requests * 1000 << std::setw(20)
              << sidecar / requests * 1000 << std::endl;
    figures.push_back(
        {{"rate", rate},
         {"direct", without},
         {"through", with},
         {"entry_cpu_ms_per_request", entry / requests * 1000},
         {"sidecar_cpu_ms_per_request", sidecar / requests * 1000}});
  }
  return figures;
}

json MeasurePolicies(const RunOptions& options) {
  const std::vector<Variant> variants{
      {"random", "random", 50},
      {"least_loaded", "least_loaded", 50},
      {"length_aware weight 0", "length_aware", 0},
      {"length_aware weight 50", "length_aware", 50},
      {"length_aware weight 100", "length_aware", 100}};
  const double seconds = options.quick ? 4 : 6;
  json figures = json::array();
  PrintPolicyHead();
  for (const double share : {0.5, 1.0, 1.5, 2.0}) {
    for (const Variant& variant : variants) {
      figures.push_back(MeasureVariant(variant, share, seconds, true));
    }
  }
  for (const Variant& variant : variants) {
    figures.push_back(MeasureVariant(variant, 0.5, seconds, false));
  }
  return figures;
}

json MeasureGroups(const RunOptions& options) {
  FleetOptions fleet_options;
  fleet_options.entries = 1;
  fleet_options.engines = 4;
  fleet_options.services = 0;
  fleet_options.engine_memory = 450000;
  fleet_options.prefill_rate = 100000;
  Fleet fleet(fleet_options);
  fleet.WaitReady();
  const int repeats = options.quick ? 1 : 3;
  json figures = json::array();
  std::cout << "prompt tokens   members   first token ms (median)   ideal ms   "
               "share of ideal\n";
  for (const std::int64_t tokens :
       {1000, 10000, 100000, 300000, 500000, 700000, 1000000}) {
    std::vector<double> first;
    for (int i = 0; i < repeats; ++i) {
      LoadPlan plan = MakeLoadPlan(fleet, 1);
      plan.seed = static_cast<std::uint64_t>(tokens + i);
      plan.mix = {std::to_string(tokens)};
      plan.threads = 1;
      plan.time_limit_ms = 60000;
      plan.answer_tokens = 4;
      plan.single_request = true;
      const json result = Load(plan);
      first.push_back(result["lengths"][std::to_string(tokens)]["first_ms_p50"]
                          .get<double>());
    }
    std::sort(first.begin(), first.end());
    const double median = first[first.size() / 2];
    const double usable =
        static_cast<double>(fleet_options.engine_memory) * 0.9;
    const double needed = std::ceil(static_cast<double>(tokens) / usable);
    const bool is_long = tokens >= kLongFrom;
    const double spread =
        is_long ? static_cast<double>(PrefillPartCount(
                      Tokens{tokens},
                      static_cast<std::size_t>(fleet_options.engines)))
                : 1.0;
    const double members = std::max(needed, spread);
    const double ideal = static_cast<double>(tokens) /
                         (fleet_options.prefill_rate * members) * 1000;
    std::cout << std::fixed << std::setprecision(1) << std::setw(13) << tokens
              << std::setw(10) << members << std::setw(26) << median
              << std::setw(11) << ideal << std::setw(17) << ideal / median
              << "   (" << first.front() << " to " << first.back() << ")"
              << std::endl;
    figures.push_back({{"tokens", tokens},
                       {"members", members},
                       {"first_ms", first},
                       {"ideal_ms", ideal},
                       {"share", ideal / median}});
  }
  return figures;
}

}  // namespace harecrank::bench
