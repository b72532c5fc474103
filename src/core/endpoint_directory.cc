#include "harecrank/core/endpoint_directory.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace harecrank {
namespace {

// If more than one in kLapseDivisor of the known entries is missing from a
// listing, their leases are assumed to have lapsed, since endpoints leave one
// at a time.
constexpr std::size_t kLapseDivisor = 3;
// Interval at which the index of usable endpoints is rebuilt while a restored
// data centre ramps up.
constexpr Millis kRampUpRebuildInterval{50};

}  // namespace

EndpointDirectory::EndpointDirectory(MonotonicClock clock, Millis leave_limit)
    : clock_(std::move(clock)),
      drained_(clock_),
      lapse_grace_period_(std::max(Millis(0), leave_limit - kMaxDispatchTime)) {
}

bool EndpointDirectory::Upsert(const EndpointRecord& record) {
  Entry& entry = entries_[record.id];
  const bool is_new = entry.record.id.value.empty();
  if (!is_new && record.revision < entry.record.revision) {
    return false;
  }
  if (record.draining) {
    RecordLeave(record.id, record.incarnation);
  }
  const bool draining = HasAnnouncedLeave(record.id, record.incarnation);
  const bool changed = is_new || entry.missing.has_value() ||
                       entry.record.incarnation != record.incarnation ||
                       entry.record.draining != draining ||
                       entry.record.service != record.service ||
                       entry.record.address != record.address ||
                       entry.record.data_centre != record.data_centre;
  entry.record = record;
  entry.record.draining = draining;
  entry.missing.reset();
  stale_index_ = stale_index_ || changed;
  return changed;
}

bool EndpointDirectory::HasAnnouncedLeave(
    const EndpointId& id,
    const std::optional<EndpointIncarnation>& incarnation) const {
  const auto found = leaving_.find(id);
  return found != leaving_.end() && found->second.incarnation == incarnation;
}

bool EndpointDirectory::RecordLeave(
    const EndpointId& id,
    const std::optional<EndpointIncarnation>& incarnation) {
  if (HasAnnouncedLeave(id, incarnation)) {
    return false;
  }
  leaving_[id] = LeavingIncarnation{incarnation, clock_()};
  return true;
}

bool EndpointDirectory::MarkLeaving(
    const EndpointId& id,
    const std::optional<EndpointIncarnation>& incarnation) {
  if (!RecordLeave(id, incarnation)) {
    return false;
  }
  const auto found = entries_.find(id);
  if (found != entries_.end() &&
      found->second.record.incarnation == incarnation) {
    found->second.record.draining = true;
    stale_index_ = true;
  }
  return true;
}

std::vector<EndpointId> EndpointDirectory::Leaving() const {
  std::vector<EndpointId> leaving;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.draining) {
      leaving.push_back(id);
    }
  }
  return leaving;
}

bool EndpointDirectory::Withdraw(const EndpointId& id, StoreRevision revision) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || revision < found->second.record.revision) {
    return false;
  }
  return RemoveOrRetain(id, std::nullopt) == RemovalResult::kDeparted;
}

RemovalResult EndpointDirectory::Remove(const EndpointId& id,
                                        StoreRevision revision) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || revision < found->second.record.revision) {
    return RemovalResult::kIgnored;
  }
  const TimePoint now = clock_();
  const bool left_after_recovery =
      !store_unreachable_since_.has_value() && recovery_revision_ < revision;
  if (left_after_recovery || !MayHaveLapsed(now)) {
    return RemoveOrRetain(id, std::nullopt);
  }
  return RemoveOrRetain(id, now + lapse_grace_period_);
}

ListingChange EndpointDirectory::ReplaceAll(
    const std::vector<EndpointRecord>& records, StoreRevision at) {
  std::set<EndpointId> listed;
  for (const EndpointRecord& record : records) {
    listed.insert(record.id);
    Upsert(record);
  }
  std::vector<EndpointId> missing;
  for (const auto& [id, entry] : entries_) {
    if (listed.count(id) == 0 && !(at < entry.record.revision)) {
      missing.push_back(id);
    }
  }
  const TimePoint now = clock_();
  std::optional<TimePoint> use_until;
  if (MayHaveLapsed(now)) {
    use_until = now + lapse_grace_period_;
  } else if (missing.size() * kLapseDivisor > entries_.size()) {
    // The entries may have been removed at any time since the directory last
    // matched the store, so the grace period starts then.
    use_until = previous_sync_at_ + lapse_grace_period_;
  }
  ListingChange change;
  for (const EndpointId& id : missing) {
    const bool departed =
        RemoveOrRetain(id, use_until) == RemovalResult::kDeparted;
    ++(departed ? change.departed : change.may_have_lapsed);
  }
  return change;
}

void EndpointDirectory::OnStoreUnreachable(Millis unreachable_for) {
  if (!store_unreachable_since_.has_value()) {
    store_unreachable_since_ = clock_() - unreachable_for;
  }
}

void EndpointDirectory::OnStoreSynced(StoreRevision at, Millis age) {
  const TimePoint now = clock_();
  previous_sync_at_ = synced_at_;
  synced_at_ = std::max(synced_at_, now - age);
  if (!store_unreachable_since_.has_value()) {
    return;
  }
  if (now - *store_unreachable_since_ >= kMinOutageForLapse) {
    store_recovered_at_ = now;
    recovery_revision_ = at;
  }
  store_unreachable_since_.reset();
}

