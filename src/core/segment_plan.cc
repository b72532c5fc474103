#include "harecrank/core/segment_plan.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Returns the room for prompt tokens at member `index` of `count`.
std::int64_t Room(const std::vector<SegmentCandidate>& members,
                  std::size_t index, std::size_t count, Tokens answer) {
  const std::int64_t room = members[index].free_memory.value;
  return index + 1 == count ? room - answer.value : room;
}

// Spreads `prompt` evenly under each member's room. Returns nothing if the
// rooms together are too small.
std::optional<std::vector<std::int64_t>> Spread(
    std::int64_t prompt, const std::vector<std::int64_t>& rooms) {
  std::vector<std::int64_t> parts(rooms.size(), 0);
  std::vector<std::size_t> by_room(rooms.size());
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    by_room[i] = i;
  }
  std::sort(by_room.begin(), by_room.end(),
            [&](std::size_t a, std::size_t b) { return rooms[a] < rooms[b]; });
  // The smallest room is filled first; what it cannot take falls to the rest.
  std::int64_t left = prompt;
  for (std::size_t i = 0; i < by_room.size(); ++i) {
    const auto sharers = static_cast<std::int64_t>(by_room.size() - i);
    const std::int64_t even = (left + sharers - 1) / sharers;
    const std::int64_t part = std::min(even, rooms[by_room[i]]);
    if (part <= 0) {
      return std::nullopt;
    }
    parts[by_room[i]] = part;
    left -= part;
  }
  if (left > 0) {
    return std::nullopt;
  }
  return parts;
}

std::vector<Segment> ToSegments(const std::vector<SegmentCandidate>& members,
                                const std::vector<std::int64_t>& parts,
                                Tokens answer) {
  std::vector<Segment> segments;
  Tokens begin;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const Tokens length{parts[i]};
    const bool last = i + 1 == parts.size();
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
    std::vector<std::int64_t> rooms;
    for (std::size_t i = 0; i < count; ++i) {
      rooms.push_back(Room(candidates, i, count, answer));
    }
    const auto parts = Spread(prompt.value, rooms);
    if (parts) {
      return ToSegments(candidates, *parts, answer);
    }
  }
  return std::nullopt;
}

}  // namespace harecrank
