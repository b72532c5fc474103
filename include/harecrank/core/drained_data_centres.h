// Data centres that an operator has drained: their endpoints receive no new
// work, and requests in progress complete.
//
// A drain order stays in force until it is revoked. Orders are ordered by their
// store revisions, so that delayed or duplicate messages from a host with older
// data have no effect.

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

// What a listing changed.
struct DrainChange {
  std::vector<DrainedDataCentre> drained;
  // With the revision at which the order was known to be revoked.
  std::vector<DrainedDataCentre> restored;
};

// Holds the drain orders. Not thread-safe.
class DrainedDataCentres {
 public:
  explicit DrainedDataCentres(MonotonicClock clock);

  // Applies an order. Returns whether this changed the state.
  bool Drain(const DrainedDataCentre& order);

  // Notes that the order for `id` was revoked at `revision`. Returns whether
  // this changed the state.
  bool Restore(const DataCentreId& id, StoreRevision revision);

  // Replaces all orders by those in force at `at`. Orders that are not listed
  // and not newer than `at` are revoked.
  DrainChange ReplaceAll(const std::vector<DrainedDataCentre>& orders,
                         StoreRevision at);

  bool IsDrained(const DataCentreId& id) const;

  // Returns whether `endpoint` of the restored data centre `id` is not yet to
  // be chosen. After a drain the endpoints have empty caches and may be slow,
  // and all waiting requests would reach them at once. The endpoints are
  // therefore put back into use one after the other, in an order that is the
  // same on all hosts.
  bool IsRampingUp(const DataCentreId& id, const EndpointId& endpoint) const;

  // Returns whether any data centre is ramping up.
  bool AnyRampingUp() const;

  std::size_t Count() const;

  // Time within which all endpoints of a restored data centre are put back into
  // use; several times the differences between hosts in when they learn of the
  // restore.
  static constexpr Millis kRampUpTime{2000};

 private:
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
  // Revoked orders are kept until a listing replaces them, so that a delayed
  // message does not drain the data centre again.
  std::map<DataCentreId, State> states_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_DRAINED_DATA_CENTRES_H_
