// The fault matrix: a fault at a step of a request, and what must hold.
//
// A cell is a line of the table. Each cell starts a fleet, brings a request to
// its step, causes the fault, and checks what must always hold: the request
// ends within its time limit, its answer is whole or it is told an outcome
// that is true, a ticketed request ran at most once, and no engine that lives
// keeps memory.

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
  kLinkHeldUp,
  kLinkHeldDown,
  kLinkSlow,
  kEndpointCut,
  kEndpointHeldDown,
  kConfigDown,
  kConfigStale,
  kLinkCutTwice,
  kSidecarAndEngineKilled,
};

enum class Step {
  // Before the request is made.
  kRoute,
  // While its prompt is prefilled.
  kPrefill,
  // While its answer streams.
  kStreaming,
};

enum class Kind { kRepeatable, kTicketed };

// What the caller must see.
enum class Expect {
  // The whole answer.
  kWhole,
  // The whole answer, or a refusal whose outcome is true.
  kWholeOrTrue,
  // The connection ends: the caller's own entry host is gone.
  kCut,
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
     Expect::kWhole},
    {"sidecar killed, route", Fault::kSidecarKilled, Step::kRoute,
     Kind::kRepeatable, Expect::kWhole},
    {"sidecar killed, prefill", Fault::kSidecarKilled, Step::kPrefill,
     Kind::kRepeatable, Expect::kWhole},
    {"sidecar killed, streaming", Fault::kSidecarKilled, Step::kStreaming,
     Kind::kRepeatable, Expect::kWhole},
    {"sidecar killed, prefill, ticketed", Fault::kSidecarKilled, Step::kPrefill,
     Kind::kTicketed, Expect::kWholeOrTrue},
    {"sidecar killed, streaming, ticketed", Fault::kSidecarKilled,
     Step::kStreaming, Kind::kTicketed, Expect::kWholeOrTrue},
    {"engine killed, route", Fault::kEngineKilled, Step::kRoute,
     Kind::kRepeatable, Expect::kWhole},
    {"engine killed, prefill", Fault::kEngineKilled, Step::kPrefill,
     Kind::kRepeatable, Expect::kWhole},
    {"engine killed, streaming", Fault::kEngineKilled, Step::kStreaming,
     Kind::kRepeatable, Expect::kWhole},
    {"engine killed, prefill, ticketed", Fault::kEngineKilled, Step::kPrefill,
     Kind::kTicketed, Expect::kWholeOrTrue},
    {"engine killed, route, ticketed", Fault::kEngineKilled, Step::kRoute,
     Kind::kTicketed, Expect::kWholeOrTrue},
    {"sidecar frozen, route", Fault::kSidecarFrozen, Step::kRoute,
     Kind::kRepeatable, Expect::kWhole},
    {"sidecar frozen, prefill", Fault::kSidecarFrozen, Step::kPrefill,
     Kind::kRepeatable, Expect::kWholeOrTrue},
    {"sidecar frozen, streaming", Fault::kSidecarFrozen, Step::kStreaming,
     Kind::kRepeatable, Expect::kWholeOrTrue},
    {"sidecar frozen, route, ticketed", Fault::kSidecarFrozen, Step::kRoute,
     Kind::kTicketed, Expect::kWholeOrTrue},
    {"sidecar frozen, streaming, ticketed", Fault::kSidecarFrozen,
     Step::kStreaming, Kind::kTicketed, Expect::kWholeOrTrue},
    {"engine frozen, prefill", Fault::kEngineFrozen, Step::kPrefill,
     Kind::kRepeatable, Expect::kWholeOrTrue},
    {"engine frozen, streaming", Fault::kEngineFrozen, Step::kStreaming,
     Kind::kRepeatable, Expect::kWholeOrTrue},
    {"link cut, route", Fault::kLinkCut, Step::kRoute, Kind::kRepeatable,
     Expect::kWhole},
    {"link cut, prefill", Fault::kLinkCut, Step::kPrefill, Kind::kRepeatable,
     Expect::kWhole},
    {"link cut, streaming", Fault::kLinkCut, Step::kStreaming,
     Kind::kRepeatable, Expect::kWhole},
    {"link cut, prefill, ticketed", Fault::kLinkCut, Step::kPrefill,
     Kind::kTicketed, Expect::kWholeOrTrue},
    {"link cut, streaming, ticketed", Fault::kLinkCut, Step::kStreaming,
     Kind::kTicketed, Expect::kWholeOrTrue},
    {"one-way loss up, route", Fault::kLinkHeldUp, Step::kRoute,
     Kind::kRepeatable, Expect::kWhole},
    {"one-way loss up, route, ticketed", Fault::kLinkHeldUp, Step::kRoute,
     Kind::kTicketed, Expect::kWholeOrTrue},
    {"one-way loss down, route", Fault::kLinkHeldDown, Step::kRoute,
     Kind::kRepeatable, Expect::kWhole},
    {"one-way loss down, route, ticketed", Fault::kLinkHeldDown, Step::kRoute,
     Kind::kTicketed, Expect::kWholeOrTrue},
    {"one-way loss down, streaming", Fault::kLinkHeldDown, Step::kStreaming,
     Kind::kRepeatable, Expect::kWholeOrTrue},
    {"slow link, streaming", Fault::kLinkSlow, Step::kStreaming,
     Kind::kRepeatable, Expect::kWholeOrTrue},
    {"endpoint cut, prefill", Fault::kEndpointCut, Step::kPrefill,
     Kind::kRepeatable, Expect::kWhole},
    {"endpoint cut, streaming, ticketed", Fault::kEndpointCut, Step::kStreaming,
     Kind::kTicketed, Expect::kWholeOrTrue},
    {"endpoint held, streaming", Fault::kEndpointHeldDown, Step::kStreaming,
     Kind::kRepeatable, Expect::kWholeOrTrue},
    {"configuration service down, route", Fault::kConfigDown, Step::kRoute,
     Kind::kRepeatable, Expect::kWhole},
    {"configuration service stale, route", Fault::kConfigStale, Step::kRoute,
     Kind::kTicketed, Expect::kWhole},
    {"link cut twice, streaming", Fault::kLinkCutTwice, Step::kStreaming,
     Kind::kRepeatable, Expect::kWhole},
    {"sidecar and engine killed, streaming", Fault::kSidecarAndEngineKilled,
     Step::kStreaming, Kind::kRepeatable, Expect::kWhole},
    {"sidecar and engine killed, prefill, ticketed",
     Fault::kSidecarAndEngineKilled, Step::kPrefill, Kind::kTicketed,
     Expect::kWholeOrTrue},
    {"entry killed, prefill", Fault::kEntryKilled, Step::kPrefill,
     Kind::kRepeatable, Expect::kCut},
    {"entry killed, streaming", Fault::kEntryKilled, Step::kStreaming,
     Kind::kRepeatable, Expect::kCut},
    {"entry killed, streaming, ticketed", Fault::kEntryKilled, Step::kStreaming,
     Kind::kTicketed, Expect::kCut},
};

