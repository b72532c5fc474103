#include "src/adapters/allocator.h"

#include <malloc.h>

namespace harecrank {
namespace {

// Size in bytes from which on a block is large.
constexpr int kLargeBlockBytes = 256 << 10;

}  // namespace

void ReturnLargeBlocksToSystem() {
  // Setting the threshold also keeps it from growing with each block that is
  // freed. A failure costs memory only.
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
}

}  // namespace harecrank
