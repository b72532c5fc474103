// Simulates the parsing of frequent configuration versions on a host with a
// small CPU share. Time is simulated and nothing is parsed.

#include "harecrank/core/configuration_parse_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

namespace harecrank {
namespace {

using std::chrono::nanoseconds;

constexpr double kWeakHostCpuShare = 0.09;
// Cost of parsing a version with 1,300 routes on a whole core, in nanoseconds:
// a full parse, and a parse in which all but a few routes are unchanged.
constexpr std::size_t kFullParseCost = 9000000;
constexpr std::size_t kChangeParseCost = 900000;
// The time that operators allow for a version to come into force.
constexpr Millis kMaxTimeToForce{3000};

// A simulated host that parses versions as ConfigurationParseScheduler says.
class Host {
 public:
  explicit Host(ParseSchedulePolicy policy,
                double cpu_share = kWeakHostCpuShare)
      : cpu_share_(cpu_share), parse_scheduler_(CpuShare{cpu_share}, policy) {}

  // Simulates versions of `cost` that arrive at `arrivals`, which is sorted,
  // until all of them are in force.
  void Simulate(const std::vector<Millis>& arrivals, std::size_t cost) {
    std::size_t next = 0;
    while (next < arrivals.size() || parse_scheduler_.IsParsing()) {
      if (!parse_scheduler_.IsParsing()) {
        now_ = std::max(now_, TimePoint{} + arrivals[next]);
      }
      while (next < arrivals.size() && TimePoint{} + arrivals[next] <= now_) {
        Arrive(TimePoint{} + arrivals[next++], cost);
      }
      RunSlice(next < arrivals.size() ? TimePoint{} + arrivals[next]
                                      : TimePoint::max(),
               cost);
    }
  }

  Millis LongestAge() const {
    return std::chrono::duration_cast<Millis>(longest_age_);
  }
  nanoseconds LongestSlice() const { return longest_slice_; }
  nanoseconds BusyTime() const { return busy_time_; }
  std::size_t ParsedVersions() const { return parsed_versions_; }

 private:
  void Arrive(TimePoint at, std::size_t cost) {
    waiting_.push_back(at);
    if (parse_scheduler_.OnVersionArrived(at)) {
      Begin(cost);
    }
  }

  void Begin(std::size_t cost) {
    covered_ = waiting_.size();
    remaining_cost_ = cost;
  }

  void RunSlice(TimePoint until, std::size_t cost) {
    const ParseSlice slice = parse_scheduler_.NextSlice(remaining_cost_, now_);
    if (slice.pause > nanoseconds(0) && now_ + slice.pause > until) {
      // Another version arrives first and may replace this one.
      now_ = until;
      return;
    }
    const std::size_t done = std::min(slice.cost, remaining_cost_);
    const nanoseconds elapsed(
        static_cast<std::int64_t>(static_cast<double>(done) / cpu_share_));
    now_ += slice.pause + elapsed;
    busy_time_ += elapsed;
    longest_slice_ = std::max(longest_slice_, elapsed);
    remaining_cost_ -= done;
    parse_scheduler_.OnSliceDone(done, elapsed);
    if (remaining_cost_ > 0) {
      return;
    }
    for (std::size_t i = 0; i < covered_; ++i) {
      longest_age_ = std::max(longest_age_, now_ - waiting_.front());
      waiting_.pop_front();
    }
    ++parsed_versions_;
    if (parse_scheduler_.OnVersionDone()) {
      Begin(cost);
    }
  }

