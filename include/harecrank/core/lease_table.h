// Leases on the KV memory of one engine.
//
// A lease ends by itself: memory that its holder forgot, or that belonged to a
// holder that died, comes back without anyone having to ask for it.

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

// Names one lease. Never reused within one incarnation of a process.
using LeaseId = StrongNumber<struct LeaseTag, std::uint64_t>;

// Why the table refused to act.
struct OutOfMemory {
  Tokens available;
};
struct UnknownLease {
  LeaseId id;
};
using LeaseError = std::variant<OutOfMemory, UnknownLease>;

// Accounts for the memory of one engine as leases that end by themselves.
//
// Not thread-safe; its owner serialises calls.
class LeaseTable {
 public:
  // `capacity` must not be negative. `clock` is called on every operation.
  LeaseTable(Tokens capacity, MonotonicClock clock);

  // Takes `amount` until `duration` has passed, unless renewed or released
  // before, and leaves `headroom` free for others. Fails with OutOfMemory if
  // too little is free; then nothing is taken.
  boost::leaf::result<LeaseId> Acquire(Tokens amount, Millis duration,
                                       Tokens headroom = Tokens{0});

  // Moves the end of a live lease to `duration` from now. Fails with
  // UnknownLease if the lease has ended: the holder must not use the memory.
  boost::leaf::result<void> Renew(LeaseId id, Millis duration);

  // Gives a lease back. Releasing one that has ended does nothing.
  void Release(LeaseId id);

  // Drops the leases that have ended and returns their ids.
  std::vector<LeaseId> DropExpired();

  // Returns whether a lease is still in the table. DropExpired comes first
  // where it matters that its end has not passed.
  bool Holds(LeaseId id) const { return leases_.count(id) > 0; }

  // Changes the capacity. Live leases keep what they hold.
  void SetCapacity(Tokens capacity);

  // Returns the memory that no live lease holds. Negative after the capacity
  // shrank below what is held.
  Tokens Available();
  Tokens Capacity() const { return capacity_; }
  std::size_t Count() const { return leases_.size(); }

 private:
  struct Lease {
    Tokens amount;
    TimePoint end;
  };

  Tokens capacity_;
  Tokens held_;
  MonotonicClock clock_;
  std::uint64_t next_id_ = 1;
  std::map<LeaseId, Lease> leases_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_LEASE_TABLE_H_
