#include "harecrank/core/segment_plan.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Returns how many prompt tokens member `index` of `count` can hold. The last
// member also holds the answer.
std::int64_t Capacity(const std::vector<SegmentCandidate>& members,
                      std::size_t index, std::size_t count, Tokens answer) {
  const std::int64_t capacity = members[index].free_memory.value;
  return index + 1 == count ? capacity - answer.value : capacity;
}

// Splits `prompt` tokens among the members as evenly as their capacities allow,
// and returns the number of tokens of each. Returns nothing if the capacities
// are too small in total, or if a member would get no tokens.
std::optional<std::vector<std::int64_t>> SplitEvenly(
    std::int64_t prompt, const std::vector<std::int64_t>& capacities) {
  std::vector<std::int64_t> lengths(capacities.size(), 0);
  std::vector<std::size_t> by_capacity(capacities.size());
  for (std::size_t i = 0; i < capacities.size(); ++i) {
    by_capacity[i] = i;
  }
  std::sort(by_capacity.begin(), by_capacity.end(),
            [&](std::size_t a, std::size_t b) {
              return capacities[a] < capacities[b];
            });
  // Members are assigned tokens in ascending order of capacity. Each gets an
  // even share of the remaining tokens, or fewer if its capacity is smaller;
  // the members after it share the rest.
  std::int64_t remaining = prompt;
  for (std::size_t i = 0; i < by_capacity.size(); ++i) {
    const auto members_left = static_cast<std::int64_t>(by_capacity.size() - i);
    const std::int64_t even_part =
        (remaining + members_left - 1) / members_left;
    const std::int64_t length = std::min(even_part, capacities[by_capacity[i]]);
    if (length <= 0) {
      return std::nullopt;
    }
    lengths[by_capacity[i]] = length;
    remaining -= length;
  }
  if (remaining > 0) {
    return std::nullopt;
  }
  return lengths;
}

std::vector<Segment> ToSegments(const std::vector<SegmentCandidate>& members,
                                const std::vector<std::int64_t>& lengths,
                                Tokens answer) {
  std::vector<Segment> segments;
  Tokens begin;
  for (std::size_t i = 0; i < lengths.size(); ++i) {
    const Tokens length{lengths[i]};
    const bool last = i + 1 == lengths.size();
    segments.push_back(
        Segment{members[i].id, begin, length, last ? length + answer : length});
    begin = begin + length;
  }
  return segments;
}

}  // namespace

std::optional<std::vector<Segment>> PlanSegments(
    Tokens prompt, Tokens answer, std::vector<SegmentCandidate> candidates,
    std::size_t min_members) {
  std::sort(candidates.begin(), candidates.end(),
            [](const SegmentCandidate& a, const SegmentCandidate& b) {
              return a.free_memory != b.free_memory
                         ? b.free_memory < a.free_memory
                         : a.id < b.id;
            });
  const std::size_t first =
      std::min(std::max<std::size_t>(min_members, 1), candidates.size());
  for (std::size_t count = std::max<std::size_t>(first, 1);
       count <= candidates.size(); ++count) {
    std::vector<std::int64_t> capacities;
    for (std::size_t i = 0; i < count; ++i) {
      capacities.push_back(Capacity(candidates, i, count, answer));
    }
    const auto lengths = SplitEvenly(prompt.value, capacities);
    if (lengths) {
      return ToSegments(candidates, *lengths, answer);
    }
  }
  return std::nullopt;
}

}  // namespace harecrank
