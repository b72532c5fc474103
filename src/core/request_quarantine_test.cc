#include "harecrank/core/request_quarantine.h"

#include <catch2/catch.hpp>
#include <string>

namespace harecrank {
namespace {

RequestFingerprint Request(std::uint64_t number) {
  return RequestFingerprint{AccountId{"acme"}, number, number};
}

EndpointCrash Crash(int endpoint, std::int64_t incarnation = 1) {
  return EndpointCrash{EndpointId{"e" + std::to_string(endpoint)},
                       EndpointIncarnation{incarnation}};
}

struct Host {
  TimePoint now{};
  RequestQuarantine quarantine{[this] { return now; }};

  // Reports crashes of endpoints 0 to `count` - 1; those already known have no
  // effect.
  void AddCrashes(int count) {
    for (int i = 0; i < count; ++i) {
      quarantine.OnCrash(Request(1), Crash(i));
    }
  }
};

TEST_CASE("A request is quarantined after three crashes") {
  Host host;
  host.AddCrashes(2);
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
  CHECK(host.quarantine.OnCrash(Request(1), Crash(2)));
  CHECK(host.quarantine.IsQuarantined(Request(1)));
  CHECK_FALSE(host.quarantine.TryAdmit(Request(1)));
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(2)));
}

TEST_CASE("A crash counts once per incarnation") {
  Host host;
  CHECK(host.quarantine.OnCrash(Request(1), Crash(0)));
  CHECK_FALSE(host.quarantine.OnCrash(Request(1), Crash(0)));
  CHECK(host.quarantine.CrashCount(Request(1)) == 1);
  CHECK(host.quarantine.OnCrash(Request(1), Crash(0, 2)));
  CHECK(host.quarantine.CrashCount(Request(1)) == 2);
}

TEST_CASE("Equal requests of different accounts are distinct") {
  Host host;
  host.AddCrashes(3);
  RequestFingerprint other = Request(1);
  other.account = AccountId{"else"};
  CHECK_FALSE(host.quarantine.IsQuarantined(other));
}

TEST_CASE("A completed request is cleared of all crashes") {
  Host host;
  host.AddCrashes(3);
  CHECK(host.quarantine.OnCompleted(Request(1)));
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
  // A delayed report of a crash that has been cleared.
  CHECK_FALSE(host.quarantine.OnCrash(Request(1), Crash(1)));
  CHECK(host.quarantine.CrashCount(Request(1)) == 0);
  CHECK_FALSE(host.quarantine.OnCompleted(Request(1)));
}

TEST_CASE("A quarantined request is admitted for at most three trials") {
  Host host;
  host.AddCrashes(3);
  for (int trial = 0; trial < RequestQuarantine::kMaxTrials; ++trial) {
    host.now += RequestQuarantine::kTrialInterval;
    bool is_trial = false;
    CHECK(host.quarantine.TryAdmit(Request(1), &is_trial));
    CHECK(is_trial);
    CHECK_FALSE(host.quarantine.TryAdmit(Request(1)));
  }
  host.now += 10 * RequestQuarantine::kTrialInterval;
  CHECK(host.quarantine.IsQuarantined(Request(1)));
}

// Adds three crashes to two requests, of which only the first is the cause.
void QuarantineTwo(Host* host) {
  for (int i = 0; i < 3; ++i) {
    host->quarantine.OnCrash(Request(1), Crash(i));
    host->quarantine.OnCrash(Request(2), Crash(i));
  }
  host->now += RequestQuarantine::kTrialInterval;
}

