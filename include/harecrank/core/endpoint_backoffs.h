// Tracks which endpoints have asked this host to back off, and when and how
// fast it may resume.
//
// An endpoint that rejects requests has no work in progress and looks idle, so
// it would be chosen again and again. Until the end of the back-off that the
// endpoint asks for, this host sends it no requests. Hosts that were rejected
// at about the same time would all resume at once, so after a back-off the
// starts of all hosts together are limited and ramp up.

#ifndef HARECRANK_CORE_ENDPOINT_BACKOFFS_H_
#define HARECRANK_CORE_ENDPOINT_BACKOFFS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_response.h"
#include "harecrank/core/start_limit.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Keeps the back-offs that endpoints have asked this host for, and limits the
// requests that this host starts at these endpoints. Not thread-safe.
class EndpointBackoffs {
 public:
  explicit EndpointBackoffs(MonotonicClock clock);

  // Processes the back-off hint in a response of `incarnation`. An active
  // back-off of the same incarnation is never shortened. Returns whether a
  // back-off has begun or been extended.
  bool OnAnswer(const EndpointId& id,
                const std::optional<EndpointIncarnation>& incarnation,
                const BackoffHint& hint);

  // Records that the endpoint runs as `incarnation`, and removes a back-off
  // that another incarnation has asked for.
  void OnIncarnation(const EndpointId& id,
                     const std::optional<EndpointIncarnation>& incarnation);

  // Returns the limit on this host's starts at `id`, or nothing if there is
  // none. During the back-off no request may start. During the ramp-up that
  // follows, the limit applies to all hosts together.
  std::optional<StartLimit> StartLimitOf(const EndpointId& id) const;

  // Returns the remaining back-off of `id`, or nothing if there is none.
  std::optional<Millis> RemainingBackoff(const EndpointId& id) const;

  // Returns the endpoints that are backed off or ramping up.
  std::vector<EndpointId> LimitedEndpoints() const;

  // Removes the back-offs whose ramp-up has ended and returns their endpoints.
  std::vector<EndpointId> TakeEnded();

  // Returns the number of endpoints that are backed off.
  std::size_t Count() const;

  // Back-off for a hint that cannot be parsed: the endpoint has asked for a
  // back-off of unknown length.
  static constexpr Millis kUnreadableBackoff{1000};
  // Maximum number of requests that all hosts together start within
  // kRampUpWindow at the end of a back-off: about as many as one engine starts
  // in normal operation.
  static constexpr double kMaxStartsAfterBackoff = 16;
  static constexpr Millis kRampUpWindow{1000};
  // Interval in which the limit doubles after a back-off. It is longer than a
  // response takes to arrive.
  static constexpr Millis kDoublingPeriod{500};
  // Number of doublings after which the limit is removed.
  static constexpr int kMaxDoublings = 4;

 private:
  // The latest back-off that one endpoint has asked for.
  struct Entry {
    std::optional<EndpointIncarnation> incarnation;
    // End of the back-off and start of the ramp-up.
    TimePoint until{};
  };

  // Returns whether both the back-off and the ramp-up have ended.
  static bool HasEnded(const Entry& entry, TimePoint now);

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_BACKOFFS_H_
