#include "harecrank/core/model_orders.h"

#include <algorithm>

namespace harecrank {
namespace {

void AddAdapterOrders(const std::string& name, const v1::Model& wanted,
                      const LoadedModel& loaded,
                      std::vector<EngineOrder>* orders) {
  for (const auto& [adapter, settings] : wanted.adapters()) {
    const auto held = loaded.adapters.find(adapter);
    if (held == loaded.adapters.end() || held->second != settings.version()) {
      orders->push_back(
          LoadAdapter{ModelId{name}, AdapterName{adapter}, settings.version()});
    }
  }
}

}  // namespace

std::vector<EngineOrder> PlanOrders(
    const Configuration& configuration, const EndpointId& self,
    const std::map<std::string, LoadedModel>& loaded) {
  std::vector<EngineOrder> orders;
  const v1::Endpoint* endpoint = configuration.FindEndpoint(self);
  if (endpoint == nullptr || !endpoint->has_engine()) {
    return orders;
  }
  const auto& models = endpoint->engine().models();
  for (const auto& held : loaded) {
    if (std::find(models.begin(), models.end(), held.first) == models.end()) {
      orders.push_back(UnloadModel{ModelId{held.first}});
    }
  }
  for (const std::string& name : models) {
    const v1::Model& wanted = configuration.GetDocument().models().at(name);
    const auto held = loaded.find(name);
    const bool same =
        held != loaded.end() && held->second.version == wanted.version();
    if (!same) {
      orders.push_back(LoadModel{ModelId{name}, wanted.version()});
    }
    AddAdapterOrders(name, wanted, same ? held->second : LoadedModel(),
                     &orders);
  }
  return orders;
}

}  // namespace harecrank
