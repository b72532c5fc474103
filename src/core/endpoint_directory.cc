#include "harecrank/core/endpoint_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace harecrank {
namespace {

// A listing in which more than one entry in this many is missing at once is
// taken for a lapse and not for departures, which come one by one.
constexpr std::size_t kLapseShare = 3;

}  // namespace

EndpointDirectory::EndpointDirectory(MonotonicClock clock)
    : clock_(std::move(clock)) {}

bool EndpointDirectory::Upsert(const EndpointRecord& record) {
  Entry& entry = entries_[record.id];
  const bool is_new = entry.record.id.value.empty();
  if (!is_new && record.revision < entry.record.revision) {
    return false;
  }
  const bool changed = is_new || entry.dropped_at.has_value() ||
                       entry.record.draining != record.draining ||
                       entry.record.address != record.address;
  entry.record = record;
  entry.dropped_at.reset();
  stale_index_ = stale_index_ || changed;
  return changed;
}

Absence EndpointDirectory::Remove(const EndpointId& id,
                                  StoreRevision revision) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || revision < found->second.record.revision) {
    return Absence::kNotHeld;
  }
  const bool left_after_return =
      !source_lost_ && source_back_revision_ < revision;
  return Drop(id, left_after_return || SourceIsCalm(clock_()));
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
  const bool departures =
      SourceIsCalm(clock_()) && missing.size() * kLapseShare <= entries_.size();
  ListingChange change;
  for (const EndpointId& id : missing) {
    const bool departed = Drop(id, departures) == Absence::kDeparted;
    ++(departed ? change.departed : change.may_have_lapsed);
  }
  return change;
}

void EndpointDirectory::OnSourceLost() { source_lost_ = true; }

void EndpointDirectory::OnSourceBack(StoreRevision at) {
  if (source_lost_) {
    source_lost_ = false;
    source_back_revision_ = at;
    source_back_at_ = clock_();
  }
}

std::vector<DroppedEndpoint> EndpointDirectory::DropLapsed() {
  std::vector<DroppedEndpoint> dropped;
  if (source_lost_) {
    return dropped;
  }
  const TimePoint now = clock_();
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto& dropped_at = it->second.dropped_at;
    if (dropped_at.has_value() &&
        now >= std::max(*dropped_at, source_back_at_) + kLapseGrace) {
      dropped.push_back(DroppedEndpoint{
          it->first, std::chrono::duration_cast<Millis>(now - *dropped_at)});
      it = entries_.erase(it);
      stale_index_ = true;
    } else {
      ++it;
    }
  }
  return dropped;
}

const std::vector<const EndpointRecord*>& EndpointDirectory::UsableOf(
    const ServiceName& service) const {
  if (stale_index_) {
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

std::optional<Millis> EndpointDirectory::MissingFor(
    const EndpointId& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.dropped_at.has_value()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(clock_() -
                                            *found->second.dropped_at);
}

std::size_t EndpointDirectory::MissingCount() const {
  const auto is_missing = [](const auto& item) {
    return item.second.dropped_at.has_value();
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

bool EndpointDirectory::SourceIsCalm(TimePoint now) const {
  return !source_lost_ && now >= source_back_at_ + kCalmAfter;
}

Absence EndpointDirectory::Drop(const EndpointId& id, bool at_once) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return Absence::kNotHeld;
  }
  if (at_once) {
    entries_.erase(found);
    stale_index_ = true;
    return Absence::kDeparted;
  }
  if (!found->second.dropped_at.has_value()) {
    found->second.dropped_at = clock_();
  }
  return Absence::kMayHaveLapsed;
}

void EndpointDirectory::Rebuild() const {
  usable_.clear();
  for (const auto& [id, entry] : entries_) {
    if (!entry.record.draining) {
      usable_[entry.record.service].push_back(&entry.record);
    }
  }
  stale_index_ = false;
}

}  // namespace harecrank
