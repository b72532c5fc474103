// Leases on the KV memory of one engine.
//
// Leases expire, so that memory is freed even if its holder fails or does not
// release it.

#ifndef HARECRANK_CORE_LEASE_TABLE_H_
#define HARECRANK_CORE_LEASE_TABLE_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Identifies one lease. Ids are not reused until the process restarts.
using LeaseId = StrongNumber<struct LeaseTag, std::uint64_t>;

// Reasons for which an operation of LeaseTable fails.
struct OutOfMemory {
  Tokens available;
};
struct UnknownLease {
  LeaseId id;
};
using LeaseError = std::variant<OutOfMemory, UnknownLease>;

// Grants time-limited leases on the KV memory of one engine and keeps account
// of the free memory. Not thread-safe; the owner serialises calls.
class LeaseTable {
 public:
  // `capacity` must not be negative. `clock` is called on every operation.
  LeaseTable(Tokens capacity, MonotonicClock clock);

  // Leases `amount` for `duration`; the lease may be renewed or released before
  // it expires. Fails with OutOfMemory and leases nothing if less than
  // `headroom` would then remain free.
  boost::leaf::result<LeaseId> Acquire(Tokens amount, Millis duration,
                                       Tokens headroom = Tokens{0});

  // Extends a live lease to `duration` from now. Fails with UnknownLease if the
  // lease has expired; the holder must then no longer use the memory.
  boost::leaf::result<void> Renew(LeaseId id, Millis duration);

  // Releases a lease. Does nothing if it has expired.
  void Release(LeaseId id);

  // Removes the expired leases that are still in the table and returns their
  // ids. Other operations also remove expired leases.
  std::vector<LeaseId> DropExpired();

  // Returns whether a lease is in the table. Expired leases are included until
  // DropExpired removes them.
  bool Holds(LeaseId id) const { return leases_.count(id) > 0; }

  // Changes the capacity. Live leases keep their memory.
  void SetCapacity(Tokens capacity);

  // Returns the memory that no live lease holds. Negative if the capacity was
  // reduced below the leased amount.
  Tokens Available();
  Tokens Capacity() const { return capacity_; }
  std::size_t Count() const { return leases_.size(); }

 private:
  // A granted lease that is still in the table.
  struct Lease {
    Tokens amount;
    // When the lease expires.
    TimePoint end;
  };

  Tokens capacity_;
  // Sum of the amounts of all leases in the table.
  Tokens held_;
  MonotonicClock clock_;
  std::uint64_t next_id_ = 1;
  std::map<LeaseId, Lease> leases_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_LEASE_TABLE_H_
