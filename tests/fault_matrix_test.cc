// The fault matrix: faults at each step of a request, and the guarantees that
// must hold nevertheless.
//
// A cell is a row of the table below. It starts a fleet, waits until a request
// is at the given step, injects the fault and checks the guarantees: the
// request ends within its time limit, the response is complete or has a correct
// outcome, a ticketed request ran at most once, and no running engine keeps
// memory.

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

constexpr int kEngines = 3;
constexpr int kTimeLimitMs = 10000;
constexpr int kPromptTokens = 2000;
constexpr int kAnswerTokens = 150;

enum class Fault {
  kNone,
  kEntryKilled,
  kSidecarKilled,
  kEngineKilled,
  kSidecarFrozen,
  kEngineFrozen,
  kLinkCut,
  kLinkUpstreamStalled,
  kLinkDownstreamStalled,
  kLinkSlow,
  kEndpointCut,
  kEndpointDownstreamStalled,
  kConfigDown,
  kConfigStale,
  kLinkCutTwice,
  kSidecarAndEngineKilled,
};

enum class Step {
  // Before the request is sent.
  kRoute,
  // While the prompt is prefilled.
  kPrefill,
  // While the response is streamed.
  kStreaming,
};

enum class Kind { kRepeatable, kTicketed };

// The result that the caller must get.
enum class Expect {
  // The complete response.
  kComplete,
  // The complete response, or an error with a correct outcome.
  kCompleteOrOutcome,
  // An incomplete response: the entry host of the caller was killed.
  kConnectionLost,
};

struct Cell {
  const char* name;
  Fault fault;
  Step step;
  Kind kind;
  Expect expect;
};

