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

// Whether a published record made an endpoint cold or warm.
enum class ColdChange { kNone, kTurnedCold, kTurnedWarm };

// Decides by this host's clock which endpoints are cold, and how far the start
// limit of each endpoint has been raised since its warm-up. Not thread-safe.
class ColdEndpoints {
 public:
  explicit ColdEndpoints(MonotonicClock clock);

  // Processes a published record. The warm-up time in the record is counted
  // from now, although the record was written earlier: a record that arrives
  // late makes the endpoint cold for slightly too long, never too short.
  // Records that are not newer than the last one have no effect. If the record
  // does not contain a warm-up time, a new incarnation is cold for
  // `after_start`.
  ColdChange OnRecord(const EndpointRecord& record, Millis after_start);

  // Records that the endpoint's entry was removed from the store. The endpoint
  // may remain in use for a short time, so its cold state is kept.
  void OnGone(const EndpointId& id);

  bool IsCold(const EndpointId& id) const;

  // Returns the factor by which the start limit of `id` is multiplied: 1 while
  // the endpoint is cold, then doubling every kDoublingPeriod. Returns nothing
  // if the endpoint has no start limit.
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

  // Window in which starts at a cold endpoint are counted. It is one second
  // plus the longest dispatch time: two requests that are placed this far apart
  // never arrive within the same second.
  static constexpr Millis kWindow =
      Millis(1000) + EndpointDirectory::kMaxDispatchTime;
  // Interval in which the start limit doubles after the warm-up, so that the
  // traffic that other endpoints served during the warm-up returns gradually.
  static constexpr Millis kDoublingPeriod{1000};
  // Number of doublings after which the limit is removed.
  static constexpr int kMaxDoublings = 5;

 private:
  // The cold state of one endpoint.
  struct Entry {
    bool IsCold(TimePoint now) const;

    std::optional<EndpointIncarnation> incarnation;
    StoreRevision revision;
    // Since when the endpoint has had its start limit; meaningless if it has
    // none.
    TimePoint limited_since{};
    // End of the last cold period; unset if there was none.
    std::optional<TimePoint> cold_until;
    // Whether TakeWarmed has returned the end of the last cold period.
    bool warmed_reported = true;
    // Whether the entry has been removed from the store.
    bool removed = false;
  };

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
  // Superset of the endpoints with a start limit: may still contain endpoints
  // whose limit has ended since the last call of TakeWarmed.
  std::set<EndpointId> limited_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_COLD_ENDPOINTS_H_
