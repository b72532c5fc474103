#include "src/gateway/settings_views.h"

#include <algorithm>

namespace harecrank {
namespace {

// Number of file descriptors that are reserved for other purposes than callers'
// connections: files, listening sockets, and connections to endpoints.
constexpr std::size_t kReservedDescriptors = 1200;
constexpr std::size_t kMinSessions = 256;
// Of few descriptors callers get this fraction, and each port for short
// requests the other one.
constexpr std::size_t kSessionFraction = 2;
constexpr std::size_t kShortFraction = 8;
constexpr std::size_t kMinShortConnections = 16;
// Requests and answers may occupy this fraction of the memory. They may be in
// memory twice for a moment, and the rest of the process needs the other half.
constexpr std::size_t kBodyFraction = 4;
constexpr std::size_t kBytesPerMb = 1000000;

}  // namespace

std::size_t MaxSessions(std::size_t descriptors) {
  return descriptors > kReservedDescriptors + kMinSessions
             ? descriptors - kReservedDescriptors
             : std::min(kMinSessions, std::max<std::size_t>(
                                          1, descriptors / kSessionFraction));
}

std::size_t MaxShortConnections(std::size_t descriptors) {
  return std::max(kMinShortConnections, descriptors / kShortFraction);
}

std::optional<std::size_t> MaxBodyBytes(std::size_t memory_mb) {
  if (memory_mb == 0) {
    return std::nullopt;
  }
  return memory_mb * kBytesPerMb / kBodyFraction;
}

KnownHost Self(const GatewaySettings& settings) {
  return KnownHost{HostAddress{settings.operations_address},
                   CpuShare{settings.power}};
}

bool IsSeed(const GatewaySettings& settings) {
  const std::vector<std::string>& seeds = settings.seed_peers;
  return seeds.empty() || std::find(seeds.begin(), seeds.end(),
                                    settings.operations_address) != seeds.end();
}

std::vector<HostAddress> Addresses(const std::vector<std::string>& texts) {
  std::vector<HostAddress> addresses;
  addresses.reserve(texts.size());
  for (const std::string& text : texts) {
    addresses.push_back(HostAddress{text});
  }
  return addresses;
}

}  // namespace harecrank
