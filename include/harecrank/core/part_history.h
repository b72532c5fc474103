// Remembers how often prompts with a given part were sent, and when an endpoint
// last answered one and lived.

#ifndef HARECRANK_CORE_PART_HISTORY_H_
#define HARECRANK_CORE_PART_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "harecrank/core/clock.h"
#include "harecrank/core/prompt_parts.h"

namespace harecrank {

// The sendings and sound answers of parts. An answer is sound if its endpoint
// either completed it or continued it for so long that it did not crash on it.
// Callers choose the names of parts, so the table is bounded: it forgets the
// names that were used least recently. Not thread-safe.
class PartHistory {
 public:
  // Records that a prompt with `part` was sent to an endpoint.
  void OnSent(PromptPartId part) { ++Entry(part)->sent; }
  // Records a sound answer that began at `began`. Earlier begins have no
  // effect.
  void OnSound(PromptPartId part, TimePoint began);

  // Returns the number of sendings that are remembered.
  std::uint64_t SentCount(PromptPartId part) const;
  // Returns the begin of the last sound answer; nothing if there was none, or
  // if it has been forgotten.
  std::optional<TimePoint> LastSound(PromptPartId part) const;

  std::size_t Count() const { return recent_.size() + older_.size(); }

  // The table holds at most two times as many parts. An entry takes some 60
  // bytes.
  static constexpr std::size_t kGenerationSize = 1024;

 private:
  struct Record {
    std::uint64_t sent = 0;
    std::optional<TimePoint> last_sound;
  };
  using Generation = std::unordered_map<PromptPartId, Record>;

  // Returns the record of `part`, which is created or moved to `recent_`.
  Record* Entry(PromptPartId part);
  const Record* Find(PromptPartId part) const;

  // When `recent_` is full it becomes `older_`, whose records are forgotten.
  Generation recent_;
  Generation older_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PART_HISTORY_H_
