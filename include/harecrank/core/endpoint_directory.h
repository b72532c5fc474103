// Directory of the endpoints that the platform publishes in its store. It
// decides which of them may receive work.
//
// An entry is normally removed from the store because its endpoint has left,
// and a request that reaches the endpoint after that is lost. Entries of
// running endpoints are removed too when the store is down for longer than
// their leases; the endpoints write them again soon after the store has
// recovered. The directory therefore keeps a removed entry for a grace period
// only if its lease may have lapsed: the host's own polls of the store have
// failed for long enough, or a listing lacks more than a third of the known
// entries. The grace period starts when the host learns of the removal. If a
// listing lacks the entries, it starts when the directory last matched the
// store before that listing. It is never extended.

#ifndef HARECRANK_CORE_ENDPOINT_DIRECTORY_H_
#define HARECRANK_CORE_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/drained_data_centres.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Start time of an endpoint's process, in Unix milliseconds by the endpoint's
// own clock. Distinguishes incarnations with the same id. Clocks are adjusted,
// so a larger value does not mean a later start.
using EndpointIncarnation =
    StrongNumber<struct EndpointIncarnationTag, std::int64_t>;

// One incarnation of an endpoint, as published in the store.
struct EndpointRecord {
  EndpointId id;
  // Unset on platforms that do not publish it; each id then has one
  // incarnation.
  std::optional<EndpointIncarnation> incarnation;
  ServiceName service;
  // IP address and port.
  std::string address;
  DataCentreId data_centre;
  // Maximum number of concurrent requests.
  int slots = 1;
  // The endpoint is leaving and accepts no new work.
  bool draining = false;
  StoreRevision revision;
  // Remaining warm-up time when the endpoint wrote this entry; unset if the
  // entry does not contain it.
  std::optional<Millis> cold_for;
};

// What EndpointDirectory did with an entry that was removed from the store.
enum class RemovalResult {
  // The directory has no such entry, or a newer one.
  kIgnored,
  // The endpoint has left; the entry was dropped.
  kDeparted,
  // The lease may have lapsed during a store outage; the entry is kept for the
  // grace period.
  kMayHaveLapsed
};

// Counts the known entries that were missing from a listing.
struct ListingChange {
  std::size_t departed = 0;
  std::size_t may_have_lapsed = 0;
};

// A missing entry whose grace period has expired.
struct ExpiredEndpoint {
  EndpointId id;
  // Time since the entry was first known to be missing.
  Millis kept{0};
};

// Holds the published endpoints and decides which of them may receive new work.
// Not thread-safe.
class EndpointDirectory {
 public:
  // Requests may still arrive at an endpoint until `leave_limit` after it has
  // left.
  explicit EndpointDirectory(MonotonicClock clock,
                             Millis leave_limit = kDefaultLeaveLimit);

  // Stores a record unless a newer revision is known. An incarnation that has
  // announced its departure stays marked as leaving, even if other records of
  // the same incarnation describe it as ready. Returns whether anything
  // relevant to routing changed.
  bool Upsert(const EndpointRecord& record);

  // Records that `incarnation` of the endpoint has itself announced that it
  // leaves. Returns false if the announcement was known. The store may still
  // publish the endpoint as ready; only a new incarnation receives work again.
  bool MarkLeaving(const EndpointId& id,
                   const std::optional<EndpointIncarnation>& incarnation);

  // Returns whether `incarnation` of the endpoint has announced that it leaves.
  bool HasAnnouncedLeave(
      const EndpointId& id,
      const std::optional<EndpointIncarnation>& incarnation) const;

  // Returns the known endpoints that are leaving.
  std::vector<EndpointId> Leaving() const;

  // Records that the store's entry for `id` has not described a valid endpoint
  // since `revision`. Returns whether a record was removed.
  bool Withdraw(const EndpointId& id, StoreRevision revision);

  // Records that the entry of `id` was removed from the store at `revision`.
  RemovalResult Remove(const EndpointId& id, StoreRevision revision);

  // Stores the complete list of the store's entries as of revision `at`. Known
  // entries that are not in `records` and not newer than `at` count as removed.
  ListingChange ReplaceAll(const std::vector<EndpointRecord>& records,
                           StoreRevision at);

  // Records that this host's own poll of the store failed, and that the host's
  // data, whether read from the store or received from other hosts, is
  // `unreachable_for` old. Must not be called merely because no other host has
  // sent updates, since the store may be available.
  void OnStoreUnreachable(Millis unreachable_for = Millis(0));

  // Records that the directory matched the store, at revision `at`, `age` ago.
  // Must be called before the changes up to `at` are applied. Entries removed
  // at a later revision have left; entries removed earlier may have lapsed if
  // the store was unreachable for at least kMinOutageForLapse.
  void OnStoreSynced(StoreRevision at, Millis age = Millis(0));

  // Removes missing entries whose grace period has expired and returns them.
  std::vector<ExpiredEndpoint> RemoveExpired();

  // Drains a data centre: its endpoints receive no new work. Returns whether
  // this changed its state.
  bool DrainDataCentre(const DrainedDataCentre& order);

  // Ends the drain of a data centre. Returns whether this changed its state.
  bool RestoreDataCentre(const DataCentreId& id, StoreRevision revision);

