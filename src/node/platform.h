// Clients of the platform's configuration service and host list.

#ifndef HARECRANK_SRC_NODE_PLATFORM_H_
#define HARECRANK_SRC_NODE_PLATFORM_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "harecrank/core/host_list_cache.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// A call to the platform failed: no complete response was received.
struct PlatformUnreachable {
  std::string reason;
};
// A call to the platform failed: the response has an error status.
struct PlatformRejected {
  int status = 0;
};
// A call to the platform failed: the response cannot be parsed.
struct PlatformResponseMalformed {
  std::string reason;
};
// Why a call to the platform failed.
using PlatformError = std::variant<PlatformUnreachable, PlatformRejected,
                                   PlatformResponseMalformed>;

// Returns a description of `error` for logs and operators.
std::string Describe(const PlatformError& error);

// A published value and the version that the service assigned to it.
struct PublishedValue {
  std::uint64_t version = 0;
  std::string value;
};

// Reads published values from the configuration service of the platform. Each
// platform needs its own implementation.
class ConfigServicePort {
 public:
  virtual ~ConfigServicePort() = default;

  // Reads one value. Values are at most 1 MB.
  virtual boost::leaf::result<PublishedValue> Read(const std::string& key) = 0;

  // Waits up to `wait` until the value of `key` has a version other than
  // `known`. Returns that value, or nullopt if the version is still `known`.
  // Counts as one call towards the rate limit of the service.
  virtual boost::leaf::result<std::optional<PublishedValue>> Watch(
      const std::string& key, std::uint64_t known, Millis wait) = 0;
};

// Reads the platform's list of hosts that are leaving.
class HostListPort {
 public:
  virtual ~HostListPort() = default;
  virtual boost::leaf::result<HostListVersion> Read() = 0;
};

// Calls the configuration service over HTTP: GET /v1/values/KEY to read, with
// the parameters after=VERSION and wait_ms=N to watch. The service answers a
// watch with status 304 if no other version has appeared.
class HttpConfigService : public ConfigServicePort {
 public:
  explicit HttpConfigService(std::string address);
  boost::leaf::result<PublishedValue> Read(const std::string& key) override;
  boost::leaf::result<std::optional<PublishedValue>> Watch(
      const std::string& key, std::uint64_t known, Millis wait) override;

 private:
  std::string address_;
};

// Reads the host list over HTTP: GET /v1/hosts.
class HttpHostList : public HostListPort {
 public:
  explicit HttpHostList(std::string address);
  boost::leaf::result<HostListVersion> Read() override;

 private:
  std::string address_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_NODE_PLATFORM_H_
