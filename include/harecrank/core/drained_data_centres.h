// Which data centres take nothing: an operator has ordered that their endpoints
// be given no new work, and what runs there ends in peace.
//
// An order holds until it is taken back, however often it is told. Its
// revisions put it in order, so that a word that comes late, or twice, from a
// host that knows less, brings back nothing.

#ifndef HARECRANK_CORE_DRAINED_DATA_CENTRES_H_
#define HARECRANK_CORE_DRAINED_DATA_CENTRES_H_

#include <map>
#include <optional>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// An order that a data centre is to take nothing, as published.
struct DrainedDataCentre {
  DataCentreId id;
  StoreRevision revision;

  friend bool operator==(const DrainedDataCentre& a,
                         const DrainedDataCentre& b) {
    return a.id == b.id && a.revision == b.revision;
  }
};

// What a listing changed of what was held.
struct DrainChange {
  std::vector<DrainedDataCentre> drained;
  // With the revision at which they were heard to be open.
  std::vector<DrainedDataCentre> restored;
};

// Holds the orders. Not thread-safe.
class DrainedDataCentres {
 public:
  explicit DrainedDataCentres(MonotonicClock clock);

  // Takes an order. Returns whether the data centre was open until now.
  bool Drain(const DrainedDataCentre& order);

  // The order for `id` was taken back at `revision`. Returns whether it was
  // drained until now.
  bool Restore(const DataCentreId& id, StoreRevision revision);

  // Takes all orders that stood at `at`: others as old as that are taken back.
  DrainChange ReplaceAll(const std::vector<DrainedDataCentre>& orders,
                         StoreRevision at);

  bool IsDrained(const DataCentreId& id) const;

  // Returns whether `endpoint`, of data centre `id`, is still to wait since its
  // data centre takes work again. After an emptying its endpoints know nothing
  // and may be slow, and all that waited for room would come at once: they
  // return one after the other, in an order that all hosts share.
  bool IsRampingUp(const DataCentreId& id, const EndpointId& endpoint) const;

  // Returns whether endpoints of any data centre return.
  bool AnyRampingUp() const;

  std::size_t Count() const;

  // Within how long all endpoints of a data centre return: several times what
  // hosts differ in when they hear that it is open.
  static constexpr Millis kRampUpTime{2000};

 private:
  struct State {
    bool is_closed = false;
    StoreRevision revision;
    // Set where it was drained before.
    std::optional<TimePoint> opened_at;
  };

  void SetOpen(State* state, StoreRevision revision);
  bool ReturnsNow(const State& state) const;

  MonotonicClock clock_;
  // Of data centres that an order named. One that was taken back is kept, so
  // that a late word of it closes nothing, until a listing replaces all.
  std::map<DataCentreId, State> states_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_DRAINED_DATA_CENTRES_H_
