// Which endpoints have named a limit to what they take from all hosts together.
//
// The load that it answers: an endpoint in need names, in its answers, how many
// requests a second it takes from all hosts. Each host hears that in the
// answers to its own requests alone, so hosts tell each other what they have
// heard, and how long ago. What is not named again for a while no longer holds
// as it was: a few requests find out, and the bound is lifted step by step once
// an answer names none, or once nobody has heard from the endpoint for long.

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

// Requests a second, from all hosts together.
using RequestRate = StrongNumber<struct RequestRateTag, double>;

// What an answer says of its endpoint's limit.
struct NoRateLimit {};
// It names one that is no number of requests.
struct UnreadableRateLimit {};
using RateLimitHint =
    std::variant<NoRateLimit, RequestRate, UnreadableRateLimit>;

// More is taken for this much: no bound on any fleet's requests.
constexpr double kMaxRequestRate = 1e6;

// Reads a limit as an endpoint names it: a decimal number, zero or more.
RateLimitHint ParseRateLimit(std::string_view text);

// What one host tells another of an endpoint's limit. Times are told as ages,
// since no two hosts share a clock.
struct RateLimitReport {
  EndpointId endpoint;
  // Unset: the endpoint has ceased to name one.
  std::optional<RequestRate> rate;
  // Since the endpoint's answer.
  Millis age{0};
};

// What news of an endpoint changed.
enum class RateLimitChange { kNone, kAdvertised, kChanged, kEnded };

// Not thread-safe.
class EndpointRateLimits {
 public:
  explicit EndpointRateLimits(MonotonicClock clock);

  // Takes what the answer to a request says that was sent at `sent_at`. One
  // that names no limit ends one only if it was sent after the limit was last
  // named: answers on different connections overtake each other. One that
  // cannot be read stands for the limit that was known before, if there was
  // one.
  RateLimitChange OnAnswer(const EndpointId& id, const RateLimitHint& word,
                           TimePoint sent_at);

  // Takes what another host tells, if it is newer than what is known here.
  RateLimitChange MergeFromPeer(const RateLimitReport& report);

  // Returns the bound on what begins at `id`, or nothing if there is none.
  std::optional<StartLimit> StartLimitOf(const EndpointId& id) const;

  // Returns the limit that `id` names, as far as that is known.
  std::optional<RequestRate> AdvertisedRate(const EndpointId& id) const;

  // Returns those that have a bound.
  std::vector<EndpointId> LimitedEndpoints() const;

  // Drops the bounds that are lifted by now, and returns whose they were.
  std::vector<EndpointId> TakeExpired();

  // Returns what other hosts should hear, the newest first, kMaxReports at
  // most.
  std::vector<RateLimitReport> Reports() const;

  // Returns how many name a limit, as far as that is known.
  std::size_t Count() const;

  // The platform's bound: in any kLimitPeriod an endpoint gets at most what its
  // limit allows in that time, times kBurstFactor, and kBurstAllowance more.
  static constexpr Millis kLimitPeriod{4000};
  static constexpr double kBurstFactor = 1.5;
  static constexpr double kBurstAllowance = 5;
  // Two requests that are decided on this far apart never arrive within
  // kLimitPeriod.
  static constexpr Millis kWindow =
      kLimitPeriod + EndpointDirectory::kMaxDispatchTime;
  // A limit holds as named for as long as so many requests take by it, within
  // these bounds: with one in ten seconds, three seconds of silence say
  // nothing.
  static constexpr double kValidityInRequests = 3;
  static constexpr Millis kMinValidity{3000};
  static constexpr Millis kMaxValidity{10000};
  // After that, requests a second that find out whether the limit still holds,
  // where it allows fewer.
  static constexpr double kProbesPerSecond = 0.5;
  // The bound doubles in each of these: an answer, and the word of it to all
  // hosts, is there sooner.
  static constexpr Millis kDoublingPeriod{2000};
  // How often it doubles before it is lifted.
  static constexpr int kMaxDoublings = 5;
  // How long a limit that nobody hears of any more bounds what is begun. An
  // endpoint that nothing was sent to may still be in need; and hosts that are
  // cut off from each other, and have no part of the limit, must not each try
  // the endpoint every few seconds.
  static constexpr Millis kStaleRetention{60000};
  // How long a word between hosts may be on its way. Told ages count for that
  // much more, so that a word which goes round and round grows old.
  static constexpr Millis kMaxMessageDelay{100};
  // Reports that fit into a datagram beside what else hosts tell.
  static constexpr std::size_t kMaxReports = 64;
  // Endpoints remembered at once; what hosts tell beyond that is dropped.
  static constexpr std::size_t kMaxEndpoints = 4096;

 private:
  struct Entry {
    RequestRate rate;
    // Since when it has had a bound.
    TimePoint since{};
    TimePoint named_at{};
    // When an answer named none any more; unset while its limit holds.
    std::optional<TimePoint> ended_at;
  };

  static Millis FreshFor(RequestRate rate);
  // Whether the limit holds as it was named.
  static bool IsFresh(const Entry& entry, TimePoint now);
  // Returns by what factor the bound is raised; nothing once it is lifted.
  static std::optional<double> Raise(const Entry& entry, TimePoint now);
  RateLimitChange Name(const EndpointId& id, RequestRate rate, TimePoint at);

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_RATE_LIMITS_H_
