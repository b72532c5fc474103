// Computes the commands that make an engine load the models that the
// configuration assigns to it.

#ifndef HARECRANK_CORE_MODEL_ORDERS_H_
#define HARECRANK_CORE_MODEL_ORDERS_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/configuration.h"

namespace harecrank {

// A model that an engine has loaded.
struct LoadedModel {
  std::string version;
  // Versions of its loaded adapters, by name.
  std::map<std::string, std::string> adapters;
};

// Command to an engine: load a version of a model.
struct LoadModel {
  ModelId model;
  std::string version;
};
// Command to an engine: unload a model.
struct UnloadModel {
  ModelId model;
};
// Command to an engine: load a version of an adapter of a model.
struct LoadAdapter {
  ModelId model;
  AdapterName adapter;
  std::string version;
};
// A command to an engine. The sender adds the revision of the configuration
// that the command is based on as a fencing token, so that the engine can
// reject outdated commands.
using EngineOrder = std::variant<LoadModel, UnloadModel, LoadAdapter>;

// Returns the commands, in order of execution, that bring the engine `self`
// from `loaded` to the models and adapters that `configuration` assigns to it.
// Models that are no longer assigned are unloaded first to free their memory.
// Returns no commands if `self` is not an engine of `configuration`.
std::vector<EngineOrder> PlanOrders(
    const Configuration& configuration, const EndpointId& self,
    const std::map<std::string, LoadedModel>& loaded);

}  // namespace harecrank

#endif  // HARECRANK_CORE_MODEL_ORDERS_H_
