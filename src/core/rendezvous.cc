#include "harecrank/core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace harecrank {

std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& member) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

std::vector<std::string> RendezvousTop(const std::string& key,
                                       std::vector<std::string> members,
                                       std::size_t count) {
  struct Ranked {
    std::uint64_t weight;
    std::string member;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(members.size());
  for (std::string& member : members) {
    const std::uint64_t weight = RendezvousWeight(key, member);
    ranked.push_back(Ranked{weight, std::move(member)});
  }
  const std::size_t kept = std::min(count, ranked.size());
  const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(ranked.begin(), middle, ranked.end(),
                    [](const Ranked& a, const Ranked& b) {
                      return a.weight != b.weight ? a.weight > b.weight
                                                  : a.member < b.member;
                    });
  std::vector<std::string> top;
  for (std::size_t i = 0; i < kept; ++i) {
    top.push_back(std::move(ranked[i].member));
  }
  return top;
}

}  // namespace harecrank
