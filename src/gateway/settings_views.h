// What a gateway works out from its settings.

#ifndef HARECRANK_SRC_GATEWAY_SETTINGS_VIEWS_H_
#define HARECRANK_SRC_GATEWAY_SETTINGS_VIEWS_H_

#include <string>
#include <vector>

#include "harecrank/core/fleet_messages.h"
#include "src/adapters/settings.h"

namespace harecrank {

// Returns how many callers' connections fit into `descriptors`.
std::size_t MaxSessions(std::size_t descriptors);

// Returns this host as others know it.
KnownHost Self(const GatewaySettings& settings);

// Returns whether other hosts turn to this one first.
bool IsSeed(const GatewaySettings& settings);

std::vector<HostAddress> Addresses(const std::vector<std::string>& texts);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SETTINGS_VIEWS_H_
