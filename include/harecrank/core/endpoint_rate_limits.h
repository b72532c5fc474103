// Tracks the rate limits that endpoints advertise.
//
// An overloaded endpoint advertises, in its responses, how many requests per
// second it accepts from all hosts together. A host sees only the responses to
// its own requests, so hosts exchange the limits and their ages. A limit that
// no response has confirmed for some time is no longer valid: it still limits
// the hosts, but admits a few requests that probe whether it still applies. The
// limit is raised step by step and then removed once a response advertises no
// limit, or kStaleRetention after the limit ceased to be valid.

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
// The advertised value is not a valid number of requests.
struct UnreadableRateLimit {};
// What a response says about the endpoint's rate limit.
using RateLimitHint =
    std::variant<NoRateLimit, RequestRate, UnreadableRateLimit>;

// Largest rate limit; larger advertised values are clamped to it. It exceeds
// the request rate of any fleet.
constexpr double kMaxRequestRate = 1e6;

// Parses an advertised rate limit: a non-negative decimal number of requests
// per second.
RateLimitHint ParseRateLimit(std::string_view text);

// A rate limit as one host reports it to another. Times are sent as ages
// because hosts do not share a clock.
struct RateLimitReport {
  EndpointId endpoint;
  // Unset if the endpoint no longer advertises a limit.
  std::optional<RequestRate> rate;
  // Time since the endpoint's response that advertised the limit, or that no
  // longer did.
  Millis age{0};
};

// How a response or report changed the known rate limit of an endpoint.
enum class RateLimitChange { kNone, kAdvertised, kChanged, kEnded };

// Keeps the rate limits of all endpoints, as known to this host, and derives
// the start limits from them. Not thread-safe.
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

  // Merges a report from another host if it is newer than the local data and
  // still valid.
  RateLimitChange MergeFromPeer(const RateLimitReport& report);

  // Returns the limit on the requests that all hosts together start at `id`, or
  // nothing if there is none.
  std::optional<StartLimit> StartLimitOf(const EndpointId& id) const;

  // Returns the rate limit of `id`, or nothing if there is no valid one.
  std::optional<RequestRate> AdvertisedRate(const EndpointId& id) const;

  // Returns the endpoints that have a start limit.
  std::vector<EndpointId> LimitedEndpoints() const;

  // Removes expired limits and returns their endpoints.
  std::vector<EndpointId> TakeExpired();

  // Returns reports to send to other hosts, newest first, at most kMaxReports.
  std::vector<RateLimitReport> Reports() const;

  // Returns the number of endpoints with a valid rate limit.
  std::size_t Count() const;

  // The platform's rule: in any period of kLimitPeriod an endpoint receives at
  // most kBurstFactor times what its rate limit allows for that period, plus
  // kBurstAllowance.
  static constexpr Millis kLimitPeriod{4000};
  static constexpr double kBurstFactor = 1.5;
  static constexpr double kBurstAllowance = 5;
  // Window in which starts are counted: two requests that are placed this far
  // apart never arrive within the same kLimitPeriod.
  static constexpr Millis kWindow =
      kLimitPeriod + EndpointDirectory::kMaxDispatchTime;
  // A limit is valid for the time in which it allows this many requests,
  // clamped to the range from kMinValidity to kMaxValidity. An endpoint that
  // accepts one request in ten seconds may send no response within three
  // seconds, which does not show that its limit has changed.
  static constexpr double kValidityInRequests = 3;
  static constexpr Millis kMinValidity{3000};
  static constexpr Millis kMaxValidity{10000};
  // Minimum rate, in requests per second of all hosts together, once the limit
  // is no longer valid, so that requests probe whether it still applies.
  static constexpr double kProbesPerSecond = 0.5;
  // Interval in which a limit doubles once it has ended or its kStaleRetention
  // has passed. It is longer than a response, and its report to all hosts,
  // takes to arrive.
  static constexpr Millis kDoublingPeriod{2000};
  // Number of doublings after which the limit is removed.
  static constexpr int kMaxDoublings = 5;
  // How long a limit that is no longer valid still limits the hosts before it
  // is raised. An endpoint that receives no requests may still be overloaded,
  // and hosts that are partitioned from each other, and therefore cannot share
  // the limit, must not each probe the endpoint every few seconds.
  static constexpr Millis kStaleRetention{60000};
  // Maximum delay of a message between hosts. It is added to reported ages, so
  // that a report which circulates between hosts still grows old.
  static constexpr Millis kMaxMessageDelay{100};
  // Maximum number of reports that fit into a datagram beside the other data
  // that hosts exchange.
  static constexpr std::size_t kMaxReports = 64;
  // Maximum number of endpoints with a rate limit; limits of further endpoints
  // are ignored.
  static constexpr std::size_t kMaxEndpoints = 4096;

 private:
  // The rate limit of one endpoint.
  struct Entry {
    RequestRate rate;
    // Since when the endpoint has had a start limit without interruption.
    TimePoint limited_since{};
    // Time of the latest response that advertised the limit.
    TimePoint advertised_at{};
    // When a response advertised no limit; unset while the limit is advertised.
    std::optional<TimePoint> ended_at;
  };

  // Returns how long an advertised limit is valid.
  static Millis ValidityOf(RequestRate rate);
  // Returns whether the limit was confirmed recently enough to apply as
  // advertised.
  static bool IsValid(const Entry& entry, TimePoint now);
  // Returns the factor by which the limit is raised, 1 while it is valid, or
  // nothing once the limit no longer applies.
  static std::optional<double> Multiplier(const Entry& entry, TimePoint now);
  // Stores the rate that was advertised at `at`.
  RateLimitChange Advertise(const EndpointId& id, RequestRate rate,
                            TimePoint at);

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_RATE_LIMITS_H_
