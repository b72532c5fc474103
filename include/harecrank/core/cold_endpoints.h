// Tracks which endpoints are cold: they have just started, or have reported
// that they are cold again, and accept few requests per second.

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

// The effect of a record on an endpoint's state.
enum class ColdChange { kNone, kTurnedCold, kTurnedWarm };

// Tracks cold endpoints by this host's clock. Not thread-safe.
class ColdEndpoints {
 public:
  explicit ColdEndpoints(MonotonicClock clock);

  // Processes a published record. Its warm-up time counts from now, which is
  // never earlier than when it was written, so a record that arrives late makes
  // the endpoint cold for slightly too long and never too short. Records that
  // are not newer than the last one have no effect. If the record does not
  // contain a warm-up time, a new incarnation is cold for `after_start`.
  ColdChange OnRecord(const EndpointRecord& record, Millis after_start);

  // Notes that the entry was removed. The endpoint may remain in use for a
  // short time, so its cold state is kept.
  void OnGone(const EndpointId& id);

  bool IsCold(const EndpointId& id) const;

  // Returns the factor by which the start limit of `id` is raised: 1 while it
  // is cold, rising afterwards; nothing if it has no limit.
  std::optional<double> RampUpFactor(const EndpointId& id) const;

  // Returns since when `id` has had a start limit, or the clock's epoch if it
  // is unknown.
  TimePoint LimitedSince(const EndpointId& id) const;

  // Returns the endpoints that have become warm since the last call.
  std::vector<EndpointId> TakeWarmed();

  // Returns the endpoints that have a start limit.
  std::vector<EndpointId> LimitedEndpoints() const;

  // Returns the number of cold endpoints.
  std::size_t Count() const;

  // One second plus the longest dispatch time: two requests that are placed
  // this far apart never arrive within the same second.
  static constexpr Millis kWindow =
      Millis(1000) + EndpointDirectory::kMaxDispatchTime;
  // Interval in which the start limit doubles after the warm-up. Traffic that
  // other endpoints served meanwhile thus returns gradually.
  static constexpr Millis kDoublingPeriod{1000};
  // Number of doublings after which the limit is removed.
  static constexpr int kMaxDoublings = 5;

 private:
  struct Entry {
    bool IsCold(TimePoint now) const;

    std::optional<EndpointIncarnation> incarnation;
    StoreRevision revision;
    // Since when there has been a start limit, if there is one.
    TimePoint limited_since{};
    // End of the last cold period; unset if there was none.
    std::optional<TimePoint> cold_until;
    // Whether TakeWarmed has returned the end of the last cold period.
    bool warmed_reported = true;
    bool removed = false;
  };

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
  // Endpoints with a start limit, and some whose limit has ended since the last
  // call of TakeWarmed.
  std::set<EndpointId> limited_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_COLD_ENDPOINTS_H_
