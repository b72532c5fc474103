#include "harecrank/core/lease_table.h"

#include <utility>

namespace harecrank {

LeaseTable::LeaseTable(Tokens capacity, MonotonicClock clock)
    : capacity_(capacity), clock_(std::move(clock)) {}

boost::leaf::result<LeaseId> LeaseTable::Acquire(Tokens amount, Millis duration,
                                                 Tokens headroom) {
  const Tokens available = Available();
  if (available < amount + headroom) {
    return boost::leaf::new_error(LeaseError{OutOfMemory{available}});
  }
  held_ = held_ + amount;
  const LeaseId id{next_id_++};
  leases_.emplace(id, Lease{amount, clock_() + duration});
  return id;
}

boost::leaf::result<void> LeaseTable::Renew(LeaseId id, Millis duration) {
  // Expired leases must not be renewed: a holder that was suspended past the
  // end of its lease must get an error here, before it uses the memory.
  DropExpired();
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return boost::leaf::new_error(LeaseError{UnknownLease{id}});
  }
  found->second.end = clock_() + duration;
  return {};
}

void LeaseTable::Release(LeaseId id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return;
  }
  held_ = held_ - found->second.amount;
  leases_.erase(found);
}

std::vector<LeaseId> LeaseTable::DropExpired() {
  const auto now = clock_();
  std::vector<LeaseId> ended;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.end > now) {
      ++lease;
      continue;
    }
    ended.push_back(lease->first);
    held_ = held_ - lease->second.amount;
    lease = leases_.erase(lease);
  }
  return ended;
}

void LeaseTable::SetCapacity(Tokens capacity) { capacity_ = capacity; }

Tokens LeaseTable::Available() {
  DropExpired();
  return capacity_ - held_;
}

}  // namespace harecrank
