// Changes bytes at random, for seeded fuzzing of what reads bytes.

#ifndef HARECRANK_TESTING_BYTE_MUTATOR_H_
#define HARECRANK_TESTING_BYTE_MUTATOR_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace harecrank::testing {

// The same seed makes the same changes.
class ByteMutator {
 public:
  explicit ByteMutator(std::uint64_t seed) : random_(seed) {}

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }

  // Returns one of `samples` with up to eight changes: bytes replaced, removed,
  // inserted or repeated, ends cut off, and pieces of other samples.
  std::string Mutate(const std::vector<std::string>& samples) {
    std::string bytes = samples[Draw(samples.size())];
    constexpr std::uint64_t kMaxChanges = 8;
    for (std::uint64_t left = 1 + Draw(kMaxChanges); left > 0; --left) {
      Change(samples, &bytes);
    }
    return bytes;
  }

 private:
  void Change(const std::vector<std::string>& samples, std::string* bytes) {
    const std::size_t at = Draw(bytes->size() + 1);
    const std::size_t size = Draw(16);
    switch (Draw(6)) {
      case 0:
        if (at < bytes->size()) {
          (*bytes)[at] = static_cast<char>(Draw(256));
        }
        break;
      case 1:
        bytes->erase(at, size);
        break;
      case 2:
        bytes->insert(at, size, static_cast<char>(Draw(256)));
        break;
      case 3:
        bytes->insert(at, bytes->substr(at, size));
        break;
      case 4:
        bytes->resize(at);
        break;
      default: {
        const std::string& other = samples[Draw(samples.size())];
        bytes->insert(at, other.substr(Draw(other.size() + 1), size));
        break;
      }
    }
  }

  std::mt19937_64 random_;
};

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_BYTE_MUTATOR_H_
