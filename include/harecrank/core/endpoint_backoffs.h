// Which endpoints have asked this host for rest, and when it may return.
//
// The load that it answers: an endpoint that turns requests away has nothing
// under way and looks idle, so that it is chosen again and again. One that asks
// for rest wants nothing from this host for so long. At the end of a rest all
// that waited would come at once, from each host that was turned away at about
// the same time: so hosts return one by one, and in full only after a while.

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

// Not thread-safe.
class EndpointBackoffs {
 public:
  explicit EndpointBackoffs(MonotonicClock clock);

  // Takes what an answer of `incarnation` says. An earlier and longer rest
  // holds on. Returns whether a rest has begun, or become longer.
  bool OnAnswer(const EndpointId& id,
                const std::optional<EndpointIncarnation>& incarnation,
                const BackoffHint& word);

  // The endpoint runs in `incarnation`: a rest of another one is over.
  void OnIncarnation(const EndpointId& id,
                     const std::optional<EndpointIncarnation>& incarnation);

  // Returns the bound on what this host begins at `id`, or nothing if there is
  // none. The bound of the return is one on all hosts together.
  std::optional<StartLimit> StartLimitOf(const EndpointId& id) const;

  // Returns for how much longer `id` rests; nothing if it does not.
  std::optional<Millis> RemainingBackoff(const EndpointId& id) const;

  // Returns those that have a bound.
  std::vector<EndpointId> LimitedEndpoints() const;

  // Drops the bounds that are over by now, and returns whose they were.
  std::vector<EndpointId> TakeEnded();

  // Returns how many rest.
  std::size_t Count() const;

  // What a rest counts as that cannot be read: the endpoint wants some.
  static constexpr Millis kUnreadableBackoff{1000};
  // What all hosts together may begin in kRampUpWindow when a rest ends: about
  // what one engine begins in ordinary running.
  static constexpr double kMaxStartsAfterBackoff = 16;
  static constexpr Millis kRampUpWindow{1000};
  // That doubles in each of these: an answer is there sooner.
  static constexpr Millis kDoublingPeriod{500};
  // How often it doubles before the bound is lifted.
  static constexpr int kMaxDoublings = 4;

 private:
  struct Entry {
    std::optional<EndpointIncarnation> incarnation;
    TimePoint until{};
  };

  // Returns whether the bound is lifted.
  static bool HasReturned(const Entry& entry, TimePoint now);

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_BACKOFFS_H_
