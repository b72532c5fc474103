// Tracks which prompt prefixes this host has seen in recent requests.

#ifndef HARECRANK_CORE_RECENT_PREFIXES_H_
#define HARECRANK_CORE_RECENT_PREFIXES_H_

#include <array>
#include <atomic>
#include <cstdint>

namespace harecrank {

// A fixed-size set of digests of prompt prefixes. Each digest belongs to one
// slot and replaces the previous digest there. Thread-safe and lock-free.
//
// Only a prefix that was seen before can be in an engine's prefix cache.
// Requests with a new prefix are sent to the least loaded engine.
class RecentPrefixes {
 public:
  // Inserts `digest` and returns whether it was in the set before. Zero stands
  // for a missing digest; the result is then always false.
  bool TestAndInsert(std::uint64_t digest) {
    std::atomic<std::uint64_t>& slot = slots_[digest % kSlots];
    return slot.exchange(digest, std::memory_order_relaxed) == digest &&
           digest != 0;
  }

 private:
  static constexpr std::size_t kSlots = 8191;

  std::array<std::atomic<std::uint64_t>, kSlots> slots_{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RECENT_PREFIXES_H_
