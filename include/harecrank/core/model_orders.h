// Which orders bring an engine to what the configuration wants of it.

#ifndef HARECRANK_CORE_MODEL_ORDERS_H_
#define HARECRANK_CORE_MODEL_ORDERS_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/configuration.h"

namespace harecrank {

// A model that an engine holds.
struct LoadedModel {
  std::string version;
  // Versions of its adapters, by name.
  std::map<std::string, std::string> adapters;
};

// Orders to an engine. Each carries the revision it follows from as its fence.
struct LoadModel {
  ModelId model;
  std::string version;
};
struct UnloadModel {
  ModelId model;
};
struct LoadAdapter {
  ModelId model;
  AdapterName adapter;
  std::string version;
};
using EngineOrder = std::variant<LoadModel, UnloadModel, LoadAdapter>;

// Returns the orders, in the order to give them, that bring the engine `self`
// from `loaded` to what `configuration` wants. What is no longer wanted goes
// first, so that its memory is free.
std::vector<EngineOrder> PlanOrders(
    const Configuration& configuration, const EndpointId& self,
    const std::map<std::string, LoadedModel>& loaded);

}  // namespace harecrank

#endif  // HARECRANK_CORE_MODEL_ORDERS_H_
