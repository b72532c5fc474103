// Rendezvous hashing: every process that knows the same members ranks them the
// same way for a key, and a member that comes or goes moves no other.

#ifndef HARECRANK_CORE_RENDEZVOUS_H_
#define HARECRANK_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace harecrank {

// Returns the weight of `member` for `key`. The same on every process.
std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& member);

// Returns the `count` members of greatest weight for `key`, greatest first, or
// all of them if there are fewer.
std::vector<std::string> RendezvousTop(const std::string& key,
                                       std::vector<std::string> members,
                                       std::size_t count);

}  // namespace harecrank

#endif  // HARECRANK_CORE_RENDEZVOUS_H_
