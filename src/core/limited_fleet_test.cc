// Simulates hosts with unlimited work and one endpoint that names a rate limit
// in its responses. Each host learns of the limit from the responses to its own
// requests and, while the links work, from reports of other hosts.

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
#include "harecrank/core/fleet_size.h"
#include "harecrank/core/start_quotas.h"

namespace harecrank {
namespace {

const EndpointId kEndpoint{"e0"};
constexpr Millis kStep{10};
// Time after which a host that has heard of a limit must keep to it.
constexpr Millis kAdjustTime{500};

struct FleetOptions {
  int hosts = 3;
  bool links_hold = true;
  // Returns the limit that the endpoint names `time` after the start, or
  // nothing.
  std::function<std::optional<RequestRate>(Millis time)> limit_at;
  std::uint64_t seed = 1;
  // Whether hosts are killed again and again and start anew at once.
  bool restarts = false;
};

// A request that arrives at the endpoint.
struct Arrival {
  TimePoint at{};
  // When its host's process first heard of a limit: from the endpoint itself,
  // or from anybody if the process is not the host's first one.
  std::optional<TimePoint> first_heard_at;
};

class LimitedFleet {
 public:
  explicit LimitedFleet(FleetOptions options)
      : options_(std::move(options)), random_(options_.seed) {
    for (int i = 0; i < options_.hosts; ++i) {
      hosts_.push_back(MakeHost(i));
    }
  }

  void Run(Millis time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      ReceiveResponses();
      if (options_.restarts && now_ >= next_restart_) {
        RestartAny();
      }
      for (const auto& host : hosts_) {
        // Each host has nothing to send in a quarter of the steps.
        if (random_() % 4 != 0) {
          TrySend(host);
        }
      }
      if (options_.links_hold && now_ - last_exchange_ >= kReportInterval) {
        ExchangeReports();
      }
      now_ += kStep;
    }
  }

  const std::vector<Arrival>& Arrivals() const { return arrivals_; }
  TimePoint Started() const { return started_; }

  // Returns the largest number of arrivals within
  // EndpointRateLimits::kLimitPeriod, from hosts that must keep to the limit.
  std::size_t MaxArrivalsUnderLimit(Millis from) const {
    std::vector<TimePoint> arrivals;
    for (const Arrival& arrival : arrivals_) {
      if (arrival.first_heard_at.has_value() &&
          arrival.at - *arrival.first_heard_at >= kAdjustTime &&
          arrival.at >= started_ + from) {
        arrivals.push_back(arrival.at);
      }
    }
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
      while (arrivals[last] - arrivals[first] >=
             EndpointRateLimits::kLimitPeriod) {
        ++first;
      }
      largest = std::max(largest, last - first + 1);
    }
    return largest;
  }

  std::size_t ArrivedWithin(Millis from, Millis to) const {
    return static_cast<std::size_t>(std::count_if(
        arrivals_.begin(), arrivals_.end(), [&](const Arrival& arrival) {
          const auto time = arrival.at - started_;
          return time >= from && time < to;
        }));
  }

 private:
  static constexpr Millis kReportInterval{300};
  // Longest time in which each host is restarted once on average.
  static constexpr Millis kMaxRestartInterval{5000};

  struct Host {
    Host(HostAddress host, int fleet, const MonotonicClock& clock)
        : address(std::move(host)),
          limits(clock),
          cold_endpoints(clock),
          quotas(
              ColdLimit{}, &cold_endpoints, &limits, HostBackoffs{},
              [this, fleet] {
                return size.has_value() ? size->MaxHosts()
                                        : std::make_optional(fleet);
              },
              clock),
          starts(clock) {}

    HostAddress address;
    EndpointRateLimits limits;
    ColdEndpoints cold_endpoints;
    StartQuotas quotas;
    StartHistory starts;
    // Set once the host was restarted; before, it knows the size of the fleet.
    std::optional<FleetSize> size;
    std::optional<TimePoint> first_heard_at;
  };

  struct Response {
    TimePoint at{};
    std::weak_ptr<Host> host;
    std::optional<RequestRate> rate;
    TimePoint sent_at{};
    bool operator<(const Response& other) const { return at > other.at; }
  };

  std::shared_ptr<Host> MakeHost(int number) {
    return std::make_shared<Host>(HostAddress{"h" + std::to_string(number)},
                                  options_.hosts, clock_);
  }

  void RestartAny() {
    const auto number = random_() % hosts_.size();
    auto host = MakeHost(static_cast<int>(number));
    host->size.emplace(clock_);
    host->size->OnReported(options_.hosts);
    hosts_[number] = std::move(host);
    const auto longest =
        kMaxRestartInterval.count() / static_cast<std::int64_t>(hosts_.size());
    next_restart_ =
        now_ + Millis(static_cast<std::int64_t>(random_()) % (longest + 1));
  }

  void TrySend(const std::shared_ptr<Host>& host) {
    if (!host->quotas.MayStart(host->starts, host->address, kEndpoint,
                               ServiceProfile{})) {
      return;
    }
    Placement placement;
    placement.endpoint.id = kEndpoint;
    host->quotas.Add(placement, ServiceProfile{}, host->address, &host->starts);
    const auto travel_time = Millis(static_cast<std::int64_t>(random_() % 100));
    const auto service_time =
        Millis(100 + static_cast<std::int64_t>(random_() % 400));
    arrivals_.push_back(Arrival{now_ + travel_time, host->first_heard_at});
    const TimePoint responded_at = now_ + travel_time + service_time;
    responses_.push(Response{
        responded_at, host,
        options_.limit_at(
            std::chrono::duration_cast<Millis>(responded_at - started_)),
        now_});
  }