std::vector<ExpiredEndpoint> EndpointDirectory::RemoveExpired() {
  std::vector<ExpiredEndpoint> expired;
  const TimePoint now = clock_();
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto& missing = it->second.missing;
    // Expired entries are removed even while the store is unreachable.
    // Otherwise endpoints that have left would stay in use for as long as the
    // store is unreachable or flapping.
    if (missing.has_value() && now >= missing->use_until) {
      expired.push_back(ExpiredEndpoint{
          it->first, std::chrono::duration_cast<Millis>(now - missing->since)});
      it = entries_.erase(it);
      stale_index_ = true;
    } else {
      ++it;
    }
  }
  RemoveOldLeaves(now);
  return expired;
}

void EndpointDirectory::RemoveOldLeaves(TimePoint now) {
  for (auto it = leaving_.begin(); it != leaving_.end();) {
    if (entries_.count(it->first) != 0) {
      it->second.last_seen = now;
    }
    const bool is_expired = now - it->second.last_seen >= kLeavingRetention;
    it = is_expired ? leaving_.erase(it) : std::next(it);
  }
}

bool EndpointDirectory::DrainDataCentre(const DrainedDataCentre& order) {
  stale_index_ = true;
  return drained_.Drain(order);
}

bool EndpointDirectory::RestoreDataCentre(const DataCentreId& id,
                                          StoreRevision revision) {
  stale_index_ = true;
  return drained_.Restore(id, revision);
}

DrainChange EndpointDirectory::ReplaceDrained(
    const std::vector<DrainedDataCentre>& orders, StoreRevision at) {
  stale_index_ = true;
  return drained_.ReplaceAll(orders, at);
}

std::vector<EndpointId> EndpointDirectory::In(
    const DataCentreId& data_centre) const {
  std::vector<EndpointId> endpoints;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.data_centre == data_centre) {
      endpoints.push_back(id);
    }
  }
  return endpoints;
}

const std::vector<const EndpointRecord*>& EndpointDirectory::UsableOf(
    const ServiceName& service) const {
  if (stale_index_ || clock_() >= rebuild_at_) {
    Rebuild();
  }
  static const std::vector<const EndpointRecord*> kNone;
  const auto found = usable_.find(service);
  return found == usable_.end() ? kNone : found->second;
}

const EndpointRecord* EndpointDirectory::Find(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

const EndpointRecord* EndpointDirectory::FindUsable(
    const EndpointId& id, const ServiceName& service) const {
  const EndpointRecord* record = Find(id);
  const bool usable =
      record != nullptr && TakesWork(*record) && record->service == service;
  return usable ? record : nullptr;
}

std::optional<Millis> EndpointDirectory::MissingFor(
    const EndpointId& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.missing.has_value()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(clock_() -
                                            found->second.missing->since);
}

std::size_t EndpointDirectory::MissingCount() const {
  const auto is_missing = [](const auto& item) {
    return item.second.missing.has_value();
  };
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), is_missing));
}

std::vector<EndpointRecord> EndpointDirectory::All() const {
  std::vector<EndpointRecord> all;
  all.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    all.push_back(entry.record);
  }
  return all;
}

bool EndpointDirectory::MayHaveLapsed(TimePoint now) const {
  // A host that received no updates for a moment, and gets an answer from the
  // store at its first poll, has missed no lapsed lease. Treating the moment as
  // a store outage would keep endpoints that have left in use for up to 3 s.
  if (store_unreachable_since_.has_value() &&
      now - *store_unreachable_since_ >= kMinOutageForLapse) {
    return true;
  }
  return store_recovered_at_.has_value() &&
         now < *store_recovered_at_ + kPostOutageWindow;
}

RemovalResult EndpointDirectory::RemoveOrRetain(
    const EndpointId& id, std::optional<TimePoint> use_until) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return RemovalResult::kIgnored;
  }
  if (!use_until.has_value()) {
    entries_.erase(found);
    stale_index_ = true;
    return RemovalResult::kDeparted;
  }
  std::optional<Missing>& missing = found->second.missing;
  if (!missing.has_value()) {
    missing = Missing{clock_(), *use_until};
  }
  return RemovalResult::kMayHaveLapsed;
}

bool EndpointDirectory::TakesWork(const EndpointRecord& record) const {
  return !record.draining && !drained_.IsDrained(record.data_centre);
}

void EndpointDirectory::Rebuild() const {
  usable_.clear();
  std::unordered_map<ServiceName, std::vector<const EndpointRecord*>>
      ramping_up;
  for (const auto& [id, entry] : entries_) {
    const EndpointRecord& record = entry.record;
    if (TakesWork(record)) {
      const bool is_ramping_up = drained_.IsRampingUp(record.data_centre, id);
      (is_ramping_up ? ramping_up : usable_)[record.service].push_back(&record);
    }
  }
  // A service that has no other endpoints uses those that are still ramping up.
  for (auto& [service, endpoints] : ramping_up) {
    if (usable_.count(service) == 0) {
      usable_[service] = std::move(endpoints);
    }
  }
  stale_index_ = false;
  rebuild_at_ = drained_.AnyRampingUp() ? clock_() + kRampUpRebuildInterval
                                        : TimePoint::max();
}

}  // namespace harecrank
