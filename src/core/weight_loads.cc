#include "harecrank/core/weight_loads.h"

#include <algorithm>
#include <utility>

#include "harecrank/core/rendezvous.h"

namespace harecrank {

Millis WeightLoadDelay(const std::string& what,
                       std::vector<std::string> endpoints,
                       const EndpointId& self, std::size_t at_once,
                       Millis load_time) {
  const std::size_t count = endpoints.size();
  const auto ranking =
      RendezvousTop("weights " + what, std::move(endpoints), count);
  const auto position = std::find(ranking.begin(), ranking.end(), self.value);
  const auto rank = static_cast<std::size_t>(position - ranking.begin());
  const std::size_t wave = rank / std::max<std::size_t>(at_once, 1);
  return load_time * static_cast<std::int64_t>(wave);
}

}  // namespace harecrank
