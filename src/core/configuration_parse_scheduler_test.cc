// Replays a storm of configurations on a weak host, without reading any.

#include "harecrank/core/configuration_parse_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

namespace harecrank {
namespace {

using std::chrono::nanoseconds;

constexpr double kWeakHost = 0.09;
// What a version of 1,300 routes costs on a whole core: read whole, and where
// all but a few routes are known.
constexpr std::size_t kWholeCost = 9000000;
constexpr std::size_t kChangeCost = 900000;
constexpr Millis kAllowed{3000};

// A host that reads versions as the parse_scheduler says, on a clock of its
// own.
class Host {
 public:
  explicit Host(ParseSchedulePolicy policy, double power = kWeakHost)
      : power_(power), parse_scheduler_(CpuShare{power}, policy) {}

  // Plays versions that arrive at `arrivals`, in order.
  void Play(const std::vector<Millis>& arrivals, std::size_t cost) {
    std::size_t next = 0;
    while (next < arrivals.size() || parse_scheduler_.IsParsing()) {
      if (!parse_scheduler_.IsParsing()) {
        now_ = std::max(now_, TimePoint{} + arrivals[next]);
      }
      while (next < arrivals.size() && TimePoint{} + arrivals[next] <= now_) {
        Arrive(TimePoint{} + arrivals[next++], cost);
      }
      DoSlice(next < arrivals.size() ? TimePoint{} + arrivals[next]
                                     : TimePoint::max(),
              cost);
    }
  }

  Millis LongestAge() const {
    return std::chrono::duration_cast<Millis>(longest_age_);
  }
  nanoseconds LongestHold() const { return longest_hold_; }
  nanoseconds Held() const { return held_; }
  std::size_t ReadVersions() const { return read_; }

 private:
  void Arrive(TimePoint at, std::size_t cost) {
    waiting_.push_back(at);
    if (parse_scheduler_.OnVersionArrived(at)) {
      Begin(cost);
    }
  }

  void Begin(std::size_t cost) {
    covers_ = waiting_.size();
    left_ = cost;
  }

  void DoSlice(TimePoint until, std::size_t cost) {
    const ParseSlice slice = parse_scheduler_.NextSlice(left_, now_);
    if (slice.pause > nanoseconds(0) && now_ + slice.pause > until) {
      // Another version comes first, and may take the place of this one.
      now_ = until;
      return;
    }
    const std::size_t done = std::min(slice.cost, left_);
    const nanoseconds held(
        static_cast<std::int64_t>(static_cast<double>(done) / power_));
    now_ += slice.pause + held;
    held_ += held;
    longest_hold_ = std::max(longest_hold_, held);
    left_ -= done;
    parse_scheduler_.OnSliceDone(done, held);
    if (left_ > 0) {
      return;
    }
    for (std::size_t i = 0; i < covers_; ++i) {
      longest_age_ = std::max(longest_age_, now_ - waiting_.front());
      waiting_.pop_front();
    }
    ++read_;
    if (parse_scheduler_.OnVersionDone()) {
      Begin(cost);
    }
  }

