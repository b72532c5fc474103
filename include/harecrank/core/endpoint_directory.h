// The endpoints that the platform publishes, and which of them may be used.
//
// An entry that vanishes means that its endpoint has left, and a request that
// reaches it late is lost. Entries of living endpoints vanish too, while the
// platform's service is down for longer than their leases, and are written
// again soon after it is back. Only a host whose own reading failed for that
// long takes a vanished entry for a lapse, and keeps it for a time that counts
// from when it heard of it and that nothing makes longer.

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

// When an endpoint's process started, in Unix ms by its own clock. Tells lives
// of one id apart; clocks step, so it does not tell which came first.
using EndpointIncarnation =
    StrongNumber<struct EndpointIncarnationTag, std::int64_t>;

// One incarnation of an endpoint, as published.
struct EndpointRecord {
  EndpointId id;
  // Unset where the platform does not tell it: then each id has one
  // incarnation.
  std::optional<EndpointIncarnation> incarnation;
  ServiceName service;
  // IP number and port.
  std::string address;
  DataCentreId data_centre;
  // Requests that it works on at once.
  int slots = 1;
  // It leaves: no new work may go there.
  bool draining = false;
  StoreRevision revision;
  // How much longer it was cold when it wrote this; unset where that is not
  // told.
  std::optional<Millis> cold_for;
};

// What is made of an entry that has vanished.
enum class RemovalResult {
  // Nothing of it is held, or what is held is newer.
  kIgnored,
  // The endpoint is taken for gone.
  kDeparted,
  // It may have lapsed while the source was away: it is kept for a while.
  kMayHaveLapsed
};

// What a listing left out of what was held.
struct ListingChange {
  std::size_t departed = 0;
  std::size_t may_have_lapsed = 0;
};

// An entry that was kept while it was missing, and is not any more.
struct ExpiredEndpoint {
  EndpointId id;
  // Since it was first heard to be missing.
  Millis kept{0};
};

// Holds the records and their state. Not thread-safe.
class EndpointDirectory {
 public:
  // A request may reach an endpoint for `leave_limit` after it has left.
  explicit EndpointDirectory(MonotonicClock clock,
                             Millis leave_limit = kDefaultLeaveLimit);

  // Takes over one record. Older revisions than the one held change nothing. A
  // incarnation that has said that it leaves does not stay, whatever a word of
  // it that comes late may say. Returns whether anything that matters for
  // routing changed.
  bool Upsert(const EndpointRecord& record);

  // Notes that `incarnation` of the endpoint has said itself that it leaves.
  // Returns whether that is news. Its entry may go on to say that it is ready,
  // or the source say nothing: only a new incarnation takes work again.
  bool MarkLeaving(const EndpointId& id,
                   const std::optional<EndpointIncarnation>& incarnation);

  // Whether `incarnation` of the endpoint has said that it leaves.
  bool HasAnnouncedLeave(
      const EndpointId& id,
      const std::optional<EndpointIncarnation>& incarnation) const;

  // Returns those that are held and leave.
  std::vector<EndpointId> Leaving() const;

  // Notes that what stands at the record's place since `revision` names no
  // endpoint. Returns whether one was held.
  bool Withdraw(const EndpointId& id, StoreRevision revision);

  // Notes that the record has vanished at `revision`.
  RemovalResult Remove(const EndpointId& id, StoreRevision revision);

  // Takes a complete listing: what is held and not listed has vanished.
  ListingChange ReplaceAll(const std::vector<EndpointRecord>& records,
                           StoreRevision at);

  // Notes that the source does not answer this host, which last heard from it,
  // itself or through others, `unheard` ago. That nobody tells this host is no
  // such case: the source may be well.
  void OnStoreUnreachable(Millis unheard = Millis(0));

  // Notes that what was told is complete as the source knew it `age` ago, when
  // it was at `at`. To be called before the changes up to `at` are told. What
  // vanishes at a later revision has left; what vanished before may have lapsed
  // if the source was away for longer than kMinOutageForLapse.
  void OnStoreSynced(StoreRevision at, Millis age = Millis(0));

  // Drops entries that have been missing for as long as they may be used, and
  // returns them.
  std::vector<ExpiredEndpoint> RemoveExpired();

  // Takes an order that a data centre is to take nothing. Returns whether that
  // is news.
  bool DrainDataCentre(const DrainedDataCentre& order);

  // Takes it back. Returns whether that is news.
  bool RestoreDataCentre(const DataCentreId& id, StoreRevision revision);

