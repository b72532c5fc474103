// A value that many threads read and few replace.

#ifndef HARECRANK_CORE_RCU_CELL_H_
#define HARECRANK_CORE_RCU_CELL_H_

#include <urcu-bp.h>

#include <memory>
#include <utility>

namespace harecrank {

// Holds a shared, immutable value under read-copy-update.
//
// A reader never waits, whatever a writer does. Writers wait for readers to
// leave and must be serialised by their owner.
template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::shared_ptr<const T> value)
      : current_(new Holder(std::move(value))) {}
  ~RcuCell() { delete current_; }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Returns the present value, which stays whole for as long as it is held.
  std::shared_ptr<const T> Load() const {
    urcu_bp_read_lock();
    std::shared_ptr<const T> value = *rcu_dereference(current_);
    urcu_bp_read_unlock();
    return value;
  }

  // Replaces the value and returns once no reader can still take the old one.
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
