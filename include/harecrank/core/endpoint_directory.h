// The endpoints that the platform publishes, and which of them may be used.
//
// Entries of living endpoints vanish while the platform's service is down, and
// are written again soon after it is back. So an entry that goes missing
// around an outage is kept for a grace period; one that goes missing in calm
// times is gone at once.

#ifndef HARECRANK_CORE_ENDPOINT_DIRECTORY_H_
#define HARECRANK_CORE_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Orders all changes of the platform's service.
using StoreRevision = StrongNumber<struct StoreRevisionTag, std::uint64_t>;

// One life of an endpoint, as published.
struct EndpointRecord {
  EndpointId id;
  ServiceName service;
  // IP number and port.
  std::string address;
  DataCentreId data_centre;
  // Requests that it works on at once.
  int slots = 1;
  // It leaves: no new work may go there.
  bool draining = false;
  StoreRevision revision;
};

// What is made of an entry that has vanished.
enum class Absence {
  // Nothing of it is held, or what is held is newer.
  kNotHeld,
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
struct DroppedEndpoint {
  EndpointId id;
  // Since it was first heard to be missing.
  Millis kept{0};
};

// Holds the records and their state. Not thread-safe.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(MonotonicClock clock);

  // Takes over one record. Older revisions than the one held change nothing.
  // Returns whether anything that matters for routing changed.
  bool Upsert(const EndpointRecord& record);

  // Notes that the record has vanished at `revision`.
  Absence Remove(const EndpointId& id, StoreRevision revision);

  // Takes a complete listing: what is held and not listed has vanished.
  ListingChange ReplaceAll(const std::vector<EndpointRecord>& records,
                           StoreRevision at);

  // Notes that the source of the records cannot be reached.
  void OnSourceLost();

  // Notes that the source answers again, and was at `at` when it did. What
  // vanishes at a later revision has left; what vanished before may have
  // lapsed while the source was away.
  void OnSourceBack(StoreRevision at);

  // Drops entries whose grace period has ended, and returns them.
  std::vector<DroppedEndpoint> DropLapsed();

  // Returns the usable endpoints of `service`, ordered by id. Valid until the
  // next change.
  const std::vector<const EndpointRecord*>& UsableOf(
      const ServiceName& service) const;

  // Returns the record of `id`, or null if it is gone.
  const EndpointRecord* Find(const EndpointId& id) const;

  // Returns for how long the entry of `id` has been missing; nothing if it is
  // listed or not held.
  std::optional<Millis> MissingFor(const EndpointId& id) const;

  // Returns how many endpoints are kept whose entries are missing.
  std::size_t MissingCount() const;

  // Returns every record that is held.
  std::vector<EndpointRecord> All() const;

  std::size_t Count() const { return entries_.size(); }

  // How long a missing entry is kept after the source is back. The platform
  // says that living endpoints are listed again about two seconds after it.
  static constexpr Millis kLapseGrace{2200};
  // How long the source must have been well for a missing entry to mean that
  // its endpoint is gone: three of the endpoints' heartbeats.
  static constexpr Millis kCalmAfter{3600};

 private:
  struct Entry {
    EndpointRecord record;
    // Set while the entry is missing at the source.
    std::optional<TimePoint> dropped_at;
  };

  bool SourceIsCalm(TimePoint now) const;
  Absence Drop(const EndpointId& id, bool at_once);
  void Rebuild() const;

  MonotonicClock clock_;
  std::map<EndpointId, Entry> entries_;
  bool source_lost_ = true;
  TimePoint source_back_at_{};
  StoreRevision source_back_revision_;
  mutable bool stale_index_ = true;
  mutable std::unordered_map<ServiceName, std::vector<const EndpointRecord*>>
      usable_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_DIRECTORY_H_
