#include "harecrank/core/part_quarantine.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace harecrank {
namespace {

using Parts = std::vector<PromptPartId>;

// The first part of all prompts, two that many share, and two deadly ones.
constexpr PromptPartId kFirst{1};
constexpr PromptPartId kMiddle{2};
constexpr PromptPartId kOther{3};
constexpr PromptPartId kDeadly{66};
constexpr PromptPartId kDeadlyToo{77};

EndpointCrash Crash(int number) {
  return EndpointCrash{EndpointId{"e" + std::to_string(number)},
                       EndpointIncarnation{1}};
}

HostAddress Address(int number) {
  return HostAddress{"10.0.0." + std::to_string(number) + ":1"};
}

// One host. All hosts of a test share `now`.
struct Host {
  // The host knows itself and the hosts `others`.
  Host(int number, TimePoint* clock, const std::vector<int>& others = {})
      : now(clock),
        quarantine(Address(number),
                   {[number, others] {
                      std::vector<HostAddress> known{Address(number)};
                      for (const int other : others) {
                        known.push_back(Address(other));
                      }
                      return known;
                    },
                    [this] { return of_majority; }},
                   [clock] { return *clock; }) {}

  // An endpoint answers a prompt with `parts` and lives.
  void Answer(const Parts& parts) {
    quarantine.OnSent(parts);
    quarantine.OnSound(parts, *now);
  }
  // An endpoint crashes when it begins to answer a prompt with `parts`, beside
  // another prompt.
  void CrashOn(int endpoint, const Parts& parts,
               const Parts& beside = {kFirst, kMiddle}) {
    quarantine.OnSent(parts);
    quarantine.OnSent(beside);
    quarantine.OnCrash(Crash(endpoint), parts);
    quarantine.OnCrash(Crash(endpoint), beside);
  }
  bool Holds(PromptPartId part) const { return quarantine.IsHeld(part); }

  TimePoint* now;
  bool of_majority = true;
  PartQuarantine quarantine;
};

struct OneHost {
  OneHost() {
    host = std::make_unique<Host>(0, &now);
    host->quarantine.SetKnowsAllHolds();
  }

  // Harmless prompts are answered for a while.
  void KnowHarmlessParts() {
    for (int i = 0; i < 20; ++i) {
      host->Answer({kFirst, kMiddle});
      host->Answer({kFirst, kOther});
      Pass(Millis(50));
    }
  }
  void Pass(Millis time) { now += time; }

  TimePoint now{Millis(100000)};
  std::unique_ptr<Host> host;
};

TEST_CASE("A part under which three endpoints crashed is held, no other is") {
  OneHost test;
  test.KnowHarmlessParts();
  // The deadly part stands in the middle; no two prompts are alike.
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(test.host->Holds(kDeadly));
    test.host->CrashOn(
        i,
        {kFirst, kDeadly, PromptPartId{1000U + static_cast<std::uint64_t>(i)}});
    test.Pass(Millis(90));
  }
  CHECK(test.host->Holds(kDeadly));
  CHECK(test.host->quarantine.HeldCount() == 1);
  CHECK(test.host->quarantine.TryAdmit({kFirst, kDeadly}) ==
        PartAdmission::kHeld);
  CHECK(test.host->quarantine.TryAdmit({kFirst, kMiddle}) ==
        PartAdmission::kAdmitted);
}

TEST_CASE(
    "A deadly part that stands first is held, and what it is beside not") {
  OneHost test;
  test.KnowHarmlessParts();
  for (int i = 0; i < 3; ++i) {
    test.host->CrashOn(i, {kDeadly, kMiddle, kOther}, {kFirst, kOther});
    test.Pass(Millis(90));
  }
  CHECK(test.host->Holds(kDeadly));
  CHECK(test.host->quarantine.HeldCount() == 1);
}

TEST_CASE("Two deadly parts at once are both held") {
  OneHost test;
  test.KnowHarmlessParts();
  int crashes = 0;
  while (!test.host->Holds(kDeadly) || !test.host->Holds(kDeadlyToo)) {
    const PromptPartId part = crashes % 2 == 0 ? kDeadly : kDeadlyToo;
    if (!test.host->Holds(part)) {
      test.host->CrashOn(crashes, {kFirst, part, kMiddle});
    }
    test.Pass(Millis(60));
    ++crashes;
    REQUIRE(crashes < 10);
  }
  CHECK(test.host->quarantine.HeldCount() == 2);
}

