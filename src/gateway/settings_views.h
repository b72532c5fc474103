// Values that a gateway derives from its settings.

#ifndef HARECRANK_SRC_GATEWAY_SETTINGS_VIEWS_H_
#define HARECRANK_SRC_GATEWAY_SETTINGS_VIEWS_H_

#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/fleet_messages.h"
#include "src/adapters/settings.h"

namespace harecrank {

// Returns the maximum number of callers' connections for a process that may
// open `descriptors` file descriptors.
std::size_t MaxSessions(std::size_t descriptors);

// Returns the maximum number of connections at each of the ports that answer
// short requests, for the same process.
std::size_t MaxShortConnections(std::size_t descriptors);

// Returns how many bytes requests and answers may occupy in a process that may
// use `memory_mb` units of 10^6 bytes; nothing if that is zero: no limit.
std::optional<std::size_t> MaxBodyBytes(std::size_t memory_mb);

// Returns this host's address and CPU share as other hosts see them.
KnownHost Self(const GatewaySettings& settings);

// Returns whether this host is a seed, which other hosts contact first to find
// the fleet. Also true if no seeds are configured.
bool IsSeed(const GatewaySettings& settings);

// Converts addresses of hosts from settings.
std::vector<HostAddress> Addresses(const std::vector<std::string>& texts);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SETTINGS_VIEWS_H_
