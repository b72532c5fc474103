// Rendezvous hashing: all processes that know the same members rank them in the
// same way for a key, and adding or removing a member does not change the order
// of the others.

#ifndef HARECRANK_CORE_RENDEZVOUS_H_
#define HARECRANK_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace harecrank {

// Returns the weight of `member` for `key`, a hash of both. All processes
// compute the same weight.
std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& member);

// Returns the `count` members of greatest weight for `key`, greatest first, or
// all of them if there are fewer.
std::vector<std::string> RendezvousTop(const std::string& key,
                                       std::vector<std::string> members,
                                       std::size_t count);

}  // namespace harecrank

#endif  // HARECRANK_CORE_RENDEZVOUS_H_
