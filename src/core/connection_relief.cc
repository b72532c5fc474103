#include "harecrank/core/connection_relief.h"

#include <algorithm>
#include <chrono>

namespace harecrank {
namespace {

using Seconds = std::chrono::duration<double>;

// Also a caller who has just fallen behind is weighed by what it holds.
constexpr Millis kMinWeighedTime{1};

// Bytes times seconds for which nothing was done about them.
double Waste(const ConnectionHolding& holding, TimePoint now) {
  const Seconds time = std::max<TimePoint::duration>(
      kMinWeighedTime, now - holding.behind_since);
  return static_cast<double>(holding.bytes) * time.count();
}

template <typename IsIncluded>
std::vector<std::size_t> Indices(const std::vector<ConnectionHolding>& holdings,
                                 const IsIncluded& is_included) {
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < holdings.size(); ++i) {
    if (is_included(holdings[i])) {
      indices.push_back(i);
    }
  }
  return indices;
}

void SortByWaste(const std::vector<ConnectionHolding>& holdings, TimePoint now,
                 std::vector<std::size_t>* indices) {
  std::stable_sort(indices->begin(), indices->end(),
                   [&](std::size_t a, std::size_t b) {
                     return Waste(holdings[a], now) > Waste(holdings[b], now);
                   });
}

}  // namespace

void CallerPace::OnBytes(std::size_t bytes, TimePoint now) {
  const Seconds earned(static_cast<double>(bytes) / kBytesPerSecond);
  kept_until_ = std::min(
      now,
      kept_until_ + std::chrono::duration_cast<TimePoint::duration>(earned));
}

std::vector<std::size_t> OrderForMemory(
    const std::vector<ConnectionHolding>& holdings, TimePoint now,
    Millis patience) {
  std::vector<std::size_t> order =
      Indices(holdings, [&](const ConnectionHolding& holding) {
        return !holding.awaits_endpoint && holding.bytes > 0 &&
               now - holding.behind_since >= patience;
      });
  SortByWaste(holdings, now, &order);
  return order;
}

std::vector<std::size_t> OrderForRoom(
    const std::vector<ConnectionHolding>& holdings, TimePoint now,
    Millis patience) {
  std::vector<std::size_t> order =
      Indices(holdings, [&](const ConnectionHolding& holding) {
        return !holding.awaits_endpoint &&
               now - holding.behind_since >= patience;
      });
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return holdings[a].behind_since < holdings[b].behind_since;
                   });
  return order;
}

std::vector<std::size_t> OrderAllForMemory(
    const std::vector<ConnectionHolding>& holdings, TimePoint now,
    Millis patience) {
  std::vector<std::size_t> order = OrderForMemory(holdings, now, patience);
  const auto append = [&](const auto& is_included) {
    std::vector<std::size_t> next = Indices(holdings, is_included);
    SortByWaste(holdings, now, &next);
    order.insert(order.end(), next.begin(), next.end());
  };
  append([](const ConnectionHolding& holding) {
    return holding.awaits_endpoint && holding.may_be_endless &&
           holding.bytes > 0;
  });
  append([&](const ConnectionHolding& holding) {
    return !holding.awaits_endpoint && holding.bytes > 0 &&
           now - holding.behind_since < patience;
  });
  append([](const ConnectionHolding& holding) {
    return holding.awaits_endpoint && !holding.may_be_endless &&
           holding.bytes > 0;
  });
  return order;
}

}  // namespace harecrank
