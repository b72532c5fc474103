#include "src/adapters/body_memory.h"

namespace harecrank {

bool BodyMemory::Holding::TryResize(std::size_t bytes) {
  const std::size_t limit = bytes > kSmallBytes
                                ? budget_->limit_ - budget_->limit_ / 4
                                : budget_->limit_;
  // Unsigned numbers wrap back if `bytes` is less than before.
  const std::size_t held = budget_->held_ += bytes - bytes_;
  if (bytes > bytes_ && held > limit) {
    budget_->held_ -= bytes - bytes_;
    return false;
  }
  bytes_ = bytes;
  return true;
}

}  // namespace harecrank