TEST_CASE("Trials of different requests run one after the other") {
  Host host;
  QuarantineTwo(&host);
  CHECK(host.quarantine.TryAdmit(Request(1)));
  CHECK(host.quarantine.IsQuarantined(Request(2)));
  CHECK_FALSE(host.quarantine.TryAdmit(Request(2)));
  // The trial of the first request crashes the endpoint that the second would
  // have used.
  host.quarantine.OnCrash(Request(1), Crash(3));
  host.now += Millis(500);
  CHECK(host.quarantine.TryAdmit(Request(2)));
  CHECK(host.quarantine.OnCompleted(Request(2)));
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(2)));
  CHECK(host.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("A trial on another host delays trials of other requests") {
  Host trial_host;
  Host other;
  QuarantineTwo(&trial_host);
  QuarantineTwo(&other);
  CHECK(trial_host.quarantine.TryAdmit(Request(1)));
  other.quarantine.Merge(trial_host.quarantine.ReportOf(Request(1)));
  CHECK_FALSE(other.quarantine.TryAdmit(Request(2)));
  other.now += Millis(500);
  CHECK(other.quarantine.TryAdmit(Request(2)));
}

TEST_CASE("A cancelled trial does not count") {
  Host host;
  host.AddCrashes(3);
  for (int i = 0; i < 2 * RequestQuarantine::kMaxTrials; ++i) {
    host.now += RequestQuarantine::kTrialInterval;
    REQUIRE(host.quarantine.TryAdmit(Request(1)));
    host.quarantine.CancelTrial(Request(1));
  }
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("A failed trial extends the interval, and a second ends the trials") {
  Host host;
  host.AddCrashes(3);
  host.now += RequestQuarantine::kTrialInterval;
  REQUIRE(host.quarantine.TryAdmit(Request(1)));
  host.AddCrashes(4);
  host.now += RequestQuarantine::kTrialInterval;
  CHECK(host.quarantine.IsQuarantined(Request(1)));
  host.now += RequestQuarantine::kIntervalAfterFailedTrial;
  REQUIRE(host.quarantine.TryAdmit(Request(1)));
  host.AddCrashes(5);
  host.now += RequestQuarantine::kCrashRetention + Millis(1);
  CHECK(host.quarantine.IsQuarantined(Request(1)));
  host.now += RequestQuarantine::kProvenRetention;
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
}

// Half of all callers send the request, and all engines lose power at once.
TEST_CASE("A request with many crashes still gets a trial") {
  Host host;
  host.AddCrashes(9);
  CHECK(host.quarantine.IsQuarantined(Request(1)));
  host.now += RequestQuarantine::kTrialInterval;
  CHECK(host.quarantine.TryAdmit(Request(1)));
  CHECK(host.quarantine.OnCompleted(Request(1)));
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("A crash that had another cause is not counted, also if told again") {
  Host host;
  host.AddCrashes(3);
  CHECK(host.quarantine.OnExplained(Request(1), Crash(1)));
  CHECK_FALSE(host.quarantine.OnExplained(Request(1), Crash(1)));
  CHECK_FALSE(host.quarantine.OnExplained(Request(2), Crash(1)));
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
  CHECK_FALSE(host.quarantine.OnCrash(Request(1), Crash(1)));
  Host other;
  other.AddCrashes(3);
  other.quarantine.Merge(host.quarantine.ReportOf(Request(1)));
  CHECK(other.quarantine.CrashCount(Request(1)) == 2);
}

TEST_CASE("Old crashes are not counted") {
  Host host;
  host.AddCrashes(2);
  host.now += RequestQuarantine::kCrashRetention + Millis(1);
  host.quarantine.OnCrash(Request(1), Crash(7));
  CHECK(host.quarantine.CrashCount(Request(1)) == 1);
  host.now += RequestQuarantine::kCrashRetention + Millis(1);
  host.quarantine.Sweep();
  CHECK(host.quarantine.IsEmpty());
}

TEST_CASE("Crashes seen by different hosts add up") {
  Host hosts[3];
  for (int i = 0; i < 3; ++i) {
    hosts[i].quarantine.OnCrash(Request(1), Crash(i));
  }
  for (Host& from : hosts) {
    const CrashReport report = from.quarantine.ReportOf(Request(1));
    for (Host& to : hosts) {
      to.quarantine.Merge(report);
      // A datagram may be duplicated.
      to.quarantine.Merge(report);
    }
  }
  for (Host& host : hosts) {
    CHECK(host.quarantine.CrashCount(Request(1)) == 3);
    CHECK(host.quarantine.IsQuarantined(Request(1)));
  }
}

TEST_CASE("A crash that several hosts saw counts once") {
  Host hosts[4];
  for (Host& host : hosts) {
    host.quarantine.OnCrash(Request(1), Crash(0));
  }
  for (Host& from : hosts) {
    hosts[0].quarantine.Merge(from.quarantine.ReportOf(Request(1)));
  }
  CHECK(hosts[0].quarantine.CrashCount(Request(1)) == 1);
}

TEST_CASE("A host learns of a missed clearing by merging") {
  Host cleared;
  Host missed;
  cleared.AddCrashes(3);
  missed.quarantine.Merge(cleared.quarantine.ReportOf(Request(1)));
  cleared.quarantine.OnCompleted(Request(1));
  // The report of the other host does not restore the crashes.
  const CrashReport old = missed.quarantine.ReportOf(Request(1));
  CHECK_FALSE(cleared.quarantine.Merge(old));
  CHECK(cleared.quarantine.KnowsMoreThan(old));
  CHECK(missed.quarantine.Merge(cleared.quarantine.ReportOf(Request(1))));
  CHECK_FALSE(missed.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("A trial on another host delays trials of the same request") {
  Host trial_host;
  Host other;
  trial_host.AddCrashes(3);
  other.AddCrashes(3);
  trial_host.now += RequestQuarantine::kTrialInterval;
  other.now += RequestQuarantine::kTrialInterval;
  REQUIRE(trial_host.quarantine.TryAdmit(Request(1)));
  REQUIRE_FALSE(other.quarantine.IsQuarantined(Request(1)));
  CHECK(other.quarantine.Merge(trial_host.quarantine.ReportOf(Request(1))));
  CHECK(other.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("Digests are equal if hosts share the same crashes") {
  Host a;
  Host b;
  CHECK(a.quarantine.SharedDigest() == 0);
  a.AddCrashes(1);
  // A single crash is sent once and not shared again.
  CHECK(a.quarantine.SharedDigest() == 0);
  a.AddCrashes(3);
  CHECK(a.quarantine.SharedDigest() != b.quarantine.SharedDigest());
  for (const CrashReport& report : a.quarantine.SharedReports()) {
    b.quarantine.Merge(report);
  }
  CHECK(a.quarantine.SharedDigest() == b.quarantine.SharedDigest());
}

TEST_CASE("Many new records do not evict a quarantined request") {
  Host host;
  host.AddCrashes(3);
  const auto max_records =
      static_cast<std::uint64_t>(RequestQuarantine::kMaxRecords);
  for (std::uint64_t i = 2; i < 3 * max_records; ++i) {
    host.now += Millis(1);
    host.quarantine.OnCrash(Request(i), Crash(9));
  }
  CHECK(host.quarantine.Count() <= RequestQuarantine::kMaxRecords);
  CHECK(host.quarantine.CrashCount(Request(1)) == 3);
  // The newest request has a record.
  CHECK(host.quarantine.CrashCount(Request(3 * max_records - 1)) == 1);
}

}  // namespace
}  // namespace harecrank
