// Measurements of what a fleet costs its nodes: configuration and slopes.

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <thread>

#include "bench/load_plan.h"
#include "bench/measure.h"
#include "bench/runs.h"
#include "src/cli/load_run.h"
#include "testing/fleet.h"

namespace harecrank::bench {
namespace {

using nlohmann::json;
using testing::Fleet;
using testing::FleetOptions;
using testing::WaitUntil;

constexpr char kRevision[] = "harecrank_config_revision";
constexpr char kSince[] = "harecrank_config_in_force_since_ms";
constexpr char kSent[] = "harecrank_peer_bytes_sent_total";
constexpr char kReceived[] = "harecrank_peer_bytes_received_total";
constexpr char kServiceCalls[] = "harecrank_config_service_calls_total";
constexpr double kMicros = 1e6;
constexpr double kMillis = 1e3;

// A fleet of one entry host without endpoints of its own.
FleetOptions BareFleet(int bare_sidecars) {
  FleetOptions options;
  options.entries = 1;
  options.engines = 0;
  options.services = 0;
  options.bare_sidecars = bare_sidecars;
  return options;
}

void SleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

json PutAccount(int number) {
  return {{"put_account",
           {{"id", "measured"},
            {"account",
             {{"key_sha256", std::string(64, 'f')},
              {"weight", 1 + number % 100}}}}}};
}

// Publishes a change and returns after how long the last node had it in force.
double SpreadOnce(Fleet* fleet, int number) {
  const std::int64_t began = NowMs();
  const std::uint32_t revision =
      fleet->PlanAndPublish("entry-0", PutAccount(number));
  double last = 0;
  for (const std::string& node : fleet->Nodes()) {
    std::string metrics;
    WaitUntil([&] {
      metrics = fleet->Metrics(node);
      return MetricValue(metrics, kRevision) >= revision;
    });
    last = std::max(last,
                    MetricValue(metrics, kSince) - static_cast<double>(began));
  }
  return last;
}

double SumOf(Fleet* fleet, const std::string& metric) {
  double sum = 0;
  for (const std::string& node : fleet->Nodes()) {
    sum += MetricValue(fleet->Metrics(node), metric);
  }
  return sum;
}

// What one size of fleet showed.
struct SpreadFigures {
  double nodes = 0;
  double median_ms = 0;
  double worst_ms = 0;
  double service_calls_per_second = 0;
  double bytes_per_node_second = 0;
};

SpreadFigures MeasureSpreadAt(int sidecars, int rounds, double idle_seconds) {
  FleetOptions options = BareFleet(sidecars);
  options.entries = 2;
  options.data_centres = 2;
  options.entry_settings = {{"compare_interval_ms", 2000}};
  options.sidecar_settings = {{"compare_interval_ms", 2000},
                              {"pulse_interval_ms", 1000},
                              {"reconcile_interval_ms", 5000}};
  Fleet fleet(options);
  WaitUntil([&] { return SumOf(&fleet, kRevision) >= sidecars + 2; });
  SleepFor(2);
  SpreadFigures figures;
  figures.nodes = sidecars + 2;
  std::vector<double> times;
  times.reserve(static_cast<std::size_t>(rounds));
  for (int i = 0; i < rounds; ++i) {
    times.push_back(SpreadOnce(&fleet, i));
  }
  std::sort(times.begin(), times.end());
  figures.median_ms = times[times.size() / 2];
  figures.worst_ms = times.back();
  const double calls = SumOf(&fleet, kServiceCalls);
  const double bytes = SumOf(&fleet, kSent) + SumOf(&fleet, kReceived);
  const auto began = std::chrono::steady_clock::now();
  SleepFor(idle_seconds);
  const std::chrono::duration<double> passed =
      std::chrono::steady_clock::now() - began;
  figures.service_calls_per_second =
      (SumOf(&fleet, kServiceCalls) - calls) / passed.count();
  figures.bytes_per_node_second =
      (SumOf(&fleet, kSent) + SumOf(&fleet, kReceived) - bytes) /
      passed.count() / figures.nodes;
  return figures;
}

// The processor time and memory of an idle entry host against its links.
void MeasureLinks(const RunOptions& options, std::vector<Slope>* slopes) {
  Slope cpu{"entry host, idle: processor time", "links", "% of a core", {}};
  Slope memory{"entry host, idle: resident memory", "links", "MiB", {}};
  const double seconds = options.quick ? 4 : 10;
  for (const int links : {10, 20, 40, 80}) {
    FleetOptions fleet_options = BareFleet(links);
    fleet_options.policy = {{"subset_size", 256}};
    fleet_options.entry_settings = {{"compare_interval_ms", 2000}};
    fleet_options.sidecar_settings = {{"pulse_interval_ms", 1000},
                                      {"reconcile_interval_ms", 5000}};
    Fleet fleet(fleet_options);
    WaitUntil([&] {
      const json dump = fleet.Dump("entry-0");
      if (!dump.is_object()) {
        return false;
      }
      int usable = 0;
      for (const json& link : dump["entry"]["links"]) {
        usable += link["usable"].get<bool>() ? 1 : 0;
      }
      return usable == links;
    });
    SleepFor(1);
    const pid_t pid = fleet.Get("entry-0").Pid();
    const double before = ReadProcess(pid).cpu_seconds;
    SleepFor(seconds);
    const ProcessReading after = ReadProcess(pid);
    cpu.points.push_back(Point{static_cast<double>(links),
                               (after.cpu_seconds - before) / seconds * 100});
    memory.points.push_back(
        Point{static_cast<double>(links), after.resident_mib});
  }
  slopes->push_back(std::move(cpu));
  slopes->push_back(std::move(memory));
}

// What one change costs a node, and its memory, against the document's size.
void MeasureDocument(const RunOptions& options, std::vector<Slope>* slopes) {
  Slope cpu{"a change: processor time", "listed endpoints", "ms", {}};
  Slope memory{"entry host: resident memory", "listed endpoints", "MiB", {}};
  Slope size{"document", "listed endpoints", "KB", {}};
  const int changes = options.quick ? 5 : 10;
  for (const int listed : {500, 1000, 2000, 3700}) {
    FleetOptions fleet_options = BareFleet(1);
    fleet_options.listed_endpoints = listed;
    fleet_options.listed_accounts = listed * 490 / 3700;
    fleet_options.data_centres = 14;
    fleet_options.policy = {{"subset_size", 1}};
    Fleet fleet(fleet_options);
    WaitUntil([&] {
      return MetricValue(fleet.Metrics("bare-0"), kRevision) >= 1 &&
             MetricValue(fleet.Metrics("entry-0"), kRevision) >= 1;
    });
    // The sidecar only takes changes; the entry host plans them as well.
    const pid_t pid = fleet.ProcessOf("bare-0").Pid();
    const double idle_before = ReadProcess(pid).cpu_seconds;
    const std::int64_t idle_began = NowMs();
    SleepFor(options.quick ? 2 : 4);
    const double idle = (ReadProcess(pid).cpu_seconds - idle_before) /
                        (static_cast<double>(NowMs() - idle_began) / kMillis);
    const double before = ReadProcess(pid).cpu_seconds;
    const std::int64_t began = NowMs();
    for (int i = 0; i < changes; ++i) {
      const std::uint32_t revision =
          fleet.PlanAndPublish("entry-0", PutAccount(i));
      WaitUntil([&] {
        return MetricValue(fleet.Metrics("bare-0"), kRevision) >= revision &&
               MetricValue(fleet.Metrics("entry-0"), kRevision) >= revision;
      });
    }
    const double passed = static_cast<double>(NowMs() - began) / kMillis;
    const double used = ReadProcess(pid).cpu_seconds - before - idle * passed;
    const auto x = static_cast<double>(listed);
    cpu.points.push_back(Point{x, used / changes * kMillis});
    memory.points.push_back(
        Point{x, ReadProcess(fleet.Get("entry-0").Pid()).resident_mib});
    size.points.push_back(
        Point{x, static_cast<double>(fleet.Document().dump().size()) / 1e3});
  }
  slopes->push_back(std::move(cpu));
  slopes->push_back(std::move(memory));
  slopes->push_back(std::move(size));
}

// Processor time of the data path against tokens and requests.
void MeasureData(const RunOptions& options, std::vector<Slope>* slopes) {
  Slope entry{"entry host: processor time of a request",
              "answer tokens",
              "microseconds",
              {}};
  Slope sidecar{"sidecar: processor time of a request",
                "answer tokens",
                "microseconds",
                {}};
  FleetOptions fleet_options = testing::FastFleet();
  fleet_options.step_ms = 5;
  Fleet fleet(fleet_options);
  fleet.WaitReady();
  for (const int tokens : {8, 32, 64, 128, 256}) {
    LoadPlan plan = MakeLoadPlan(fleet, 1);
    plan.rate = 50;
    plan.seconds = options.quick ? 3 : 5;
    plan.answer_tokens = tokens;
    plan.threads = 256;
    const double entry_before =
        ReadProcess(fleet.Get("entry-0").Pid()).cpu_seconds;
    const double sidecar_before =
        ReadProcess(fleet.Get("sidecar-0").Pid()).cpu_seconds;
    const auto answered = static_cast<double>(RunLoad(plan).answered);
    entry.points.push_back(Point{
        static_cast<double>(tokens),
        (ReadProcess(fleet.Get("entry-0").Pid()).cpu_seconds - entry_before) /
            answered * kMicros});
    sidecar.points.push_back(
        Point{static_cast<double>(tokens),
              (ReadProcess(fleet.Get("sidecar-0").Pid()).cpu_seconds -
               sidecar_before) /
                  answered * kMicros});
  }
  slopes->push_back(std::move(entry));
  slopes->push_back(std::move(sidecar));
}

// Memory and threads against the requests in hand.
void MeasureInHand(const RunOptions&, std::vector<Slope>* slopes) {
  Slope entry{"entry host: resident memory", "requests in hand", "MiB", {}};
  Slope sidecar{"sidecar: resident memory", "requests in hand", "MiB", {}};
  for (const int in_hand : {50, 100, 200, 400}) {
    FleetOptions fleet_options = testing::FastFleet();
    fleet_options.max_running = 512;
    fleet_options.max_requests = 512;
    fleet_options.step_ms = 50;
    fleet_options.step_ms_per_stream = 0;
    Fleet fleet(fleet_options);
    fleet.WaitReady();
    LoadPlan plan = MakeLoadPlan(fleet, 1);
    plan.rate = in_hand;
    plan.seconds = 1;
    plan.answer_tokens = 120;
    plan.threads = in_hand * 2;
    std::thread sender([&] { RunLoad(plan); });
    SleepFor(2.5);
    const json dump = fleet.Dump("entry-0");
    const double held = dump["entry"]["requests_in_hand"].get<double>();
    entry.points.push_back(
        Point{held, ReadProcess(fleet.Get("entry-0").Pid()).resident_mib});
    sidecar.points.push_back(
        Point{held, ReadProcess(fleet.Get("sidecar-0").Pid()).resident_mib});
    sender.join();
  }
  slopes->push_back(std::move(entry));
  slopes->push_back(std::move(sidecar));
}

}  // namespace

json MeasurePropagation(const RunOptions& options) {
  json figures = json::array();
  std::cout << "nodes   in force everywhere, median ms   worst ms   service "
               "calls/s   peer bytes/s a node\n";
  const std::vector<int> sizes = options.quick
                                     ? std::vector<int>{8, 18}
                                     : std::vector<int>{8, 18, 38, 78, 148};
  for (const int sidecars : sizes) {
    const SpreadFigures figure =
        MeasureSpreadAt(sidecars, options.quick ? 3 : 10, 10);
    std::cout << std::fixed << std::setprecision(1) << std::setw(5)
              << figure.nodes << std::setw(32) << figure.median_ms
              << std::setw(11) << figure.worst_ms << std::setw(18)
              << figure.service_calls_per_second << std::setw(22)
              << figure.bytes_per_node_second << std::endl;
    figures.push_back(
        {{"nodes", figure.nodes},
         {"median_ms", figure.median_ms},
         {"worst_ms", figure.worst_ms},
         {"service_calls_per_second", figure.service_calls_per_second},
         {"bytes_per_node_second", figure.bytes_per_node_second}});
  }
  return figures;
}

json MeasureSlopes(const RunOptions& options) {
  std::vector<Slope> slopes;
  MeasureLinks(options, &slopes);
  MeasureDocument(options, &slopes);
  MeasureData(options, &slopes);
  MeasureInHand(options, &slopes);
  json figures = json::array();
  for (const Slope& slope : slopes) {
    figures.push_back(ReportSlope(slope));
  }
  if (!options.plot.empty()) {
    DrawSlopes(slopes, options.plot);
  }
  return figures;
}

}  // namespace harecrank::bench
