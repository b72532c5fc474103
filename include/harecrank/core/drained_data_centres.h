// Data centres that an operator has drained: their endpoints receive no new
// work, and requests in progress complete.
//
// A drain order stays active until it is revoked. Of two changes to the drain
// state of a data centre, the one with the higher store revision counts, so
// that delayed or duplicate messages from a host with older data have no
// effect.

#ifndef HARECRANK_CORE_DRAINED_DATA_CENTRES_H_
#define HARECRANK_CORE_DRAINED_DATA_CENTRES_H_

#include <map>
#include <optional>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// A drain order, as published.
struct DrainedDataCentre {
  DataCentreId id;
  StoreRevision revision;

  friend bool operator==(const DrainedDataCentre& a,
                         const DrainedDataCentre& b) {
    return a.id == b.id && a.revision == b.revision;
  }
};

// Data centres whose state a complete list of drain orders has changed.
struct DrainChange {
  std::vector<DrainedDataCentre> drained;
  // Data centres whose drain has ended, each with the revision at which its
  // drain order was known to be revoked.
  std::vector<DrainedDataCentre> restored;
};

// Holds the active drain orders, and decides which endpoints of a restored data
// centre may be chosen again. Not thread-safe.
class DrainedDataCentres {
 public:
  explicit DrainedDataCentres(MonotonicClock clock);

  // Applies a drain order. Returns whether this changed the state.
  bool Drain(const DrainedDataCentre& order);

  // Records that the drain order for `id` was revoked at `revision`. Returns
  // whether this changed the state.
  bool Restore(const DataCentreId& id, StoreRevision revision);

  // Replaces all drain orders by `orders`, the complete list as of store
  // revision `at`. Orders that are not listed and not newer than `at` are
  // revoked.
  DrainChange ReplaceAll(const std::vector<DrainedDataCentre>& orders,
                         StoreRevision at);

  bool IsDrained(const DataCentreId& id) const;

  // Returns whether `endpoint` of the restored data centre `id` must not be
  // chosen yet. After a drain the endpoints have empty caches and may be slow,
  // and all waiting requests would reach them at once. The endpoints therefore
  // return to use one after the other, in an order that is the same on all
  // hosts.
  bool IsRampingUp(const DataCentreId& id, const EndpointId& endpoint) const;

  // Returns whether any data centre is ramping up.
  bool AnyRampingUp() const;

  std::size_t Count() const;

  // Time within which all endpoints of a restored data centre return to use.
  // Hosts learn of a restore at slightly different times; this is several times
  // the difference.
  static constexpr Millis kRampUpTime{2000};

 private:
  // Drain state of one data centre.
  struct State {
    bool is_drained = false;
    StoreRevision revision;
    // Time of the last restore; unset while the data centre is drained, and if
    // it has never been drained.
    std::optional<TimePoint> restored_at;
  };

  void SetRestored(State* state, StoreRevision revision);
  bool IsRampingUpNow(const State& state) const;

  MonotonicClock clock_;
  // Revoked drain orders are kept until a listing replaces them, so that a
  // delayed message does not drain the data centre again.
  std::map<DataCentreId, State> states_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_DRAINED_DATA_CENTRES_H_
