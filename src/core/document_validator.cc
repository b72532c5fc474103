#include "harecrank/core/document_validator.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace harecrank {
namespace {

constexpr std::size_t kMaxIdSize = 64;
constexpr std::size_t kSha256HexDigits = 64;
constexpr std::uint32_t kMaxWeight = 1000;
constexpr std::uint32_t kPercent = 100;
constexpr std::uint32_t kMaxSubsetSize = 256;
constexpr std::uint32_t kMaxTimeLimitMs = 24U * 3600U * 1000U;
constexpr std::uint32_t kMaxTicketTtlMs = 3600U * 1000U;
constexpr std::uint32_t kMaxLoadsAtOnce = 10000;
constexpr int kMaxPort = 65535;

// Collects the faults of a document.
class Validator {
 public:
  explicit Validator(const v1::Document& document) : document_(document) {}

  std::vector<ConfigProblem> Validate() {
    CheckRange("revision", document_.revision(), 1, UINT32_MAX);
    CheckAccounts();
    CheckModels();
    CheckEndpoints();
    CheckEntries();
    CheckNodeIds();
    CheckPolicy();
    return std::move(problems_);
  }

 private:
  void AddProblem(std::string path, std::string found, std::string allowed) {
    problems_.push_back(
        ConfigProblem{std::move(path), std::move(found), std::move(allowed)});
  }

  void CheckRange(const std::string& path, std::uint32_t value,
                  std::uint32_t lowest, std::uint32_t highest) {
    if (value < lowest || value > highest) {
      AddProblem(path, std::to_string(value),
                 std::to_string(lowest) + " to " + std::to_string(highest));
    }
  }

  void CheckId(const std::string& kind, const std::string& id) {
    if (!IsObjectId(id)) {
      AddProblem(kind, "the id '" + id + "'",
                 "1 to 64 letters, digits, '-' and '_'");
    }
  }

  void CheckAddress(const std::string& path, const std::string& address) {
    if (!IsIpAddressAndPort(address)) {
      AddProblem(path, "'" + address + "'",
                 "an IP number and port, as 10.0.0.1:8080");
    }
  }

  void CheckAccounts() {
    std::map<std::string, std::string> account_by_key;
    for (const auto& [id, account] : document_.accounts()) {
      const std::string path = "accounts." + id;
      CheckId("accounts", id);
      const std::string& key = account.key_sha256();
      const bool hex =
          key.size() == kSha256HexDigits &&
          key.find_first_not_of("0123456789abcdef") == std::string::npos;
      if (!hex) {
        AddProblem(path + ".key_sha256", "'" + key + "'",
                   "64 lower-case hexadecimal digits");
      }
      const auto inserted = account_by_key.emplace(key, id);
      if (!inserted.second) {
        AddProblem(path + ".key_sha256",
                   "the key of '" + inserted.first->second + "'",
                   "a key that no other account has");
      }
      CheckRange(path + ".weight", account.weight(), 1, kMaxWeight);
      // A bound that no process enforces must not seem to be in force.
      if (account.permitted_regions_size() > 0) {
        AddProblem(
            path + ".permitted_regions",
            "'" + account.permitted_regions(0) + "'",
            "none, since entry hosts and sidecars do not enforce regions; "
            "gateways do");
      }
    }
  }

  void CheckModels() {
    for (const auto& [id, model] : document_.models()) {
      CheckId("models", id);
      CheckRange("models." + id + ".context_tokens", model.context_tokens(), 1,
                 INT32_MAX);
      for (const auto& adapter : model.adapters()) {
        CheckId("models." + id + ".adapters", adapter.first);
      }
    }
  }