const Cell kCells[] = {
    {"nothing at all", Fault::kNone, Step::kRoute, Kind::kRepeatable,
     Expect::kComplete},
    {"sidecar killed, route", Fault::kSidecarKilled, Step::kRoute,
     Kind::kRepeatable, Expect::kComplete},
    {"sidecar killed, prefill", Fault::kSidecarKilled, Step::kPrefill,
     Kind::kRepeatable, Expect::kComplete},
    {"sidecar killed, streaming", Fault::kSidecarKilled, Step::kStreaming,
     Kind::kRepeatable, Expect::kComplete},
    {"sidecar killed, prefill, ticketed", Fault::kSidecarKilled, Step::kPrefill,
     Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"sidecar killed, streaming, ticketed", Fault::kSidecarKilled,
     Step::kStreaming, Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"engine killed, route", Fault::kEngineKilled, Step::kRoute,
     Kind::kRepeatable, Expect::kComplete},
    {"engine killed, prefill", Fault::kEngineKilled, Step::kPrefill,
     Kind::kRepeatable, Expect::kComplete},
    {"engine killed, streaming", Fault::kEngineKilled, Step::kStreaming,
     Kind::kRepeatable, Expect::kComplete},
    {"engine killed, prefill, ticketed", Fault::kEngineKilled, Step::kPrefill,
     Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"engine killed, route, ticketed", Fault::kEngineKilled, Step::kRoute,
     Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"sidecar frozen, route", Fault::kSidecarFrozen, Step::kRoute,
     Kind::kRepeatable, Expect::kComplete},
    {"sidecar frozen, prefill", Fault::kSidecarFrozen, Step::kPrefill,
     Kind::kRepeatable, Expect::kCompleteOrOutcome},
    {"sidecar frozen, streaming", Fault::kSidecarFrozen, Step::kStreaming,
     Kind::kRepeatable, Expect::kCompleteOrOutcome},
    {"sidecar frozen, route, ticketed", Fault::kSidecarFrozen, Step::kRoute,
     Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"sidecar frozen, streaming, ticketed", Fault::kSidecarFrozen,
     Step::kStreaming, Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"engine frozen, prefill", Fault::kEngineFrozen, Step::kPrefill,
     Kind::kRepeatable, Expect::kCompleteOrOutcome},
    {"engine frozen, streaming", Fault::kEngineFrozen, Step::kStreaming,
     Kind::kRepeatable, Expect::kCompleteOrOutcome},
    {"link cut, route", Fault::kLinkCut, Step::kRoute, Kind::kRepeatable,
     Expect::kComplete},
    {"link cut, prefill", Fault::kLinkCut, Step::kPrefill, Kind::kRepeatable,
     Expect::kComplete},
    {"link cut, streaming", Fault::kLinkCut, Step::kStreaming,
     Kind::kRepeatable, Expect::kComplete},
    {"link cut, prefill, ticketed", Fault::kLinkCut, Step::kPrefill,
     Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"link cut, streaming, ticketed", Fault::kLinkCut, Step::kStreaming,
     Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"one-way loss up, route", Fault::kLinkUpstreamStalled, Step::kRoute,
     Kind::kRepeatable, Expect::kComplete},
    {"one-way loss up, route, ticketed", Fault::kLinkUpstreamStalled,
     Step::kRoute, Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"one-way loss down, route", Fault::kLinkDownstreamStalled, Step::kRoute,
     Kind::kRepeatable, Expect::kComplete},
    {"one-way loss down, route, ticketed", Fault::kLinkDownstreamStalled,
     Step::kRoute, Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"one-way loss down, streaming", Fault::kLinkDownstreamStalled,
     Step::kStreaming, Kind::kRepeatable, Expect::kCompleteOrOutcome},
    {"slow link, streaming", Fault::kLinkSlow, Step::kStreaming,
     Kind::kRepeatable, Expect::kCompleteOrOutcome},
    {"endpoint cut, prefill", Fault::kEndpointCut, Step::kPrefill,
     Kind::kRepeatable, Expect::kComplete},
    {"endpoint cut, streaming, ticketed", Fault::kEndpointCut, Step::kStreaming,
     Kind::kTicketed, Expect::kCompleteOrOutcome},
    {"endpoint held, streaming", Fault::kEndpointDownstreamStalled,
     Step::kStreaming, Kind::kRepeatable, Expect::kCompleteOrOutcome},
    {"configuration service down, route", Fault::kConfigDown, Step::kRoute,
     Kind::kRepeatable, Expect::kComplete},
    {"configuration service stale, route", Fault::kConfigStale, Step::kRoute,
     Kind::kTicketed, Expect::kComplete},
    {"link cut twice, streaming", Fault::kLinkCutTwice, Step::kStreaming,
     Kind::kRepeatable, Expect::kComplete},
    {"sidecar and engine killed, streaming", Fault::kSidecarAndEngineKilled,
     Step::kStreaming, Kind::kRepeatable, Expect::kComplete},
    {"sidecar and engine killed, prefill, ticketed",
     Fault::kSidecarAndEngineKilled, Step::kPrefill, Kind::kTicketed,
     Expect::kCompleteOrOutcome},
    {"entry killed, prefill", Fault::kEntryKilled, Step::kPrefill,
     Kind::kRepeatable, Expect::kConnectionLost},
    {"entry killed, streaming", Fault::kEntryKilled, Step::kStreaming,
     Kind::kRepeatable, Expect::kConnectionLost},
    {"entry killed, streaming, ticketed", Fault::kEntryKilled, Step::kStreaming,
     Kind::kTicketed, Expect::kConnectionLost},
};

FleetOptions OptionsFor(const Cell& cell) {
  FleetOptions options;
  options.engines = kEngines;
  options.services = 0;
  options.proxied_links = true;
  options.proxied_endpoints = true;
  options.step_ms = 4;
  // For faults during prefill, the prefill takes about one second, so that the
  // fault can be injected in time. For other steps it takes almost no time.
  options.prefill_rate = cell.step == Step::kPrefill ? 2000 : 1000000;
  options.step_tokens = 100;
  return options;
}

// Runs a cell of the matrix.
class FaultScenario {
 public:
  explicit FaultScenario(const Cell& cell)
      : cell_(cell), fleet_(OptionsFor(cell)), label_(cell.name) {}

  void Run() {
    REQUIRE(fleet_.WaitReady());
    call_ = Completion(fleet_.CallersAddress(0), label_, kPromptTokens,
                       kAnswerTokens, true);
    call_.fields = {{"Harecrank-Time-Limit-Ms", std::to_string(kTimeLimitMs)}};
    if (cell_.kind == Kind::kTicketed) {
      ticket_ = FetchTicket(fleet_.CallersAddress(0), {{"model", kModel}});
      REQUIRE_FALSE(ticket_.empty());
      call_.fields.push_back(HttpHeader{"Harecrank-Ticket", ticket_});
    }
    if (cell_.step == Step::kRoute) {
      target_ = EndpointOfTicket();
      InjectFault();
    }
    auto pending =
        std::async(std::launch::async, [this] { return Call(call_); });
    if (cell_.step != Step::kRoute) {
      REQUIRE(WaitForStep());
      InjectFault();
    }
    const ClientResponse response = pending.get();
    RemoveFault();
    CheckResponse(response);
    CheckRuns(response);
    CheckMemory();
  }

