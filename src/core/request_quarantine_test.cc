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

  void CrashTimes(int times) {
    for (int i = 0; i < times; ++i) {
      quarantine.OnCrash(Request(1), Crash(i));
    }
  }
};

TEST_CASE("A request is held once three endpoints have ended under it") {
  Host host;
  host.CrashTimes(2);
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
  CHECK(host.quarantine.OnCrash(Request(1), Crash(2)));
  CHECK(host.quarantine.IsQuarantined(Request(1)));
  CHECK_FALSE(host.quarantine.TryAdmit(Request(1)));
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(2)));
}

TEST_CASE("One end of an endpoint counts once, and two lives are two ends") {
  Host host;
  CHECK(host.quarantine.OnCrash(Request(1), Crash(0)));
  CHECK_FALSE(host.quarantine.OnCrash(Request(1), Crash(0)));
  CHECK(host.quarantine.CrashCount(Request(1)) == 1);
  CHECK(host.quarantine.OnCrash(Request(1), Crash(0, 2)));
  CHECK(host.quarantine.CrashCount(Request(1)) == 2);
}

TEST_CASE("Requests of other accounts are other requests") {
  Host host;
  host.CrashTimes(3);
  RequestFingerprint other = Request(1);
  other.account = AccountId{"else"};
  CHECK_FALSE(host.quarantine.IsQuarantined(other));
}

TEST_CASE("A request that was answered whole is free, whatever ended before") {
  Host host;
  host.CrashTimes(3);
  CHECK(host.quarantine.OnCompleted(Request(1)));
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
  // Told late of an end that had been counted already.
  CHECK_FALSE(host.quarantine.OnCrash(Request(1), Crash(1)));
  CHECK(host.quarantine.CrashCount(Request(1)) == 0);
  CHECK_FALSE(host.quarantine.OnCompleted(Request(1)));
}