TEST_CASE("Prompts with two deadly parts are held by one of them") {
  OneHost test;
  test.KnowHarmlessParts();
  for (int i = 0; i < 3; ++i) {
    test.host->CrashOn(i, {kFirst, kDeadly, kDeadlyToo});
    test.Pass(Millis(90));
  }
  CHECK(test.host->quarantine.IsHeld(Parts{kFirst, kDeadly, kDeadlyToo}));
  CHECK_FALSE(test.host->Holds(kFirst));
}

TEST_CASE(
    "Before any answer is known, the part that most prompts share is "
    "not taken for the deadly one") {
  OneHost test;
  for (int i = 0; i < 12; ++i) {
    test.host->quarantine.OnSent({kFirst, kMiddle});
  }
  for (int i = 0; i < 4; ++i) {
    test.host->CrashOn(i, {kFirst, kDeadly});
    test.Pass(Millis(90));
  }
  CHECK(test.host->Holds(kDeadly));
  CHECK_FALSE(test.host->Holds(kFirst));
  CHECK_FALSE(test.host->Holds(kMiddle));
}

TEST_CASE("A part that becomes deadly after it was answered is held") {
  OneHost test;
  test.KnowHarmlessParts();
  // The first crash comes within the tolerance after a sound answer.
  for (int i = 0; i < 6; ++i) {
    CHECK_FALSE(test.host->Holds(kMiddle));
    test.host->CrashOn(i, {kFirst, kMiddle}, {kFirst, kOther});
    test.Pass(Millis(210));
    if (i == 4) {
      // Harmless prompts survive elsewhere.
      test.host->Answer({kFirst, kOther});
    }
  }
  CHECK(test.host->Holds(kMiddle));
  CHECK(test.host->quarantine.HeldCount() == 1);
}

// A caller rotates another part so that it explains each few crashes.
TEST_CASE("A deadly part is held even if others seem to explain its crashes") {
  OneHost test;
  test.KnowHarmlessParts();
  int endpoint = 0;
  for (std::uint64_t name = 100; !test.host->Holds(kDeadly); ++name) {
    // Five crashes, and three more.
    REQUIRE(endpoint <= 8);
    for (int i = 0; i < 3; ++i) {
      test.host->CrashOn(endpoint++, {kFirst, kDeadly, PromptPartId{name}});
      test.Pass(Millis(320));
      test.host->Answer({kFirst, kMiddle});
    }
  }
  CHECK_FALSE(test.host->Holds(kFirst));
  CHECK_FALSE(test.host->Holds(kMiddle));
}

TEST_CASE("Endpoints that end by themselves condemn no part in use") {
  OneHost test;
  test.KnowHarmlessParts();
  for (int i = 0; i < 60; ++i) {
    test.host->CrashOn(i, {kFirst, kMiddle}, {kFirst, kOther});
    test.Pass(Millis(400));
    // An answer that began right after the crash.
    test.host->Answer({kFirst, kMiddle});
    test.host->Answer({kFirst, kOther});
  }
  CHECK(test.host->quarantine.HeldCount() == 0);
}

TEST_CASE("A loss of power of all endpoints condemns no known part") {
  OneHost test;
  test.KnowHarmlessParts();
  for (int i = 0; i < 18; ++i) {
    test.host->CrashOn(i, {kFirst, kMiddle}, {kFirst, kOther});
    test.Pass(Millis(4));
  }
  CHECK(test.host->quarantine.HeldCount() == 0);
}

// Replays a day on which several of 18 endpoints crashed at a time, every four
// seconds, and a part that few prompts had was interrupted each time.
TEST_CASE("A rare part that waves of crashes interrupt is not held") {
  OneHost test;
  test.KnowHarmlessParts();
  for (int wave = 0; wave < 4; ++wave) {
    for (int i = 0; i < 6; ++i) {
      test.host->CrashOn(10 * wave + i, {kFirst, kOther}, {kFirst, kMiddle});
      test.Pass(Millis(3));
    }
    test.Pass(Millis(300));
    test.host->Answer({kFirst, kMiddle});
    test.Pass(Millis(3700));
  }
  CHECK(test.host->quarantine.HeldCount() == 0);
}

