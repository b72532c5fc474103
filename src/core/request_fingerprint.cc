#include "harecrank/core/request_fingerprint.h"

#include <xxhash.h>

#include <iomanip>
#include <memory>
#include <sstream>

namespace harecrank {
namespace {

struct StateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

// Adds `text` to the hash, preceded by its length, so that the texts "ab" and
// "c" hash differently from "a" and "bc".
void Add(XXH3_state_t* state, std::string_view text) {
  const std::uint64_t size = text.size();
  XXH3_128bits_update(state, &size, sizeof(size));
  XXH3_128bits_update(state, text.data(), text.size());
}

}  // namespace

RequestFingerprint FingerprintOf(const FingerprintParts& parts) {
  const std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
  XXH3_128bits_reset(state.get());
  Add(state.get(), parts.method);
  Add(state.get(), parts.target);
  Add(state.get(), parts.body);
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return RequestFingerprint{parts.account, hash.high64, hash.low64};
}

std::string LogName(const RequestFingerprint& request) {
  constexpr int kDigits = 16;
  std::ostringstream text;
  text << std::hex << std::setw(kDigits) << std::setfill('0') << request.high;
  return text.str();
}

}  // namespace harecrank