  double cpu_share_;
  ConfigurationParseScheduler parse_scheduler_;
  TimePoint now_{};
  // Arrival times of the versions that are not in force.
  std::deque<TimePoint> waiting_;
  // The number of these that come into force, or are superseded, with the
  // version being parsed.
  std::size_t covered_ = 0;
  std::size_t remaining_cost_ = 0;
  std::size_t parsed_versions_ = 0;
  nanoseconds longest_age_{0};
  nanoseconds longest_slice_{0};
  nanoseconds busy_time_{0};
};

std::vector<Millis> FrequentArrivals(Millis interval) {
  std::vector<Millis> arrivals;
  for (Millis at{0}; at < Millis(9000); at += interval) {
    arrivals.push_back(at);
  }
  return arrivals;
}

TEST_CASE(
    "With frequent versions, slices on a weak host are short and every "
    "version comes into force in time",
    "[configuration_parse_scheduler]") {
  const Millis interval(GENERATE(60, 150, 300));
  const std::size_t cost = GENERATE(kChangeParseCost, kFullParseCost);
  Host host{ParseSchedulePolicy{}};
  host.Simulate(FrequentArrivals(interval), cost);
  CAPTURE(interval.count(), cost);
  CHECK(host.LongestSlice() <= Millis(10));
  CHECK(host.LongestAge() <= kMaxTimeToForce / 2);
  CHECK(host.ParsedVersions() >= 9);
}

TEST_CASE(
    "Parsing a whole version in one slice would occupy a weak host for about "
    "100 ms",
    "[configuration_parse_scheduler]") {
  ParseSchedulePolicy one_slice;
  one_slice.max_slice_time = Millis(1000);
  Host host{one_slice};
  host.Simulate(FrequentArrivals(Millis(300)), kFullParseCost);
  CHECK(host.LongestSlice() >= Millis(99));
}

TEST_CASE(
    "Versions that are cheap to parse take at most a quarter of the host's "
    "time",
    "[configuration_parse_scheduler]") {
  Host host{ParseSchedulePolicy{}};
  host.Simulate(FrequentArrivals(Millis(60)), kChangeParseCost);
  CHECK(host.BusyTime() <= Millis(9000) / 4);
  CHECK(host.LongestAge() <= Millis(700));
}

TEST_CASE(
    "Without a limit of the replace window, frequent versions would not come "
    "into force in time",
    "[configuration_parse_scheduler]") {
  ParseSchedulePolicy always;
  always.replace_window = Millis(100000);
  Host host{always};
  host.Simulate(FrequentArrivals(Millis(60)), kFullParseCost);
  CHECK(host.LongestAge() > kMaxTimeToForce);
}

TEST_CASE("There are no pauses until the first version has been parsed",
          "[configuration_parse_scheduler]") {
  ConfigurationParseScheduler parse_scheduler(CpuShare{kWeakHostCpuShare},
                                              ParseSchedulePolicy{});
  TimePoint now{};
  REQUIRE(parse_scheduler.OnVersionArrived(now));
  parse_scheduler.OnSliceDone(500000, Millis(6));
  CHECK(parse_scheduler.NextSlice(kFullParseCost, now).pause == nanoseconds(0));
  CHECK_FALSE(parse_scheduler.OnVersionDone());
  REQUIRE(parse_scheduler.OnVersionArrived(now));
  parse_scheduler.OnSliceDone(500000, Millis(6));
  CHECK(parse_scheduler.NextSlice(kChangeParseCost, now).pause >
        nanoseconds(0));
}

TEST_CASE("A suspension in the middle of a slice at most halves the slice size",
          "[configuration_parse_scheduler]") {
  ConfigurationParseScheduler parse_scheduler(CpuShare{kWeakHostCpuShare},
                                              ParseSchedulePolicy{});
  TimePoint now{};
  REQUIRE(parse_scheduler.OnVersionArrived(now));
  const std::size_t before =
      parse_scheduler.NextSlice(kFullParseCost, now).cost;
  parse_scheduler.OnSliceDone(before, std::chrono::seconds(20));
  now += std::chrono::seconds(20);
  const ParseSlice next = parse_scheduler.NextSlice(kFullParseCost, now);
  CHECK(next.pause == nanoseconds(0));
  CHECK(next.cost >= before / 2);
}

TEST_CASE("A pending version is parsed once the one before it is done",
          "[configuration_parse_scheduler]") {
  ConfigurationParseScheduler parse_scheduler(CpuShare{kWeakHostCpuShare},
                                              ParseSchedulePolicy{});
  TimePoint now{};
  REQUIRE(parse_scheduler.OnVersionArrived(now));
  now += Millis(200);
  CHECK(parse_scheduler.OnVersionArrived(now));
  now += Millis(200);
  CHECK_FALSE(parse_scheduler.OnVersionArrived(now));
  CHECK(parse_scheduler.HasPending());
  now += Millis(100);
  CHECK(parse_scheduler.BacklogAge(now) == Millis(500));
  CHECK(parse_scheduler.OnVersionDone());
  CHECK(parse_scheduler.BacklogAge(now) == Millis(100));
  CHECK_FALSE(parse_scheduler.OnVersionDone());
  CHECK_FALSE(parse_scheduler.IsParsing());
}

}  // namespace
}  // namespace harecrank
