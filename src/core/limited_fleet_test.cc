// Hosts with work without end before one endpoint that names a limit in its
// answers. What each host knows comes from its own answers and, where links
// hold, from words between hosts.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "harecrank/core/endpoint_rate_limits.h"
#include "harecrank/core/start_quotas.h"

namespace harecrank {
namespace {

const EndpointId kEndpoint{"e0"};
constexpr Millis kStep{10};
// From the endpoint's bound: hosts that were told so long ago are bound.
constexpr Millis kTold{500};

struct FleetOptions {
  int hosts = 3;
  bool links_hold = true;
  // Returns what the endpoint names, `time` after the start; nothing if none.
  std::function<std::optional<RequestRate>(Millis time)> named;
  std::uint64_t seed = 1;
};

// One arrival at the endpoint.
struct Arrival {
  TimePoint at{};
  // Since when its host has been told a limit by the endpoint itself.
  std::optional<TimePoint> told;
};

class LimitedFleet {
 public:
  explicit LimitedFleet(FleetOptions options)
      : options_(std::move(options)), random_(options_.seed) {
    for (int i = 0; i < options_.hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(
          HostAddress{"h" + std::to_string(i)}, options_.hosts, clock_));
    }
  }

  void Play(Millis time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      TakeAnswers();
      for (const auto& host : hosts_) {
        // Some of them have nothing to send at times.
        if (random_() % 4 != 0) {
          TrySend(host.get());
        }
      }
      if (options_.links_hold && now_ - told_ >= kWordInterval) {
        TellEachOther();
      }
      now_ += kStep;
    }
  }

  const std::vector<Arrival>& Arrivals() const { return arrivals_; }
  TimePoint Started() const { return started_; }

