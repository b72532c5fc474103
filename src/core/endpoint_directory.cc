#include "harecrank/core/endpoint_directory.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace harecrank {
namespace {

// A listing in which more than one entry in this many is missing at once is
// taken for a lapse and not for departures, which come one by one.
constexpr std::size_t kLapseShare = 3;
// How often it is looked which endpoints of a data centre that was drained may
// be chosen again.
constexpr Millis kReturnLook{50};

}  // namespace

EndpointDirectory::EndpointDirectory(MonotonicClock clock, Millis leave_limit)
    : clock_(std::move(clock)),
      closed_(clock_),
      lapse_grace_(std::max(Millis(0), leave_limit - kMaxDispatchTime)) {}

bool EndpointDirectory::Upsert(const EndpointRecord& record) {
  Entry& entry = entries_[record.id];
  const bool is_new = entry.record.id.value.empty();
  if (!is_new && record.revision < entry.record.revision) {
    return false;
  }
  if (record.draining) {
    RememberLeaving(record.id, record.incarnation);
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

bool EndpointDirectory::RememberLeaving(
    const EndpointId& id,
    const std::optional<EndpointIncarnation>& incarnation) {
  if (HasAnnouncedLeave(id, incarnation)) {
    return false;
  }
  leaving_[id] = LeavingLife{incarnation, clock_()};
  return true;
}

bool EndpointDirectory::MarkLeaving(
    const EndpointId& id,
    const std::optional<EndpointIncarnation>& incarnation) {
  if (!RememberLeaving(id, incarnation)) {
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
  return Drop(id, std::nullopt) == RemovalResult::kDeparted;
}

RemovalResult EndpointDirectory::Remove(const EndpointId& id,
                                        StoreRevision revision) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || revision < found->second.record.revision) {
    return RemovalResult::kIgnored;
  }
  const TimePoint now = clock_();
  const bool left_after_return =
      !lost_since_.has_value() && back_revision_ < revision;
  if (left_after_return || !MayHaveLapsed(now)) {
    return Drop(id, std::nullopt);
  }
  return Drop(id, now + lapse_grace_);
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
    use_until = now + lapse_grace_;
  } else if (missing.size() * kLapseShare > entries_.size()) {
    // They may have gone at any time since the last that this host heard.
    use_until = complete_before_ + lapse_grace_;
  }
  ListingChange change;
  for (const EndpointId& id : missing) {
    const bool departed = Drop(id, use_until) == RemovalResult::kDeparted;
    ++(departed ? change.departed : change.may_have_lapsed);
  }
  return change;
}

void EndpointDirectory::OnStoreUnreachable(Millis unheard) {
  if (!lost_since_.has_value()) {
    lost_since_ = clock_() - unheard;
  }
}

void EndpointDirectory::OnStoreSynced(StoreRevision at, Millis age) {
  const TimePoint now = clock_();
  complete_before_ = complete_at_;
  complete_at_ = std::max(complete_at_, now - age);
  if (!lost_since_.has_value()) {
    return;
  }
  if (now - *lost_since_ >= kMinOutageForLapse) {
    back_at_ = now;
    back_revision_ = at;
  }
  lost_since_.reset();
}

std::vector<ExpiredEndpoint> EndpointDirectory::RemoveExpired() {
  std::vector<ExpiredEndpoint> dropped;
  const TimePoint now = clock_();
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto& missing = it->second.missing;
    // Whatever the source does meanwhile: while it was lost, or came and went,
    // endpoints that had left were used for as long as that lasted.
    if (missing.has_value() && now >= missing->use_until) {
      dropped.push_back(ExpiredEndpoint{
          it->first, std::chrono::duration_cast<Millis>(now - missing->since)});
      it = entries_.erase(it);
      stale_index_ = true;
    } else {
      ++it;
    }
  }
  SweepLeaving(now);
  return dropped;
}

void EndpointDirectory::SweepLeaving(TimePoint now) {
  for (auto it = leaving_.begin(); it != leaving_.end();) {
    if (entries_.count(it->first) != 0) {
      it->second.noted = now;
    }
    const bool is_old = now - it->second.noted >= kLeavingRetention;
    it = is_old ? leaving_.erase(it) : std::next(it);
  }
}

bool EndpointDirectory::DrainDataCentre(const DrainedDataCentre& order) {
  stale_index_ = true;
  return closed_.Drain(order);
}

bool EndpointDirectory::RestoreDataCentre(const DataCentreId& id,
                                          StoreRevision revision) {
  stale_index_ = true;
  return closed_.Restore(id, revision);
}

DrainChange EndpointDirectory::ReplaceDrained(
    const std::vector<DrainedDataCentre>& orders, StoreRevision at) {
  stale_index_ = true;
  return closed_.ReplaceAll(orders, at);
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
  // A host that nobody told for a moment, and that the source answers at its
  // first call, has missed no lapse. Taken for one, a departure kept its
  // endpoint in use for 3.0 s.
  if (lost_since_.has_value() && now - *lost_since_ >= kMinOutageForLapse) {
    return true;
  }
  return back_at_.has_value() && now < *back_at_ + kPostOutageWindow;
}

RemovalResult EndpointDirectory::Drop(const EndpointId& id,
                                      std::optional<TimePoint> use_until) {
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
  return !record.draining && !closed_.IsDrained(record.data_centre);
}

void EndpointDirectory::Rebuild() const {
  usable_.clear();
  std::unordered_map<ServiceName, std::vector<const EndpointRecord*>> returning;
  for (const auto& [id, entry] : entries_) {
    const EndpointRecord& record = entry.record;
    if (TakesWork(record)) {
      const bool returns = closed_.IsRampingUp(record.data_centre, id);
      (returns ? returning : usable_)[record.service].push_back(&record);
    }
  }
  // Where a service has no others they are needed at once.
  for (auto& [service, endpoints] : returning) {
    if (usable_.count(service) == 0) {
      usable_[service] = std::move(endpoints);
    }
  }
  stale_index_ = false;
  rebuild_at_ =
      closed_.AnyRampingUp() ? clock_() + kReturnLook : TimePoint::max();
}

}  // namespace harecrank
