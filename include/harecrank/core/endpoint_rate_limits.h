// Tracks the rate limits that endpoints advertise.
//
// An overloaded endpoint advertises, in its responses, how many requests per
// second it accepts from all hosts together. A host sees only the responses to
// its own requests, so hosts exchange the limits and their ages. A limit that
// has not been confirmed for some time is no longer valid: it stays in force,
// but a few requests probe whether it still applies. It is raised step by step
// and then removed once a response advertises no limit, or once no host has
// received anything from the endpoint for kStaleRetention.

#ifndef HARECRANK_CORE_ENDPOINT_RATE_LIMITS_H_
#define HARECRANK_CORE_ENDPOINT_RATE_LIMITS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/start_limit.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Requests per second from all hosts together.
using RequestRate = StrongNumber<struct RequestRateTag, double>;

struct NoRateLimit {};
// The value is not a valid number of requests.
struct UnreadableRateLimit {};
// What a response says about the endpoint's rate limit.
using RateLimitHint =
    std::variant<NoRateLimit, RequestRate, UnreadableRateLimit>;

// Larger values are clamped to this, which exceeds the request rate of any
// fleet.
constexpr double kMaxRequestRate = 1e6;

// Parses an advertised limit: a non-negative decimal number.
RateLimitHint ParseRateLimit(std::string_view text);

// A rate limit as one host reports it to another. Times are sent as ages
// because hosts do not share a clock.
struct RateLimitReport {
  EndpointId endpoint;
  // Unset if the endpoint no longer advertises a limit.
  std::optional<RequestRate> rate;
  // Time since the endpoint's response.
  Millis age{0};
};

// The effect of a response or report on the known limit.
enum class RateLimitChange { kNone, kAdvertised, kChanged, kEnded };

// The rate limits of all endpoints, as known to this host. Not thread-safe.
class EndpointRateLimits {
 public:
  explicit EndpointRateLimits(MonotonicClock clock);

  // Processes the hint in the response to a request that was sent at `sent_at`.
  // A response without a limit ends the limit only if its request was sent
  // after the limit was last advertised, since responses on different
  // connections can overtake each other. An unreadable value confirms the
  // previous limit, if there is one.
  RateLimitChange OnAnswer(const EndpointId& id, const RateLimitHint& hint,
                           TimePoint sent_at);

  // Merges a report from another host if it is newer than the local data.
  RateLimitChange MergeFromPeer(const RateLimitReport& report);

  // Returns the limit on starts at `id`, or nothing if there is none.
  std::optional<StartLimit> StartLimitOf(const EndpointId& id) const;

  // Returns the rate limit of `id` while it is valid.
  std::optional<RequestRate> AdvertisedRate(const EndpointId& id) const;

  // Returns the endpoints that have a start limit.
  std::vector<EndpointId> LimitedEndpoints() const;

  // Removes expired limits and returns their endpoints.
  std::vector<EndpointId> TakeExpired();

  // Returns the reports for other hosts, newest first, at most kMaxReports.
  std::vector<RateLimitReport> Reports() const;

  // Returns the number of endpoints with a valid rate limit.
  std::size_t Count() const;

  // The platform's rule: in any period of kLimitPeriod an endpoint receives at
  // most kBurstFactor times what its rate limit allows for that period, plus
  // kBurstAllowance.
  static constexpr Millis kLimitPeriod{4000};
  static constexpr double kBurstFactor = 1.5;
  static constexpr double kBurstAllowance = 5;
  // Two requests that are placed this far apart never arrive within the same
  // kLimitPeriod.
  static constexpr Millis kWindow =
      kLimitPeriod + EndpointDirectory::kMaxDispatchTime;
  // A limit is valid for the time in which it allows this many requests,
  // clamped to the range below. At one request in ten seconds, three seconds
  // without a response carry no information.
  static constexpr double kValidityInRequests = 3;
  static constexpr Millis kMinValidity{3000};
  static constexpr Millis kMaxValidity{10000};
  // Minimum rate once the limit is no longer valid, so that requests probe
  // whether it still applies.
  static constexpr double kProbesPerSecond = 0.5;
  // Interval in which an expired limit doubles. A response, and its report to
  // all hosts, arrives sooner than that.
  static constexpr Millis kDoublingPeriod{2000};
  // Number of doublings after which the limit is removed.
  static constexpr int kMaxDoublings = 5;
  // How long a limit that is no longer valid stays in force. An endpoint that
  // receives no requests may still be overloaded, and hosts that are
  // partitioned from each other, and have no share of the limit, must not each
  // probe it every few seconds.
  static constexpr Millis kStaleRetention{60000};
  // Maximum delay of a message between hosts. It is added to reported ages, so
  // that a report which circulates between hosts still grows old.
  static constexpr Millis kMaxMessageDelay{100};
  // Reports that fit into a datagram beside the other data that hosts exchange.
  static constexpr std::size_t kMaxReports = 64;
  // Maximum number of endpoints with a limit; further ones are ignored.
  static constexpr std::size_t kMaxEndpoints = 4096;

 private:
  struct Entry {
    RequestRate rate;
    // Since when there has been a start limit.
    TimePoint limited_since{};
    TimePoint advertised_at{};
    // When a response advertised no limit; unset while the limit is advertised.
    std::optional<TimePoint> ended_at;
  };

  // Returns how long an advertised limit is valid.
  static Millis ValidityOf(RequestRate rate);
  // Returns whether the limit was confirmed recently enough to apply as
  // advertised.
  static bool IsValid(const Entry& entry, TimePoint now);
  // Returns the factor by which the limit is raised, or nothing once it has
  // been removed.
  static std::optional<double> Multiplier(const Entry& entry, TimePoint now);
  // Stores the rate that was advertised at `at`.
  RateLimitChange Advertise(const EndpointId& id, RequestRate rate,
                            TimePoint at);

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_RATE_LIMITS_H_