  double power_;
  ConfigurationParseScheduler parse_scheduler_;
  TimePoint now_{};
  // When versions came that are not in force, and how many of them the one
  // that is being read covers.
  std::deque<TimePoint> waiting_;
  std::size_t covers_ = 0;
  std::size_t left_ = 0;
  std::size_t read_ = 0;
  nanoseconds longest_age_{0};
  nanoseconds longest_hold_{0};
  nanoseconds held_{0};
};

std::vector<Millis> Storm(Millis gap) {
  std::vector<Millis> arrivals;
  for (Millis at{0}; at < Millis(9000); at += gap) {
    arrivals.push_back(at);
  }
  return arrivals;
}

TEST_CASE(
    "In a storm no slice holds a weak host for long, and no version is "
    "late",
    "[configuration_intake]") {
  const Millis gap(GENERATE(60, 150, 300));
  const std::size_t cost = GENERATE(kChangeCost, kWholeCost);
  Host host{ParseSchedulePolicy{}};
  host.Play(Storm(gap), cost);
  CAPTURE(gap.count(), cost);
  CHECK(host.LongestHold() <= Millis(10));
  CHECK(host.LongestAge() <= kAllowed / 2);
  CHECK(host.ReadVersions() >= 9);
}

TEST_CASE(
    "A whole version at once would hold a weak host for as long as the "
    "tightest pause of a stream",
    "[configuration_intake]") {
  ParseSchedulePolicy at_once;
  at_once.max_slice_time = Millis(1000);
  Host host{at_once};
  host.Play(Storm(Millis(300)), kWholeCost);
  CHECK(host.LongestHold() >= Millis(99));
}

TEST_CASE(
    "Changes that are cheap to read take a quarter of the host's time at "
    "most",
    "[configuration_intake]") {
  Host host{ParseSchedulePolicy{}};
  host.Play(Storm(Millis(60)), kChangeCost);
  CHECK(host.Held() <= Millis(9000) / 4);
  CHECK(host.LongestAge() <= Millis(700));
}

TEST_CASE(
    "Versions that always replace the one that is being read would never "
    "be in force",
    "[configuration_intake]") {
  ParseSchedulePolicy always;
  always.replace_window = Millis(100000);
  Host host{always};
  host.Play(Storm(Millis(60)), kWholeCost);
  CHECK(host.LongestAge() > kAllowed);
}

TEST_CASE("A host that has read nothing yet reads without pauses",
          "[configuration_intake]") {
  ConfigurationParseScheduler parse_scheduler(CpuShare{kWeakHost},
                                              ParseSchedulePolicy{});
  TimePoint now{};
  REQUIRE(parse_scheduler.OnVersionArrived(now));
  parse_scheduler.OnSliceDone(500000, Millis(6));
  CHECK(parse_scheduler.NextSlice(kWholeCost, now).pause == nanoseconds(0));
  CHECK_FALSE(parse_scheduler.OnVersionDone());
  REQUIRE(parse_scheduler.OnVersionArrived(now));
  parse_scheduler.OnSliceDone(500000, Millis(6));
  CHECK(parse_scheduler.NextSlice(kChangeCost, now).pause > nanoseconds(0));
}

TEST_CASE(
    "A host that was suspended in the middle of a slice goes on as before",
    "[configuration_intake]") {
  ConfigurationParseScheduler parse_scheduler(CpuShare{kWeakHost},
                                              ParseSchedulePolicy{});
  TimePoint now{};
  REQUIRE(parse_scheduler.OnVersionArrived(now));
  const std::size_t before = parse_scheduler.NextSlice(kWholeCost, now).cost;
  parse_scheduler.OnSliceDone(before, std::chrono::seconds(20));
  now += std::chrono::seconds(20);
  const ParseSlice next = parse_scheduler.NextSlice(kWholeCost, now);
  CHECK(next.pause == nanoseconds(0));
  CHECK(next.cost >= before / 2);
}

TEST_CASE("A version that waits is read once the one before it is done",
          "[configuration_intake]") {
  ConfigurationParseScheduler parse_scheduler(CpuShare{kWeakHost},
                                              ParseSchedulePolicy{});
  TimePoint now{};
  REQUIRE(parse_scheduler.OnVersionArrived(now));
  now += Millis(200);
  CHECK(parse_scheduler.OnVersionArrived(now));
  now += Millis(200);
  CHECK_FALSE(parse_scheduler.OnVersionArrived(now));
  CHECK(parse_scheduler.HasPending());
  now += Millis(100);
  CHECK(parse_scheduler.OldestPendingAge(now) == Millis(500));
  CHECK(parse_scheduler.OnVersionDone());
  CHECK(parse_scheduler.OldestPendingAge(now) == Millis(100));
  CHECK_FALSE(parse_scheduler.OnVersionDone());
  CHECK_FALSE(parse_scheduler.IsParsing());
}

}  // namespace
}  // namespace harecrank