  void CheckEndpoints() {
    for (const auto& [id, endpoint] : document_.endpoints()) {
      const std::string path = "endpoints." + id;
      CheckId("endpoints", id);
      CheckAddress(path + ".link_address", endpoint.link_address());
      CheckAddress(path + ".operations_address", endpoint.operations_address());
      CheckId(path + ".data_centre", endpoint.data_centre());
      switch (endpoint.serves_case()) {
        case v1::Endpoint::kEngine:
          CheckEngine(path + ".engine", endpoint.engine());
          break;
        case v1::Endpoint::kService:
          CheckId(path + ".service.name", endpoint.service().name());
          break;
        case v1::Endpoint::SERVES_NOT_SET:
          AddProblem(path, "neither", "'engine' or 'service'");
          break;
      }
    }
  }

  void CheckEngine(const std::string& path, const v1::ModelEngine& engine) {
    CheckRange(path + ".memory_tokens", engine.memory_tokens(), 1, INT32_MAX);
    if (engine.models_size() == 0) {
      AddProblem(path + ".models", "none", "one model at least");
    }
    for (const std::string& model : engine.models()) {
      if (document_.models().count(model) == 0) {
        AddProblem(path + ".models", "'" + model + "'", "an id under 'models'");
      }
    }
  }

  void CheckEntries() {
    for (const auto& [id, entry] : document_.entries()) {
      const std::string path = "entries." + id;
      CheckId("entries", id);
      CheckAddress(path + ".operations_address", entry.operations_address());
      CheckId(path + ".data_centre", entry.data_centre());
    }
  }

  void CheckNodeIds() {
    for (const auto& entry : document_.entries()) {
      if (document_.endpoints().count(entry.first) > 0) {
        AddProblem("entries." + entry.first, "the id of an endpoint",
                   "an id that no endpoint has");
      }
    }
  }

  void CheckPolicy() {
    const v1::Policy& policy = document_.policy();
    CheckRange("policy.long_weight_percent", policy.long_weight_percent(), 0,
               kPercent);
    CheckRange("policy.long_prompt_tokens", policy.long_prompt_tokens(), 1,
               INT32_MAX);
    CheckRange("policy.short_headroom_percent", policy.short_headroom_percent(),
               0, kPercent - 1);
    CheckRange("policy.retry_budget_percent", policy.retry_budget_percent(), 0,
               kPercent);
    CheckRange("policy.subset_size", policy.subset_size(), 1, kMaxSubsetSize);
    CheckRange("policy.max_time_limit_ms", policy.max_time_limit_ms(), 1,
               kMaxTimeLimitMs);
    CheckRange("policy.default_time_limit_ms", policy.default_time_limit_ms(),
               1, std::max(policy.max_time_limit_ms(), 1U));
    CheckRange("policy.ticket_ttl_ms", policy.ticket_ttl_ms(), 1,
               kMaxTicketTtlMs);
    CheckRange("policy.weight_loads_at_once", policy.weight_loads_at_once(), 1,
               kMaxLoadsAtOnce);
  }

  const v1::Document& document_;
  std::vector<ConfigProblem> problems_;
};

}  // namespace

std::string Describe(const ConfigProblem& problem) {
  return problem.path + ": found " + problem.found +
         "; allowed: " + problem.allowed;
}

std::vector<ConfigProblem> ValidateDocument(const v1::Document& document) {
  return Validator(document).Validate();
}

bool IsIpAddressAndPort(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || colon + 1 == address.size()) {
    return false;
  }
  std::string host = address.substr(0, colon);
  const std::string port = address.substr(colon + 1);
  constexpr std::size_t kMaxPortDigits = 5;
  if (port.size() > kMaxPortDigits ||
      !std::all_of(port.begin(), port.end(),
                   [](unsigned char c) { return std::isdigit(c) != 0; })) {
    return false;
  }
  const int number = std::stoi(port);
  if (number < 1 || number > kMaxPort) {
    return false;
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    in6_addr ipv6{};
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                     &ipv6) == 1;
  }
  in_addr ipv4{};
  return inet_pton(AF_INET, host.c_str(), &ipv4) == 1;
}

bool IsObjectId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdSize &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_';
         });
}

}  // namespace harecrank
