// The port through which a gateway learns routes and endpoints.

#ifndef HARECRANK_SRC_GATEWAY_DIRECTORY_FEED_H_
#define HARECRANK_SRC_GATEWAY_DIRECTORY_FEED_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// Told of what the platform publishes.
class DirectorySink {
 public:
  DirectorySink() = default;
  DirectorySink(const DirectorySink&) = delete;
  DirectorySink& operator=(const DirectorySink&) = delete;
  virtual ~DirectorySink() = default;

  // A routing document as published at some time; not always the newest.
  virtual void OnRouting(RoutingDocument document) = 0;
  // All endpoints as published at `at`.
  virtual void OnListing(std::vector<EndpointRecord> records,
                         StoreRevision at) = 0;
  // One endpoint's entry was written, or has vanished.
  virtual void OnEndpoint(const EndpointRecord& record) = 0;
  virtual void OnEndpointGone(const EndpointId& id, StoreRevision revision) = 0;
  // The platform has answered: what was told is complete up to `at`.
  virtual void OnSourceWell(StoreRevision at) = 0;
  // The platform does not answer, or not as it should.
  virtual void OnSourceLost(const std::string& reason) = 0;
  // Something published cannot be used. It was passed over.
  virtual void OnUnusable(const std::string& what,
                          const std::string& reason) = 0;
};

// Reads the platform until it is stopped.
class DirectoryFeed {
 public:
  DirectoryFeed() = default;
  DirectoryFeed(const DirectoryFeed&) = delete;
  DirectoryFeed& operator=(const DirectoryFeed&) = delete;
  virtual ~DirectoryFeed() = default;

  virtual void Start() = 0;
  virtual void Stop() = 0;

  // Returns what has been read, in the feed's own form, for hosts that the
  // platform does not answer. Empty before the first listing.
  virtual std::string Export() const = 0;

  // Takes what another host's feed exported, and tells the sink of it. Returns
  // up to which revision it is complete, or nothing if it cannot be used.
  virtual std::optional<StoreRevision> Import(const std::string& exported) = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_DIRECTORY_FEED_H_