 private:
  // Returns the index of the endpoint that the ticket names, or 0 without a
  // ticket.
  int EndpointOfTicket() const {
    const auto position = ticket_.rfind("endpoint-");
    return position == std::string::npos
               ? 0
               : std::stoi(ticket_.substr(position + 9));
  }

  // Waits until the request is at the step of the cell, and sets `target_` to
  // the engine that runs it.
  bool WaitForStep() {
    return WaitUntil([&] {
      for (int i = 0; i < kEngines; ++i) {
        if (fleet_.EngineUsedTokens(i) > 0 && IsAtStep(i)) {
          target_ = i;
          return true;
        }
      }
      return false;
    });
  }

  bool IsAtStep(int engine) {
    if (cell_.step == Step::kPrefill) {
      return true;
    }
    // The response is being streamed once the entry host has recorded a time
    // between tokens.
    static_cast<void>(engine);
    HttpCall metrics;
    metrics.address = fleet_.OperationsAddress("entry-0");
    metrics.path = "/metrics";
    const auto response = SendHttpRequest(metrics);
    return response && response.value().body.find(
                           "harecrank_time_between_tokens_seconds_count 0") ==
                           std::string::npos;
  }

  std::string Name(const std::string& kind) const {
    return kind + "-" + std::to_string(target_);
  }

  void InjectFault() {
    switch (cell_.fault) {
      case Fault::kNone:
        break;
      case Fault::kEntryKilled:
        fleet_.Get("entry-0").Kill();
        break;
      case Fault::kSidecarKilled:
        fleet_.Get(Name("sidecar")).Kill();
        break;
      case Fault::kEngineKilled:
        fleet_.Get(Name("engine")).Kill();
        break;
      case Fault::kSidecarFrozen:
        fleet_.Get(Name("sidecar")).Signal(SIGSTOP);
        break;
      case Fault::kEngineFrozen:
        fleet_.Get(Name("engine")).Signal(SIGSTOP);
        break;
      case Fault::kLinkCut:
        fleet_.SetFault(Name("link-proxy"), {{"cut", true}});
        break;
      case Fault::kLinkUpstreamStalled:
        fleet_.SetFault(Name("link-proxy"), {{"hold_up", true}});
        break;
      case Fault::kLinkDownstreamStalled:
        fleet_.SetFault(Name("link-proxy"), {{"hold_down", true}});
        break;
      case Fault::kLinkSlow:
        fleet_.SetFault(Name("link-proxy"), {{"delay_ms", 20}});
        break;
      case Fault::kEndpointCut:
        fleet_.SetFault(Name("endpoint-proxy"), {{"cut", true}});
        break;
      case Fault::kEndpointDownstreamStalled:
        fleet_.SetFault(Name("endpoint-proxy"), {{"hold_down", true}});
        break;
      case Fault::kConfigDown:
        fleet_.SetFault("config", {{"down", true}});
        break;
      case Fault::kConfigStale:
        fleet_.SetFault("config", {{"stale", true}});
        break;
      case Fault::kLinkCutTwice:
        CutLinkTwice();
        break;
      case Fault::kSidecarAndEngineKilled:
        fleet_.Get(Name("engine")).Kill();
        fleet_.Get(Name("sidecar")).Kill();
        break;
    }
  }

  // Cuts the link of the request, waits until the request resumes on another
  // engine and cuts the link to that one.
  void CutLinkTwice() {
    const int first = target_;
    fleet_.SetFault(Name("link-proxy"), {{"cut", true}});
    WaitUntil([&] {
      for (int i = 0; i < kEngines; ++i) {
        if (i != first && fleet_.EngineUsedTokens(i) > 0) {
          target_ = i;
          return true;
        }
      }
      return false;
    });
    fleet_.SetFault(Name("link-proxy"), {{"cut", true}});
  }