TEST_CASE("A sound answer clears the crashes before its begin, and no later") {
  OneHost test;
  test.host->CrashOn(0, {kFirst, kOther});
  const TimePoint began = test.now;
  test.Pass(PartCrashes::kTimeTolerance + Millis(1));
  test.host->CrashOn(1, {kFirst, kOther});
  test.host->quarantine.OnSound({kOther}, began);
  CHECK(test.host->quarantine.Crashes().CountAgainst(kOther) == 1);
  test.host->quarantine.OnSound({kOther}, test.now);
  CHECK(test.host->quarantine.Crashes().CountAgainst(kOther) == 0);
}

TEST_CASE("A part that was held in error is released by a trial") {
  OneHost test;
  for (int i = 0; i < 3; ++i) {
    test.host->CrashOn(i, {kOther}, {});
    test.Pass(Millis(90));
  }
  REQUIRE(test.host->Holds(kOther));
  test.Pass(PartTrialSchedule::kDelays[0]);
  REQUIRE(test.host->quarantine.TryAdmit({kOther}) == PartAdmission::kTrial);
  CHECK(test.host->quarantine.TryAdmit({kOther}) == PartAdmission::kHeld);
  const PartEvidence told = test.host->quarantine.OnSound({kOther}, test.now);
  CHECK(told.sound.size() == 1);
  CHECK_FALSE(test.host->Holds(kOther));
}

TEST_CASE("A prompt with two held parts is never a trial") {
  OneHost test;
  for (int i = 0; i < 3; ++i) {
    test.host->CrashOn(2 * i, {kDeadly}, {});
    test.host->CrashOn(2 * i + 1, {kDeadlyToo}, {});
    test.Pass(Millis(90));
  }
  test.Pass(PartTrialSchedule::kDelays[0]);
  CHECK(test.host->quarantine.TryAdmit({kDeadly, kDeadlyToo}) ==
        PartAdmission::kHeld);
  CHECK(test.host->quarantine.TryAdmit({kDeadly}) == PartAdmission::kTrial);
}

TEST_CASE("A trial that reached no endpoint may be run again") {
  OneHost test;
  for (int i = 0; i < 3; ++i) {
    test.host->CrashOn(i, {kOther}, {});
    test.Pass(Millis(90));
  }
  test.Pass(PartTrialSchedule::kDelays[0]);
  REQUIRE(test.host->quarantine.TryAdmit({kOther}) == PartAdmission::kTrial);
  test.host->quarantine.CancelTrial({kOther});
  CHECK(test.host->quarantine.TryAdmit({kOther}) == PartAdmission::kTrial);
}

// Hosts that exchange all evidence. Endpoints are numbered by their crashes.
class HostFleet {
 public:
  // Returns the hosts that the given one knows beside itself.
  using KnownHosts = std::function<std::vector<int>(int host)>;

  explicit HostFleet(int hosts)
      : HostFleet(hosts, [hosts](int host) { return Others(hosts, host); }) {}
  HostFleet(int hosts, KnownHosts known_hosts)
      : known_hosts_(std::move(known_hosts)) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(i, &now_, known_hosts_(i)));
      hosts_.back()->quarantine.SetKnowsAllHolds();
      hosts_.back()->Answer({kFirst, kMiddle});
    }
  }

  static std::vector<int> Others(int hosts, int host) {
    std::vector<int> others;
    for (int i = 0; i < hosts; ++i) {
      if (i != host) {
        others.push_back(i);
      }
    }
    return others;
  }

  // A caller sends a prompt with the deadly part to `host`. The endpoint
  // crashes if the host sends it on.
  void SendDeadly(int host, bool reaches_others = true) {
    Host& at = *hosts_[static_cast<std::size_t>(host)];
    const Parts parts = {kFirst, kDeadly, PromptPartId{10000U + sent_}};
    const PartAdmission admission = at.quarantine.TryAdmit(parts);
    if (admission == PartAdmission::kHeld) {
      return;
    }
    at.quarantine.OnSent(parts);
    ++sent_;
    if (admission == PartAdmission::kTrial) {
      const PartEvidence trial = at.quarantine.OnTrialSent(parts);
      if (reaches_others) {
        Tell(host, trial);
      }
    }
    const PartEvidence told =
        at.quarantine.OnCrash(Crash(static_cast<int>(sent_)), parts);
    if (reaches_others) {
      Tell(host, told);
    }
  }

  void Tell(int from, const PartEvidence& evidence) {
    for (int to = 0; to < static_cast<int>(hosts_.size()); ++to) {
      PartEvidence missing;
      if (to != from) {
        hosts_[static_cast<std::size_t>(to)]->quarantine.Merge(evidence,
                                                               &missing);
      }
    }
  }

  // What heartbeats bring about: hosts with different digests exchange what
  // they share.
  void Repair() {
    for (auto& from : hosts_) {
      for (auto& to : hosts_) {
        PartEvidence missing;
        if (from->quarantine.HeldDigest() != to->quarantine.HeldDigest()) {
          to->quarantine.Merge(from->quarantine.SharedEvidence(), &missing);
          from->quarantine.Merge(missing, &missing);
        }
        if (from->quarantine.HeldDigest() == to->quarantine.HeldDigest() &&
            from->quarantine.KnowsAllHolds()) {
          to->quarantine.SetKnowsAllHolds();
        }
      }
    }
  }

  void Restart(int host) {
    hosts_[static_cast<std::size_t>(host)] =
        std::make_unique<Host>(host, &now_, known_hosts_(host));
  }

  void Pass(Millis time) { now_ += time; }
  std::size_t Sent() const { return sent_; }
  Host& At(int host) { return *hosts_[static_cast<std::size_t>(host)]; }

 private:
  TimePoint now_{Millis(1000000)};
  KnownHosts known_hosts_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::size_t sent_ = 0;
};

