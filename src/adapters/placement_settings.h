// Reads the placement parameters from the settings.

#ifndef HARECRANK_SRC_ADAPTERS_PLACEMENT_SETTINGS_H_
#define HARECRANK_SRC_ADAPTERS_PLACEMENT_SETTINGS_H_

#include "harecrank/core/placement_policy.h"
#include "src/adapters/settings_reader.h"

namespace harecrank {

// Reads the parameters that `reader` has into `policy`, and leaves the others
// as they are.
void ReadPlacementPolicy(SettingsReader* reader, PlacementPolicy* policy);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_PLACEMENT_SETTINGS_H_
