// The platform's configuration service and host list, as this project reads
// them.

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

// Why the platform gave nothing.
struct PlatformUnreachable {
  std::string reason;
};
struct PlatformRejected {
  int status = 0;
};
struct PlatformResponseMalformed {
  std::string reason;
};
using PlatformError = std::variant<PlatformUnreachable, PlatformRejected,
                                   PlatformResponseMalformed>;

// Returns one sentence for a person.
std::string Describe(const PlatformError& error);

// A published value and the service's own version of it.
struct PublishedValue {
  std::uint64_t version = 0;
  std::string value;
};

// Reads the configuration service. A port: another platform's service takes
// another implementation.
class ConfigServicePort {
 public:
  virtual ~ConfigServicePort() = default;

  // Reads one value, of at most a megabyte.
  virtual boost::leaf::result<PublishedValue> Read(const std::string& key) = 0;

  // Waits up to `wait` for a version other than `known`, and returns the value
  // then, or nothing if none came. Counts as one call.
  virtual boost::leaf::result<std::optional<PublishedValue>> Watch(
      const std::string& key, std::uint64_t known, Millis wait) = 0;
};

// Reads the host list.
class HostListPort {
 public:
  virtual ~HostListPort() = default;
  virtual boost::leaf::result<HostListVersion> Read() = 0;
};

// The configuration service over HTTP: GET /v1/values/KEY, with after=VERSION
// and wait_ms=N to watch; 304 where nothing came.
class HttpConfigService : public ConfigServicePort {
 public:
  explicit HttpConfigService(std::string address);
  boost::leaf::result<PublishedValue> Read(const std::string& key) override;
  boost::leaf::result<std::optional<PublishedValue>> Watch(
      const std::string& key, std::uint64_t known, Millis wait) override;

 private:
  std::string address_;
};

// The host list over HTTP: GET /v1/hosts.
class HttpHostList : public HostListPort {
 public:
  explicit HttpHostList(std::string address);
  boost::leaf::result<HostListVersion> Read() override;

 private:
  std::string address_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_NODE_PLATFORM_H_
