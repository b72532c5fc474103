#include "harecrank/core/model_orders.h"

#include <algorithm>

namespace harecrank {
namespace {

// Appends commands to load those adapters of the model `name` that `loaded`
// lacks or has in another version than `wanted`.
void AddAdapterOrders(const std::string& name, const v1::Model& wanted,
                      const LoadedModel& loaded,
                      std::vector<EngineOrder>* orders) {
  for (const auto& [adapter, settings] : wanted.adapters()) {
    const auto found = loaded.adapters.find(adapter);
    if (found == loaded.adapters.end() || found->second != settings.version()) {
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
  for (const auto& model : loaded) {
    if (std::find(models.begin(), models.end(), model.first) == models.end()) {
      orders.push_back(UnloadModel{ModelId{model.first}});
    }
  }
  for (const std::string& name : models) {
    const v1::Model& wanted = configuration.GetDocument().models().at(name);
    const auto found = loaded.find(name);
    const bool is_current =
        found != loaded.end() && found->second.version == wanted.version();
    if (!is_current) {
      orders.push_back(LoadModel{ModelId{name}, wanted.version()});
    }
    AddAdapterOrders(name, wanted, is_current ? found->second : LoadedModel(),
                     &orders);
  }
  return orders;
}

}  // namespace harecrank
