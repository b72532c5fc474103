// A shared value that is read often and replaced rarely.

#ifndef HARECRANK_CORE_RCU_CELL_H_
#define HARECRANK_CORE_RCU_CELL_H_

#include <urcu-bp.h>

#include <memory>
#include <utility>

namespace harecrank {

// Holds a pointer to an immutable value, protected by read-copy-update (RCU).
//
// Thread-safe for readers, which never block. A writer blocks until all readers
// that may use the previous value have left their critical sections. The owner
// must serialise writers.
template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::shared_ptr<const T> value)
      : current_(new Holder(std::move(value))) {}
  ~RcuCell() { delete current_; }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Returns the current value, which remains valid as long as the pointer is
  // held.
  std::shared_ptr<const T> Load() const {
    urcu_bp_read_lock();
    std::shared_ptr<const T> value = *rcu_dereference(current_);
    urcu_bp_read_unlock();
    return value;
  }

  // Replaces the value. Blocks until no reader can obtain the previous value
  // any more.
  void Store(std::shared_ptr<const T> value) {
    Holder* next = new Holder(std::move(value));
    Holder* previous = rcu_xchg_pointer(&current_, next);
    urcu_bp_synchronize_rcu();
    delete previous;
  }

 private:
  using Holder = std::shared_ptr<const T>;

  Holder* current_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RCU_CELL_H_