FleetOptions OptionsFor(const Cell& cell) {
  FleetOptions options;
  options.engines = kEngines;
  options.services = 0;
  options.proxied_links = true;
  options.proxied_endpoints = true;
  options.step_ms = 4;
  // At the step of prefill a prompt takes about a second, so that a fault can
  // meet it there; elsewhere it takes no time.
  options.prefill_rate = cell.step == Step::kPrefill ? 2000 : 1000000;
  options.step_tokens = 100;
  return options;
}

// Runs one cell.
class Scene {
 public:
  explicit Scene(const Cell& cell)
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
      target_ = TargetAtRoute();
      Cause();
    }
    auto answer =
        std::async(std::launch::async, [this] { return Call(call_); });
    if (cell_.step != Step::kRoute) {
      REQUIRE(ReachStep());
      Cause();
    }
    const ClientResponse got = answer.get();
    Heal();
    CheckAnswer(got);
    CheckRuns(got);
    CheckMemory();
  }

 private:
  // The endpoint that a request with a ticket, or with a warm cache, goes to;
  // the first one where neither says.
  int TargetAtRoute() const {
    const auto place = ticket_.rfind("endpoint-");
    return place == std::string::npos ? 0
                                      : std::stoi(ticket_.substr(place + 9));
  }

  // Waits until the request is at its step somewhere, and notes where.
  bool ReachStep() {
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
    // A stream has begun once the entry host has counted a first token.
    static_cast<void>(engine);
    HttpCall metrics;
    metrics.address = fleet_.OperationsAddress("entry-0");
    metrics.path = "/metrics";
    const auto answer = SendHttpRequest(metrics);
    return answer && answer.value().body.find(
                         "harecrank_time_between_tokens_seconds_count 0") ==
                         std::string::npos;
  }

  std::string Name(const std::string& kind) const {
    return kind + "-" + std::to_string(target_);
  }

  void Cause() {
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
      case Fault::kLinkHeldUp:
        fleet_.SetFault(Name("link-proxy"), {{"hold_up", true}});
        break;
      case Fault::kLinkHeldDown:
        fleet_.SetFault(Name("link-proxy"), {{"hold_down", true}});
        break;
      case Fault::kLinkSlow:
        fleet_.SetFault(Name("link-proxy"), {{"delay_ms", 20}});
        break;
      case Fault::kEndpointCut:
        fleet_.SetFault(Name("endpoint-proxy"), {{"cut", true}});
        break;
      case Fault::kEndpointHeldDown:
        fleet_.SetFault(Name("endpoint-proxy"), {{"hold_down", true}});
        break;
      case Fault::kConfigDown:
        fleet_.SetFault("config", {{"down", true}});
        break;
      case Fault::kConfigStale:
        fleet_.SetFault("config", {{"stale", true}});
        break;
      case Fault::kLinkCutTwice:
        CutTwice();
        break;
      case Fault::kSidecarAndEngineKilled:
        fleet_.Get(Name("engine")).Kill();
        fleet_.Get(Name("sidecar")).Kill();
        break;
    }
  }

  // Cuts the link, and then the one that the request resumed on.
  void CutTwice() {
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

  // Ends what can end, so that memory can be checked.
  void Heal() {
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

  void CheckAnswer(const ClientResponse& got) {
    const bool whole =
        got.end_event == "done" && got.Text() == ExpectedText(call_);
    INFO("status " << got.status << ", " << got.parts.size() << " parts, end '"
                   << got.end_event << "' " << got.end.dump() << " "
                   << got.body.dump());
    switch (cell_.expect) {
      case Expect::kWhole:
        CHECK(whole);
        break;
      case Expect::kWholeOrTrue: {
        const bool told = got.Outcome() == "not_run" ||
                          got.Outcome() == "failed" ||
                          got.Outcome() == "unknown";
        CHECK((whole || told));
        break;
      }
      case Expect::kCut:
        CHECK_FALSE(whole);
        break;
    }
    // What was given of the answer is a beginning of it, each token once.
    const std::string expected = ExpectedText(call_);
    CHECK(expected.compare(0, got.Text().size(), got.Text()) == 0);
  }

  void CheckRuns(const ClientResponse& got) {
    if (cell_.kind == Kind::kTicketed) {
      // Asked again through the other entry host, as a caller would.
      ClientRequest again = call_;
      again.address = fleet_.CallersAddress(1);
      const ClientResponse second = Call(again);
      INFO("asked again: " << second.status << " " << second.end_event << " "
                           << second.end.dump() << second.body.dump());
      const bool second_whole =
          second.end_event == "done" && second.Text() == ExpectedText(call_);
      CHECK((second_whole || !second.Outcome().empty()));
      // An engine that was killed forgets its count, and only makes it less.
      CHECK(CountRuns(&fleet_, kEngines, label_) <= 1);
    }
    if (got.Outcome() == "not_run") {
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

// Returns how many cells there are in each part of the table.
constexpr std::size_t kParts = 8;

void RunPart(std::size_t part) {
  std::size_t index = 0;
  for (const Cell& cell : kCells) {
    if (index++ % kParts != part) {
      continue;
    }
    DYNAMIC_SECTION(cell.name) { Scene(cell).Run(); }
  }
}

// Eight parts, so that CTest runs them side by side.
TEST_CASE("What must hold holds under the fault matrix, part 1") { RunPart(0); }
TEST_CASE("What must hold holds under the fault matrix, part 2") { RunPart(1); }
TEST_CASE("What must hold holds under the fault matrix, part 3") { RunPart(2); }
TEST_CASE("What must hold holds under the fault matrix, part 4") { RunPart(3); }
TEST_CASE("What must hold holds under the fault matrix, part 5") { RunPart(4); }
TEST_CASE("What must hold holds under the fault matrix, part 6") { RunPart(5); }
TEST_CASE("What must hold holds under the fault matrix, part 7") { RunPart(6); }
TEST_CASE("What must hold holds under the fault matrix, part 8") { RunPart(7); }

}  // namespace
}  // namespace harecrank::testing