  // Removes the fault and restarts killed processes, so that the memory of
  // engines can be checked.
  void RemoveFault() {
    switch (cell_.fault) {
      case Fault::kSidecarFrozen:
        fleet_.Get(Name("sidecar")).Signal(SIGCONT);
        break;
      case Fault::kEngineFrozen:
        fleet_.Get(Name("engine")).Signal(SIGCONT);
        break;
      case Fault::kSidecarKilled:
        fleet_.Restart(Name("sidecar"));
        break;
      case Fault::kEngineKilled:
      case Fault::kSidecarAndEngineKilled:
        fleet_.Restart(Name("engine"));
        fleet_.Restart(Name("sidecar"));
        break;
      default:
        for (int i = 0; i < kEngines; ++i) {
          fleet_.SetFault("link-proxy-" + std::to_string(i), {{"cut", false}});
          fleet_.SetFault("endpoint-proxy-" + std::to_string(i),
                          {{"cut", false}});
        }
        break;
    }
  }

  void CheckResponse(const ClientResponse& response) {
    const bool complete =
        response.end_event == "done" && response.Text() == ExpectedText(call_);
    INFO("status " << response.status << ", " << response.parts.size()
                   << " parts, end '" << response.end_event << "' "
                   << response.end.dump() << " " << response.body.dump());
    switch (cell_.expect) {
      case Expect::kComplete:
        CHECK(complete);
        break;
      case Expect::kCompleteOrOutcome: {
        const bool has_outcome = response.Outcome() == "not_run" ||
                                 response.Outcome() == "failed" ||
                                 response.Outcome() == "unknown";
        CHECK((complete || has_outcome));
        break;
      }
      case Expect::kConnectionLost:
        CHECK_FALSE(complete);
        break;
    }
    // An incomplete response must be a prefix of the complete one, with each
    // token once.
    const std::string expected = ExpectedText(call_);
    CHECK(expected.compare(0, response.Text().size(), response.Text()) == 0);
  }

  void CheckRuns(const ClientResponse& response) {
    if (cell_.kind == Kind::kTicketed) {
      // Repeats the request through the other entry host, as a caller would.
      ClientRequest repeated = call_;
      repeated.address = fleet_.CallersAddress(1);
      const ClientResponse second = Call(repeated);
      INFO("repeated request: " << second.status << " " << second.end_event
                                << " " << second.end.dump()
                                << second.body.dump());
      const bool second_complete =
          second.end_event == "done" && second.Text() == ExpectedText(call_);
      CHECK((second_complete || !second.Outcome().empty()));
      // An engine that was killed loses its count, so that the sum can only be
      // too small.
      CHECK(CountRuns(&fleet_, kEngines, label_) <= 1);
    }
    if (response.Outcome() == "not_run") {
      CHECK(CountRuns(&fleet_, kEngines, label_) == 0);
    }
  }

  void CheckMemory() {
    for (int i = 0; i < kEngines; ++i) {
      INFO("engine " << i << " still holds " << fleet_.EngineUsedTokens(i)
                     << " tokens");
      CHECK(WaitUntil([&] { return fleet_.EngineUsedTokens(i) == 0; }));
    }
  }

  const Cell& cell_;
  Fleet fleet_;
  std::string label_;
  ClientRequest call_;
  std::string ticket_;
  int target_ = 0;
};

// Number of parts that the table is divided into.
constexpr std::size_t kParts = 8;

void RunPart(std::size_t part) {
  std::size_t index = 0;
  for (const Cell& cell : kCells) {
    if (index++ % kParts != part) {
      continue;
    }
    DYNAMIC_SECTION(cell.name) { FaultScenario(cell).Run(); }
  }
}

// The matrix is divided into test cases so that CTest runs them in parallel.
TEST_CASE("The guarantees hold under the fault matrix, part 1") { RunPart(0); }
TEST_CASE("The guarantees hold under the fault matrix, part 2") { RunPart(1); }
TEST_CASE("The guarantees hold under the fault matrix, part 3") { RunPart(2); }
TEST_CASE("The guarantees hold under the fault matrix, part 4") { RunPart(3); }
TEST_CASE("The guarantees hold under the fault matrix, part 5") { RunPart(4); }
TEST_CASE("The guarantees hold under the fault matrix, part 6") { RunPart(5); }
TEST_CASE("The guarantees hold under the fault matrix, part 7") { RunPart(6); }
TEST_CASE("The guarantees hold under the fault matrix, part 8") { RunPart(7); }

}  // namespace
}  // namespace harecrank::testing