  // Replaces all drain orders by `orders`, the complete list as of store
  // revision `at`. Returns the data centres whose state changed.
  DrainChange ReplaceDrained(const std::vector<DrainedDataCentre>& orders,
                             StoreRevision at);

  const DrainedDataCentres& Drained() const { return drained_; }

  // Returns the endpoints of a data centre, whether usable or not.
  std::vector<EndpointId> In(const DataCentreId& data_centre) const;

  // Returns the endpoints of `service` that accept new work, ordered by id.
  // Endpoints of a data centre that is ramping up are left out until they
  // return to use, unless the service has no other endpoints. The reference and
  // the pointers are valid until the next change or call.
  const std::vector<const EndpointRecord*>& UsableOf(
      const ServiceName& service) const;

  // Returns the record of `id`, or null if there is none.
  const EndpointRecord* Find(const EndpointId& id) const;

  // Returns the record of `id` if it accepts new work of `service`, or null.
  // Used to validate an endpoint that another host has chosen from older or
  // newer data. Accepts endpoints of a data centre that is ramping up.
  const EndpointRecord* FindUsable(const EndpointId& id,
                                   const ServiceName& service) const;

  // Returns how long the entry of `id` has been missing from the store; nothing
  // if the store lists it or the endpoint is unknown.
  std::optional<Millis> MissingFor(const EndpointId& id) const;

  // Returns the number of kept entries that are missing from the store.
  std::size_t MissingCount() const;

  std::vector<EndpointRecord> All() const;

  std::size_t Count() const { return entries_.size(); }

  // Longest time from the choice of an endpoint to the arrival of the request
  // there: connection set-up of at most 250 ms, the 100 ms interval at which
  // expired entries are removed, and delays of the event loop on a busy host.
  static constexpr Millis kMaxDispatchTime{500};
  // Default of the constructor's `leave_limit`: the platform's usual limit.
  static constexpr Millis kDefaultLeaveLimit{2000};
  // Grace period of an entry whose lease may have lapsed, under the default
  // leave limit. Endpoints rewrite their entries every 1.2 s: after a store
  // outage of 3 to 4 s, entries of running endpoints reappear within 0.7 s of
  // the notice of their removal.
  static constexpr Millis kLapseGracePeriod =
      kDefaultLeaveLimit - kMaxDispatchTime;
  // Shortest store outage in which a lease can lapse. A lease lapses three
  // heartbeat intervals of 1.2 s after its last heartbeat, which may have been
  // sent one interval before the outage began.
  static constexpr Millis kMinOutageForLapse{2400};
  // Time after a store outage within which a removed entry is assumed to have
  // lapsed because of the outage: three heartbeat intervals.
  static constexpr Millis kPostOutageWindow{3600};
  // How long the directory remembers that an incarnation has announced its
  // departure, once the entry is no longer in the directory. It is longer than
  // any message about that incarnation can be delayed.
  static constexpr Millis kLeavingRetention{60000};

 private:
  // Absence of an entry from the store.
  struct Missing {
    TimePoint since;
    // End of the grace period.
    TimePoint use_until;
  };
  // A published endpoint.
  struct Entry {
    EndpointRecord record;
    // Set while the entry is missing from the store.
    std::optional<Missing> missing;
  };

  // An incarnation that has announced that it leaves.
  struct LeavingIncarnation {
    std::optional<EndpointIncarnation> incarnation;
    // The time of the announcement, or the last time the entry was in the
    // directory, whichever is later.
    TimePoint last_seen;
  };

  // Records an announced departure. Returns false if it was already recorded.
  bool RecordLeave(const EndpointId& id,
                   const std::optional<EndpointIncarnation>& incarnation);
  // Removes announced departures that are older than kLeavingRetention.
  void RemoveOldLeaves(TimePoint now);
  // Returns whether the lease of an entry that is missing at `now` may have
  // lapsed during a store outage.
  bool MayHaveLapsed(TimePoint now) const;
  // Marks the entry as missing and keeps it until `use_until`, or removes it at
  // once if `use_until` is unset.
  RemovalResult RemoveOrRetain(const EndpointId& id,
                               std::optional<TimePoint> use_until);
  bool TakesWork(const EndpointRecord& record) const;
  void Rebuild() const;

  MonotonicClock clock_;
  DrainedDataCentres drained_;
  std::map<EndpointId, Entry> entries_;
  Millis lapse_grace_period_;
  std::map<EndpointId, LeavingIncarnation> leaving_;
  // Start of the current store outage; unset if there is none.
  std::optional<TimePoint> store_unreachable_since_;
  // End of the last outage in which leases may have lapsed, and the store's
  // revision at that time.
  std::optional<TimePoint> store_recovered_at_;
  StoreRevision recovery_revision_;
  // Latest time at which this directory was known to match the store, and the
  // value of `synced_at_` before the last call of OnStoreSynced.
  TimePoint synced_at_{};
  TimePoint previous_sync_at_{};
  // Whether `usable_` must be rebuilt before its next use.
  mutable bool stale_index_ = true;
  // When to rebuild `usable_`, because further endpoints of a restored data
  // centre may then be chosen.
  mutable TimePoint rebuild_at_ = TimePoint::max();
  // Index of the endpoints that accept new work, by service.
  mutable std::unordered_map<ServiceName, std::vector<const EndpointRecord*>>
      usable_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_DIRECTORY_H_