  void ReceiveResponses() {
    while (!responses_.empty() && responses_.top().at <= now_) {
      const Response response = responses_.top();
      responses_.pop();
      RateLimitHint hint = NoRateLimit{};
      const auto host = response.host.lock();
      if (host == nullptr) {
        continue;
      }
      if (response.rate.has_value()) {
        hint = *response.rate;
        host->first_heard_at = host->first_heard_at.value_or(now_);
      }
      host->limits.OnAnswer(kEndpoint, hint, response.sent_at);
    }
  }

  // The first host is the planner. It collects the reports of all hosts and
  // sends them back.
  void ExchangeReports() {
    last_exchange_ = now_;
    for (const auto& host : hosts_) {
      for (const RateLimitReport& report : host->limits.Reports()) {
        hosts_.front()->limits.MergeFromPeer(report);
      }
    }
    for (const auto& host : hosts_) {
      for (const RateLimitReport& report : hosts_.front()->limits.Reports()) {
        host->limits.MergeFromPeer(report);
        if (host->size.has_value()) {
          host->first_heard_at = host->first_heard_at.value_or(now_);
        }
      }
    }
  }

  FleetOptions options_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint started_ = now_;
  TimePoint last_exchange_{};
  MonotonicClock clock_ = [this] { return now_; };
  std::mt19937_64 random_;
  // A restarted host forgets everything, and its open requests are lost.
  std::vector<std::shared_ptr<Host>> hosts_;
  TimePoint next_restart_{};
  std::priority_queue<Response> responses_;
  std::vector<Arrival> arrivals_;
};

std::size_t Allowed(double rate) {
  return static_cast<std::size_t>(EndpointRateLimits::kBurstFactor * rate * 4 +
                                  EndpointRateLimits::kBurstAllowance);
}

TEST_CASE("All hosts together keep to a limit, with and without links") {
  const int hosts = GENERATE(1, 2, 3, 11, 27, 100);
  const double rate = GENERATE(0.0, 0.05, 0.4, 1.6, 7.0, 40.0);
  const bool links_hold = GENERATE(true, false);
  CAPTURE(hosts, rate, links_hold);
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    FleetOptions options;
    options.hosts = hosts;
    options.links_hold = links_hold;
    options.seed = seed;
    options.limit_at = [rate](Millis) { return RequestRate{rate}; };
    LimitedFleet fleet(options);
    fleet.Run(Millis(40000));
    CAPTURE(seed);
    CHECK(fleet.MaxArrivalsUnderLimit(Millis(0)) <= Allowed(rate));
    // If all hosts know the limit, the long-term rate does not exceed it.
    if (links_hold && rate > EndpointRateLimits::kProbesPerSecond) {
      const auto arrived = fleet.ArrivedWithin(Millis(5000), Millis(40000));
      CHECK(static_cast<double>(arrived) <= 1.1 * rate * 35 + 5);
    }
  }
}

TEST_CASE("Hosts that are killed in series keep to a named limit together") {
  const int hosts = GENERATE(3, 11, 27, 100);
  const double rate = GENERATE(0.4, 1.6, 7.0, 40.0);
  CAPTURE(hosts, rate);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FleetOptions options;
    options.hosts = hosts;
    options.seed = seed;
    options.restarts = true;
    options.limit_at = [rate](Millis) { return RequestRate{rate}; };
    LimitedFleet fleet(options);
    fleet.Run(Millis(40000));
    CAPTURE(seed);
    CHECK(fleet.MaxArrivalsUnderLimit(Millis(0)) <= Allowed(rate));
  }
}

TEST_CASE("Hosts keep to the limit that was named last") {
  FleetOptions options;
  options.hosts = GENERATE(3, 24);
  options.limit_at = [](Millis time) {
    return RequestRate{time < Millis(10000) ? 20.0 : 1.5};
  };
  LimitedFleet fleet(options);
  fleet.Run(Millis(30000));
  CHECK(fleet.ArrivedWithin(Millis(4000), Millis(10000)) > 30);
  // Requests that were in flight when the limit changed have arrived by then.
  CHECK(fleet.MaxArrivalsUnderLimit(Millis(11000)) <= Allowed(1.5));
}

TEST_CASE("Work returns gradually after a limit ends") {
  FleetOptions options;
  options.hosts = GENERATE(3, 24);
  options.limit_at = [](Millis time) {
    return time < Millis(10000) ? std::make_optional(RequestRate{2})
                                : std::nullopt;
  };
  LimitedFleet fleet(options);
  fleet.Run(Millis(30000));
  CHECK(fleet.ArrivedWithin(Millis(10000), Millis(11000)) <= 10);
  // Without a limit each host sends in three of four steps.
  CHECK(fleet.ArrivedWithin(Millis(28000), Millis(29000)) > 100);
}

TEST_CASE(
    "Hosts keep to a limit that is named intermittently while it is "
    "named") {
  FleetOptions options;
  options.hosts = 3;
  options.limit_at = [](Millis time) {
    return time.count() / 6000 % 2 == 0 ? std::make_optional(RequestRate{1.5})
                                        : std::nullopt;
  };
  LimitedFleet fleet(options);
  fleet.Run(Millis(60000));
  for (int from = 0; from < 60000; from += 12000) {
    // In each period in which the limit is named, after the hosts know of
    // it.
    CHECK(fleet.ArrivedWithin(Millis(from + 2000), Millis(from + 6000)) <=
          Allowed(1.5));
  }
}

}  // namespace
}  // namespace harecrank