TEST_CASE("Crashes that different hosts saw add up") {
  HostFleet fleet(5);
  for (int i = 0; i < 20; ++i) {
    fleet.SendDeadly(i % 5);
    fleet.Pass(Millis(70));
  }
  CHECK(fleet.Sent() == PartQuarantine::kNewPartCrashes);
}

// Guards against a sum that grows with each host that starts anew or is cut
// off, and with each trial.
TEST_CASE("All hosts together send a deadly part three times more at most") {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    constexpr int kHosts = 6;
    HostFleet fleet(kHosts);
    while (!fleet.At(0).Holds(kDeadly)) {
      fleet.SendDeadly(static_cast<int>(random() % kHosts));
      fleet.Pass(Millis(60));
    }
    const std::size_t held_after = fleet.Sent();
    for (int step = 0; step < 3000; ++step) {
      const int host = static_cast<int>(random() % kHosts);
      if (random() % 40 == 0) {
        fleet.Restart(host);
        // A host takes callers once its peers have told it what they hold.
        fleet.Repair();
      }
      fleet.SendDeadly(host, random() % 4 != 0);
      fleet.Pass(Millis(50));
    }
    CAPTURE(seed);
    REQUIRE(fleet.Sent() - held_after <= kPartTrials);
  }
}

// In a large fleet no host knows all others, and those that it knows change.
TEST_CASE("Hosts that know different hosts run no more trials together") {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    constexpr int kHosts = 12;
    HostFleet fleet(kHosts, [&random](int host) {
      std::vector<int> known;
      for (const int other : HostFleet::Others(kHosts, host)) {
        if (random() % 2 == 0) {
          known.push_back(other);
        }
      }
      return known;
    });
    while (!fleet.At(0).Holds(kDeadly)) {
      fleet.SendDeadly(static_cast<int>(random() % kHosts));
      fleet.Pass(Millis(60));
    }
    const std::size_t held_after = fleet.Sent();
    for (int step = 0; step < 3000; ++step) {
      if (step % 6 == 0) {
        fleet.Repair();
      }
      fleet.SendDeadly(static_cast<int>(random() % kHosts));
      fleet.Pass(Millis(50));
    }
    CAPTURE(seed);
    REQUIRE(fleet.Sent() - held_after <= kPartTrials);
  }
}

// The hosts of the smaller side have the same evidence, and may choose owners
// among themselves.
TEST_CASE("The smaller side of a partition runs no trials") {
  HostFleet fleet(5);
  for (const int host : {3, 4}) {
    fleet.At(host).of_majority = false;
  }
  for (int step = 0; step < 3000; ++step) {
    fleet.SendDeadly(3 + step % 2);
    fleet.Pass(Millis(50));
  }
  CHECK(fleet.Sent() == PartQuarantine::kNewPartCrashes);
}

