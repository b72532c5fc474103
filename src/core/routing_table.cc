#include "harecrank/core/routing_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace harecrank {
namespace {

// Returns `host` in lower case and without its port.
std::string NormalizeHost(std::string_view host) {
  std::string normal(host.substr(0, host.rfind(':')));
  std::transform(
      normal.begin(), normal.end(), normal.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return normal;
}

}  // namespace

RoutingTable::RoutingTable(RoutingDocument document)
    : document_(std::move(document)) {
  IndexRoutes();
  for (std::size_t i = 0; i < document_.services.size(); ++i) {
    services_.emplace(document_.services[i].name, i);
  }
  if (!document_.accounts.has_value()) {
    return;
  }
  for (std::size_t i = 0; i < document_.accounts->size(); ++i) {
    for (const std::string& key : (*document_.accounts)[i].keys) {
      account_by_key_.emplace(key, i);
    }
  }
}

void RoutingTable::IndexRoutes() {
  // Consecutive routes usually have the same host, so its index is looked up
  // only when the host changes.
  const RouteRule* last = nullptr;
  RoutesByPrefix* on_host = nullptr;
  for (const auto& route : document_.routes) {
    if (last == nullptr || route->host != last->host) {
      on_host = &routes_[NormalizeHost(route->host)];
      if (routes_.size() == 1) {
        on_host->reserve(document_.routes.size());
      }
    }
    last = route.get();
    on_host->emplace(route->path_prefix, last);
    if (route->target_gap <= Millis(0)) {
      continue;
    }
    for (const WeightedService& target : route->services) {
      Millis& gap =
          tightest_gaps_.try_emplace(target.service, route->target_gap)
              .first->second;
      gap = std::min(gap, route->target_gap);
    }
  }
}

const RouteRule* RoutingTable::FindRoute(std::string_view host,
                                         std::string_view path) const {
  const auto on_host = routes_.find(NormalizeHost(host));
  if (on_host == routes_.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only the parts of the path that end with
  // a slash can match. The longest is tried first.
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found = on_host->second.find(path.substr(0, slash + 1));
    if (found != on_host->second.end()) {
      return found->second;
    }
    if (slash == 0) {
      break;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const ServiceProfile* RoutingTable::FindService(const ServiceName& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr
                                  : &document_.services[found->second];
}

Millis RoutingTable::TightestGap(const ServiceName& service) const {
  const auto found = tightest_gaps_.find(service);
  return found == tightest_gaps_.end() ? Millis(0) : found->second;
}

const AccountEntry* RoutingTable::FindAccountByKey(
    const std::string& key) const {
  const auto found = account_by_key_.find(key);
  return found == account_by_key_.end() ? nullptr
                                        : &(*document_.accounts)[found->second];
}

const AccountEntry* RoutingTable::FindAccount(const AccountId& id) const {
  if (!document_.accounts.has_value()) {
    return nullptr;
  }
  const auto found = std::find_if(
      document_.accounts->begin(), document_.accounts->end(),
      [&id](const AccountEntry& account) { return account.id == id; });
  return found == document_.accounts->end() ? nullptr : &*found;
}

}  // namespace harecrank