  // Takes all orders that stood at `at`, and returns what they changed.
  DrainChange ReplaceDrained(const std::vector<DrainedDataCentre>& orders,
                             StoreRevision at);

  const DrainedDataCentres& Drained() const { return closed_; }

  // Returns the endpoints of one data centre, usable or not.
  std::vector<EndpointId> In(const DataCentreId& data_centre) const;

  // Returns the usable endpoints of `service`, ordered by id: those that take
  // new work and are worth choosing. Valid until the next change or call.
  const std::vector<const EndpointRecord*>& UsableOf(
      const ServiceName& service) const;

  // Returns the record of `id`, or null if it is gone.
  const EndpointRecord* Find(const EndpointId& id) const;

  // Returns the record of `id` if it may be given new work of `service`, or
  // null. Those that another host has chosen are asked for here: it may have
  // heard later that they take none, or sooner that they do.
  const EndpointRecord* FindUsable(const EndpointId& id,
                                   const ServiceName& service) const;

  // Returns for how long the entry of `id` has been missing; nothing if it is
  // listed or not held.
  std::optional<Millis> MissingFor(const EndpointId& id) const;

  // Returns how many endpoints are kept whose entries are missing.
  std::size_t MissingCount() const;

  // Returns every record that is held.
  std::vector<EndpointRecord> All() const;

  std::size_t Count() const { return entries_.size(); }

  // What a request may take from the choice of its endpoint until it is there:
  // a connection's set-up, at most 250 ms, the look for entries to drop, each
  // 100 ms, and a busy host's event loop.
  static constexpr Millis kMaxDispatchTime{500};
  // How long after an endpoint has left a request may still reach it, unless
  // the platform's settings say otherwise: the platform's usual bound.
  static constexpr Millis kDefaultLeaveLimit{2000};
  // How long an entry that may have lapsed is kept, with that limit. Entries of
  // living endpoints were back within 0.7 s of being heard gone in four outages
  // of 3 and 4 s, since each is written anew every 1.2 s.
  static constexpr Millis kLapseGracePeriod =
      kDefaultLeaveLimit - kMaxDispatchTime;
  // The shortest absence of the source in which an entry can lapse: it takes
  // three heartbeats of silence, 1.2 s each, and the last one may have been
  // due.
  static constexpr Millis kMinOutageForLapse{2400};
  // How long after the return of the source a vanished entry may have lapsed
  // while it was away: three heartbeats.
  static constexpr Millis kPostOutageWindow{3600};
  // How long a incarnation that has said that it leaves is remembered once its
  // entry is not held any more: longer than a late word of it may be on its
  // way.
  static constexpr Millis kLeavingRetention{60000};

 private:
  struct Missing {
    TimePoint since;
    TimePoint use_until;
  };
  struct Entry {
    EndpointRecord record;
    // Set while the entry is missing at the source.
    std::optional<Missing> missing;
  };

  struct LeavingLife {
    std::optional<EndpointIncarnation> incarnation;
    // When it said so, or its entry was last held.
    TimePoint noted;
  };

  // Returns whether that is news.
  bool RememberLeaving(const EndpointId& id,
                       const std::optional<EndpointIncarnation>& incarnation);
  // Forgets lives that have said that they leave and are long gone.
  void SweepLeaving(TimePoint now);
  // Returns whether an entry that is missing now may have lapsed.
  bool MayHaveLapsed(TimePoint now) const;
  // Keeps what may have lapsed until `use_until`, and drops the rest.
  RemovalResult Drop(const EndpointId& id, std::optional<TimePoint> use_until);
  bool TakesWork(const EndpointRecord& record) const;
  void Rebuild() const;

  MonotonicClock clock_;
  DrainedDataCentres closed_;
  std::map<EndpointId, Entry> entries_;
  Millis lapse_grace_;
  std::map<EndpointId, LeavingLife> leaving_;
  // Since when the source has not answered; unset while it does.
  std::optional<TimePoint> lost_since_;
  // The last return of the source after an absence in which entries may have
  // lapsed.
  std::optional<TimePoint> back_at_;
  StoreRevision back_revision_;
  // When what is held was complete: now, and before the source was last heard.
  TimePoint complete_at_{};
  TimePoint complete_before_{};
  mutable bool stale_index_ = true;
  // When further endpoints of a data centre that was drained may be chosen.
  mutable TimePoint rebuild_at_ = TimePoint::max();
  mutable std::unordered_map<ServiceName, std::vector<const EndpointRecord*>>
      usable_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_DIRECTORY_H_