  // Returns the most arrivals in any window of the platform's bound that counts
  // from hosts that are bound.
  std::size_t MostBound(Millis from) const {
    std::vector<TimePoint> bound;
    for (const Arrival& arrival : arrivals_) {
      if (arrival.told.has_value() && arrival.at - *arrival.told >= kTold &&
          arrival.at >= started_ + from) {
        bound.push_back(arrival.at);
      }
    }
    std::sort(bound.begin(), bound.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < bound.size(); ++last) {
      while (bound[last] - bound[first] >= EndpointRateLimits::kLimitPeriod) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  std::size_t ArrivedWithin(Millis from, Millis to) const {
    return static_cast<std::size_t>(std::count_if(
        arrivals_.begin(), arrivals_.end(), [&](const Arrival& arrival) {
          const auto time = arrival.at - started_;
          return time >= from && time < to;
        }));
  }

 private:
  static constexpr Millis kWordInterval{300};

  struct Host {
    Host(HostAddress host, int fleet, const MonotonicClock& clock)
        : address(std::move(host)),
          limits(clock),
          cold(clock),
          shares(
              ColdLimit{}, &cold, &limits, HostBackoffs{},
              [fleet] { return fleet; }, clock),
          starts(clock) {}

    HostAddress address;
    EndpointRateLimits limits;
    ColdEndpoints cold;
    StartQuotas shares;
    StartHistory starts;
    std::optional<TimePoint> told;
  };

  struct Answer {
    TimePoint at{};
    Host* host = nullptr;
    std::optional<RequestRate> rate;
    TimePoint sent_at{};
    bool operator<(const Answer& other) const { return at > other.at; }
  };

  void TrySend(Host* host) {
    if (!host->shares.MayStart(host->starts, host->address, kEndpoint,
                               ServiceProfile{})) {
      return;
    }
    Placement placement;
    placement.endpoint.id = kEndpoint;
    host->shares.Add(placement, ServiceProfile{}, host->address, &host->starts);
    const auto way = Millis(static_cast<std::int64_t>(random_() % 100));
    const auto work = Millis(100 + static_cast<std::int64_t>(random_() % 400));
    arrivals_.push_back(Arrival{now_ + way, host->told});
    const TimePoint answered = now_ + way + work;
    answers_.push(Answer{
        answered, host,
        options_.named(std::chrono::duration_cast<Millis>(answered - started_)),
        now_});
  }

  void TakeAnswers() {
    while (!answers_.empty() && answers_.top().at <= now_) {
      const Answer answer = answers_.top();
      answers_.pop();
      RateLimitHint word = NoRateLimit{};
      if (answer.rate.has_value()) {
        word = *answer.rate;
        answer.host->told = answer.host->told.value_or(now_);
      }
      answer.host->limits.OnAnswer(kEndpoint, word, answer.sent_at);
    }
  }

  // The first one plans: it hears from all, and answers.
  void TellEachOther() {
    told_ = now_;
    for (const auto& host : hosts_) {
      for (const RateLimitReport& report : host->limits.Reports()) {
        hosts_.front()->limits.MergeFromPeer(report);
      }
    }
    for (const auto& host : hosts_) {
      for (const RateLimitReport& report : hosts_.front()->limits.Reports()) {
        host->limits.MergeFromPeer(report);
      }
    }
  }

  FleetOptions options_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint started_ = now_;
  TimePoint told_{};
  MonotonicClock clock_ = [this] { return now_; };
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::priority_queue<Answer> answers_;
  std::vector<Arrival> arrivals_;
};

std::size_t Allowed(double rate) {
  return static_cast<std::size_t>(EndpointRateLimits::kBurstFactor * rate * 4 +
                                  EndpointRateLimits::kBurstAllowance);
}

TEST_CASE("Hosts together keep to a limit, with links and without") {
  const int hosts = GENERATE(1, 2, 3, 11, 27, 100);
  const double rate = GENERATE(0.0, 0.05, 0.4, 1.6, 7.0, 40.0);
  const bool links_hold = GENERATE(true, false);
  CAPTURE(hosts, rate, links_hold);
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    FleetOptions options;
    options.hosts = hosts;
    options.links_hold = links_hold;
    options.seed = seed;
    options.named = [rate](Millis) { return RequestRate{rate}; };
    LimitedFleet fleet(options);
    fleet.Play(Millis(40000));
    CAPTURE(seed);
    CHECK(fleet.MostBound(Millis(0)) <= Allowed(rate));
    // In the long run, where all hosts know of it, no more than it names.
    if (links_hold && rate > EndpointRateLimits::kProbesPerSecond) {
      const auto arrived = fleet.ArrivedWithin(Millis(5000), Millis(40000));
      CHECK(static_cast<double>(arrived) <= 1.1 * rate * 35 + 5);
    }
  }
}

TEST_CASE("A limit that changes is kept to as it is named last") {
  FleetOptions options;
  options.hosts = GENERATE(3, 24);
  options.named = [](Millis time) {
    return RequestRate{time < Millis(10000) ? 20.0 : 1.5};
  };
  LimitedFleet fleet(options);
  fleet.Play(Millis(30000));
  CHECK(fleet.ArrivedWithin(Millis(4000), Millis(10000)) > 30);
  // Those that hosts were about to send when it changed have passed by then.
  CHECK(fleet.MostBound(Millis(11000)) <= Allowed(1.5));
}

TEST_CASE("A limit that ends lets work return without a wave") {
  FleetOptions options;
  options.hosts = GENERATE(3, 24);
  options.named = [](Millis time) {
    return time < Millis(10000) ? std::make_optional(RequestRate{2})
                                : std::nullopt;
  };
  LimitedFleet fleet(options);
  fleet.Play(Millis(30000));
  CHECK(fleet.ArrivedWithin(Millis(10000), Millis(11000)) <= 10);
  // Free again, each host sends three times in four steps.
  CHECK(fleet.ArrivedWithin(Millis(28000), Millis(29000)) > 100);
}

TEST_CASE("A limit that is named on and off is kept to while it is named") {
  FleetOptions options;
  options.hosts = 3;
  options.named = [](Millis time) {
    return time.count() / 6000 % 2 == 0 ? std::make_optional(RequestRate{1.5})
                                        : std::nullopt;
  };
  LimitedFleet fleet(options);
  fleet.Play(Millis(60000));
  for (int from = 0; from < 60000; from += 12000) {
    // Within a span that it is named in, once that is known.
    CHECK(fleet.ArrivedWithin(Millis(from + 2000), Millis(from + 6000)) <=
          Allowed(1.5));
  }
}

}  // namespace
}  // namespace harecrank
