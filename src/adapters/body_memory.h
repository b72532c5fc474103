// Limits the memory that the bodies of requests occupy in a process with many
// threads.

#ifndef HARECRANK_SRC_ADAPTERS_BODY_MEMORY_H_
#define HARECRANK_SRC_ADAPTERS_BODY_MEMORY_H_

#include <atomic>
#include <cstddef>

namespace harecrank {

// The bytes that may be held at once. Thread-safe.
class BodyMemory {
 public:
  // What one holder holds, until it is destroyed. Must not outlive the budget.
  class Holding {
   public:
    explicit Holding(BodyMemory* budget) : budget_(budget) {}
    ~Holding() { budget_->held_ -= bytes_; }
    Holding(const Holding&) = delete;
    Holding& operator=(const Holding&) = delete;

    // Holds `bytes` in all. Returns false, and holds what it held before, if
    // they do not fit. The last quarter of the limit is left for small
    // holdings.
    bool TryResize(std::size_t bytes);
    std::size_t Bytes() const { return bytes_; }

   private:
    BodyMemory* budget_;
    std::size_t bytes_ = 0;
  };

  explicit BodyMemory(std::size_t limit) : limit_(limit) {}

  std::size_t Held() const { return held_.load(); }

  // Holdings up to this size, in bytes, are small.
  static constexpr std::size_t kSmallBytes = 64U << 10U;

 private:
  std::size_t limit_;
  std::atomic<std::size_t> held_{0};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_BODY_MEMORY_H_
