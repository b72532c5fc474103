// Which beginnings of prompts this host has seen of late.

#ifndef HARECRANK_CORE_RECENT_PREFIXES_H_
#define HARECRANK_CORE_RECENT_PREFIXES_H_

#include <array>
#include <atomic>
#include <cstdint>

namespace harecrank {

// Remembers digests in a fixed table in which a new one replaces whatever had
// its place. Thread-safe and lock-free.
//
// Only a beginning that came before can be in an engine's prefix cache. One
// that is new goes wherever there is least work.
class RecentPrefixes {
 public:
  // Returns whether `digest` was noted before and not replaced since, and notes
  // it. A digest of zero is never seen.
  bool TestAndInsert(std::uint64_t digest) {
    std::atomic<std::uint64_t>& place = places_[digest % kPlaces];
    return place.exchange(digest, std::memory_order_relaxed) == digest &&
           digest != 0;
  }

 private:
  static constexpr std::size_t kPlaces = 8191;

  std::array<std::atomic<std::uint64_t>, kPlaces> places_{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RECENT_PREFIXES_H_