TEST_CASE("A held request is let through alone, three times at the most") {
  Host host;
  host.CrashTimes(3);
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

// Two requests that were in hand at the same three ends, of which only the
// first is to blame.
void HoldTwo(Host* host) {
  for (int i = 0; i < 3; ++i) {
    host->quarantine.OnCrash(Request(1), Crash(i));
    host->quarantine.OnCrash(Request(2), Crash(i));
  }
  host->now += RequestQuarantine::kTrialInterval;
}

TEST_CASE("Held requests are let through one after the other") {
  Host host;
  HoldTwo(&host);
  CHECK(host.quarantine.TryAdmit(Request(1)));
  CHECK(host.quarantine.IsQuarantined(Request(2)));
  CHECK_FALSE(host.quarantine.TryAdmit(Request(2)));
  // The trial of the first ends the endpoint on which the second would be.
  host.quarantine.OnCrash(Request(1), Crash(3));
  host.now += Millis(500);
  CHECK(host.quarantine.TryAdmit(Request(2)));
  CHECK(host.quarantine.OnCompleted(Request(2)));
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(2)));
  CHECK(host.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("A host lets no request through beside the trial of another host") {
  Host trying;
  Host other;
  HoldTwo(&trying);
  HoldTwo(&other);
  CHECK(trying.quarantine.TryAdmit(Request(1)));
  other.quarantine.Merge(trying.quarantine.ReportOf(Request(1)));
  CHECK_FALSE(other.quarantine.TryAdmit(Request(2)));
  other.now += Millis(500);
  CHECK(other.quarantine.TryAdmit(Request(2)));
}

TEST_CASE("A trial that reached no endpoint is not spent") {
  Host host;
  host.CrashTimes(3);
  for (int i = 0; i < 2 * RequestQuarantine::kMaxTrials; ++i) {
    host.now += RequestQuarantine::kTrialInterval;
    REQUIRE(host.quarantine.TryAdmit(Request(1)));
    host.quarantine.CancelTrial(Request(1));
  }
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("A request that fails a trial waits longer, and two prove it") {
  Host host;
  host.CrashTimes(3);
  host.now += RequestQuarantine::kTrialInterval;
  REQUIRE(host.quarantine.TryAdmit(Request(1)));
  host.CrashTimes(4);
  host.now += RequestQuarantine::kTrialInterval;
  CHECK(host.quarantine.IsQuarantined(Request(1)));
  host.now += RequestQuarantine::kIntervalAfterFailedTrial;
  REQUIRE(host.quarantine.TryAdmit(Request(1)));
  host.CrashTimes(5);
  host.now += RequestQuarantine::kCrashRetention + Millis(1);
  CHECK(host.quarantine.IsQuarantined(Request(1)));
  host.now += RequestQuarantine::kProvenRetention;
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
}

// Half of all callers make it, and all engines lose power at once.
TEST_CASE("A request that was in hand at many ends is tried all the same") {
  Host host;
  host.CrashTimes(9);
  CHECK(host.quarantine.IsQuarantined(Request(1)));
  host.now += RequestQuarantine::kTrialInterval;
  CHECK(host.quarantine.TryAdmit(Request(1)));
  CHECK(host.quarantine.OnCompleted(Request(1)));
  CHECK_FALSE(host.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("Ends that lie far apart are forgotten") {
  Host host;
  host.CrashTimes(2);
  host.now += RequestQuarantine::kCrashRetention + Millis(1);
  host.quarantine.OnCrash(Request(1), Crash(7));
  CHECK(host.quarantine.CrashCount(Request(1)) == 1);
  host.now += RequestQuarantine::kCrashRetention + Millis(1);
  host.quarantine.Sweep();
  CHECK(host.quarantine.IsEmpty());
}

TEST_CASE("Hosts that each saw one end hold the request together") {
  Host hosts[3];
  for (int i = 0; i < 3; ++i) {
    hosts[i].quarantine.OnCrash(Request(1), Crash(i));
  }
  for (Host& from : hosts) {
    const CrashReport report = from.quarantine.ReportOf(Request(1));
    for (Host& to : hosts) {
      to.quarantine.Merge(report);
      // A datagram may come twice.
      to.quarantine.Merge(report);
    }
  }
  for (Host& host : hosts) {
    CHECK(host.quarantine.CrashCount(Request(1)) == 3);
    CHECK(host.quarantine.IsQuarantined(Request(1)));
  }
}

TEST_CASE("An end that several hosts saw counts once") {
  Host hosts[4];
  for (Host& host : hosts) {
    host.quarantine.OnCrash(Request(1), Crash(0));
  }
  for (Host& from : hosts) {
    hosts[0].quarantine.Merge(from.quarantine.ReportOf(Request(1)));
  }
  CHECK(hosts[0].quarantine.CrashCount(Request(1)) == 1);
}

TEST_CASE("A host that missed that a request was cleared learns it") {
  Host cleared;
  Host missed;
  cleared.CrashTimes(3);
  missed.quarantine.Merge(cleared.quarantine.ReportOf(Request(1)));
  cleared.quarantine.OnCompleted(Request(1));
  // What the other one tells brings nothing back.
  const CrashReport old = missed.quarantine.ReportOf(Request(1));
  CHECK_FALSE(cleared.quarantine.Merge(old));
  CHECK(cleared.quarantine.KnowsMoreThan(old));
  CHECK(missed.quarantine.Merge(cleared.quarantine.ReportOf(Request(1))));
  CHECK_FALSE(missed.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("A host that did not make the trial holds the request meanwhile") {
  Host trying;
  Host other;
  trying.CrashTimes(3);
  other.CrashTimes(3);
  trying.now += RequestQuarantine::kTrialInterval;
  other.now += RequestQuarantine::kTrialInterval;
  REQUIRE(trying.quarantine.TryAdmit(Request(1)));
  REQUIRE_FALSE(other.quarantine.IsQuarantined(Request(1)));
  CHECK(other.quarantine.Merge(trying.quarantine.ReportOf(Request(1))));
  CHECK(other.quarantine.IsQuarantined(Request(1)));
}

TEST_CASE("Digests agree exactly where hosts know the same suspects") {
  Host a;
  Host b;
  CHECK(a.quarantine.SharedDigest() == 0);
  a.CrashTimes(1);
  // One end is told once and not again.
  CHECK(a.quarantine.SharedDigest() == 0);
  a.CrashTimes(3);
  CHECK(a.quarantine.SharedDigest() != b.quarantine.SharedDigest());
  for (const CrashReport& report : a.quarantine.SharedReports()) {
    b.quarantine.Merge(report);
  }
  CHECK(a.quarantine.SharedDigest() == b.quarantine.SharedDigest());
}

TEST_CASE("A flood of suspects does not push out a request that is held") {
  Host host;
  host.CrashTimes(3);
  const auto most = static_cast<std::uint64_t>(RequestQuarantine::kMaxRecords);
  for (std::uint64_t i = 2; i < 3 * most; ++i) {
    host.now += Millis(1);
    host.quarantine.OnCrash(Request(i), Crash(9));
  }
  CHECK(host.quarantine.Count() <= RequestQuarantine::kMaxRecords);
  CHECK(host.quarantine.CrashCount(Request(1)) == 3);
  // The newest has its place.
  CHECK(host.quarantine.CrashCount(Request(3 * most - 1)) == 1);
}

}  // namespace
}  // namespace harecrank
