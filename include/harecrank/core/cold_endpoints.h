// Which endpoints are cold: they have just started, or have turned cold while
// they served, and take few requests a second.

#ifndef HARECRANK_CORE_COLD_ENDPOINTS_H_
#define HARECRANK_CORE_COLD_ENDPOINTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What news of an endpoint changed.
enum class ColdChange { kNone, kTurnedCold, kTurnedWarm };

// Knows which endpoints are cold, by this host's clock. Not thread-safe.
class ColdEndpoints {
 public:
  explicit ColdEndpoints(MonotonicClock clock);

  // Takes an entry. What it tells of cold counts from now, since it cannot have
  // been written later: an endpoint that was heard of late counts as cold for
  // a little too long and never for too short. An entry that was taken before,
  // or an older one, changes nothing. Where the entry does not tell, a new
  // incarnation counts as cold for `after_start`.
  ColdChange OnRecord(const EndpointRecord& record, Millis after_start);

  // The entry has vanished. The endpoint may be used for a little longer, and
  // stays as cold as it was.
  void OnGone(const EndpointId& id);

  bool IsCold(const EndpointId& id) const;

  // Returns by what factor the bound of `id` is raised: 1 while it is cold,
  // rising afterwards, and nothing where there is no bound.
  std::optional<double> RampUpFactor(const EndpointId& id) const;

  // Returns since when `id` has had a bound; the clock's beginning if it has
  // none.
  TimePoint LimitedSince(const EndpointId& id) const;

  // Returns those whose cold time has passed since the last call.
  std::vector<EndpointId> TakeWarmed();

  // Returns those that have a bound now.
  std::vector<EndpointId> LimitedEndpoints() const;

  // Returns how many are cold.
  std::size_t Count() const;

  // A second, and what a request may take from here to the endpoint: two that
  // are decided on further apart never arrive in the same second.
  static constexpr Millis kWindow =
      Millis(1000) + EndpointDirectory::kMaxDispatchTime;
  // After the cold time the bound doubles in each of these, so that what other
  // endpoints have taken meanwhile does not return as one wave.
  static constexpr Millis kDoublingPeriod{1000};
  // How often it doubles before it is lifted.
  static constexpr int kMaxDoublings = 5;

 private:
  struct Entry {
    bool IsCold(TimePoint now) const;

    std::optional<EndpointIncarnation> incarnation;
    StoreRevision revision;
    // Since when it has had a bound, if it has one.
    TimePoint bound_since{};
    // The end of its last cold time; unset if it was never cold.
    std::optional<TimePoint> cold_until;
    // Whether that end has been passed on by TakeWarmed.
    bool end_told = true;
    bool gone = false;
  };

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
  // Those that have a bound, and some whose bound was lifted since the last
  // TakeWarmed.
  std::set<EndpointId> bounded_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_COLD_ENDPOINTS_H_