// Nobody is left who knows what was held, and which trials were run.
TEST_CASE("A fleet that starts anew as a whole runs no trials") {
  constexpr int kHosts = 3;
  HostFleet fleet(kHosts);
  const auto send = [&fleet](int prompts) {
    for (int i = 0; i < prompts; ++i) {
      fleet.SendDeadly(i % kHosts);
      fleet.Pass(Millis(100));
    }
  };
  send(300);
  const std::size_t sent = fleet.Sent();
  CHECK(sent >= PartQuarantine::kNewPartCrashes);
  for (int i = 0; i < kHosts; ++i) {
    fleet.Restart(i);
  }
  fleet.Repair();
  send(2000);
  CHECK(fleet.Sent() - sent == PartQuarantine::kNewPartCrashes);
}

TEST_CASE("A host that started alone runs trials again after the retention") {
  OneHost test;
  test.host = std::make_unique<Host>(0, &test.now);
  CHECK_FALSE(test.host->quarantine.KnowsAllHolds());
  test.Pass(PartQuarantine::kHoldRetention);
  CHECK(test.host->quarantine.KnowsAllHolds());
}

TEST_CASE("A host that missed all messages learns of a hold, and of its end") {
  HostFleet fleet(2);
  for (int i = 0; i < 3; ++i) {
    fleet.SendDeadly(0, false);
    fleet.Pass(Millis(90));
  }
  REQUIRE(fleet.At(0).Holds(kDeadly));
  CHECK_FALSE(fleet.At(1).Holds(kDeadly));
  fleet.Repair();
  CHECK(fleet.At(1).Holds(kDeadly));
  fleet.Pass(Millis(10));
  fleet.At(0).Answer({kDeadly});
  CHECK_FALSE(fleet.At(0).Holds(kDeadly));
  fleet.Repair();
  CHECK_FALSE(fleet.At(1).Holds(kDeadly));
  CHECK_FALSE(fleet.At(0).Holds(kDeadly));
}

// A host that learns of a crash late dates it late. A sound answer on another
// host must release the part there all the same.
TEST_CASE("A hold ends on hosts that learnt of its crashes late") {
  HostFleet fleet(2);
  for (int i = 0; i < 3; ++i) {
    fleet.SendDeadly(0, false);
    fleet.Pass(Millis(90));
  }
  const PartEvidence held = fleet.At(0).quarantine.SharedEvidence();
  fleet.Pass(Millis(60));
  PartEvidence missing;
  fleet.At(1).quarantine.Merge(held, &missing);
  REQUIRE(fleet.At(1).Holds(kDeadly));
  fleet.At(0).quarantine.OnSound({kDeadly}, *fleet.At(0).now - Millis(120));
  CHECK_FALSE(fleet.At(0).Holds(kDeadly));
  fleet.Repair();
  CHECK_FALSE(fleet.At(0).Holds(kDeadly));
  CHECK_FALSE(fleet.At(1).Holds(kDeadly));
}

TEST_CASE("Floods of names bound the records and do not hide a deadly part") {
  OneHost test;
  test.KnowHarmlessParts();
  std::uint64_t name = 1000;
  int endpoint = 0;
  for (int i = 0; i < 200; ++i) {
    Parts flood;
    for (std::size_t j = 0; j < kMaxSharedParts; ++j) {
      flood.push_back(PromptPartId{name++});
    }
    test.host->quarantine.OnCrash(Crash(endpoint), flood);
    test.host->quarantine.OnCrash(Crash(endpoint), flood);
    if (i % 20 == 0) {
      test.host->CrashOn(endpoint, {kDeadly, PromptPartId{name++}});
    }
    ++endpoint;
    test.Pass(Millis(200));
    test.host->Answer({kFirst, kMiddle});
    REQUIRE(test.host->quarantine.Crashes().All().size() <=
            PartCrashes::kMaxRecords);
    REQUIRE(test.host->quarantine.HeldCount() <= PartQuarantine::kMaxHolds);
  }
  CHECK(test.host->Holds(kDeadly));
  CHECK_FALSE(test.host->Holds(kFirst));
}

TEST_CASE("A held part explains a crash to prompts that do not have it") {
  OneHost test;
  for (int i = 0; i < 3; ++i) {
    test.host->CrashOn(i, {kFirst, kDeadly});
    test.Pass(Millis(90));
  }
  CHECK(test.host->quarantine.IsExplained(Crash(1), {kFirst, kMiddle}));
  CHECK_FALSE(test.host->quarantine.IsExplained(Crash(1), {kFirst, kDeadly}));
  CHECK_FALSE(test.host->quarantine.IsExplained(Crash(9), {kFirst}));
}

}  // namespace
}  // namespace harecrank
