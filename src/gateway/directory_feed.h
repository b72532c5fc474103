// The port through which a gateway learns routes and endpoints.

#ifndef HARECRANK_SRC_GATEWAY_DIRECTORY_FEED_H_
#define HARECRANK_SRC_GATEWAY_DIRECTORY_FEED_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/poll_schedule.h"
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
  // All endpoints as published at `at`, and all data centres that are to take
  // nothing: in one call, so that a host that has just started never knows
  // endpoints without the orders for them.
  virtual void OnListing(std::vector<EndpointRecord> records,
                         std::vector<DrainedDataCentre> closed,
                         StoreRevision at) = 0;
  // One endpoint's entry was written, or has vanished.
  virtual void OnEndpoint(const EndpointRecord& record) = 0;
  virtual void OnEndpointGone(const EndpointId& id, StoreRevision revision) = 0;
  // What stands at an endpoint's place names none that can be used.
  virtual void OnEndpointUnusable(const EndpointId& id, StoreRevision revision,
                                  const std::string& reason) = 0;
  // A data centre is to take nothing from now on, or takes work again.
  virtual void OnDataCentreDrained(const DrainedDataCentre& order) = 0;
  virtual void OnDataCentreRestored(const DataCentreId& id,
                                    StoreRevision revision) = 0;
  // The platform has answered: what was told is complete up to `at`.
  virtual void OnSynced(StoreRevision at) = 0;
  // Another host, which the platform answers, has told what was published up to
  // `at`; what it told follows.
  virtual void OnSyncedByPeer(StoreRevision at) = 0;
  // The platform does not answer, or not as it should.
  virtual void OnStoreUnreachable(const std::string& reason) = 0;
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

  // Goes on, or begins, or ends. What is under way ends by itself.
  virtual void SetPollMode(PollMode reading) = 0;
  virtual void Stop() = 0;

  // Returns what is known, in the feed's own form, for other hosts: what has
  // changed since `since` if that is known, otherwise all. Empty before
  // anything is known. Hosts that ask for the same are given the same bytes.
  virtual std::shared_ptr<const std::string> Export(
      StoreRevision since) const = 0;

  // As Export, for hosts that hold all that was published up to `since`: may
  // tell how it changed alone. In parts of at most `max_bytes`, each of which
  // follows the one before it; the last one, or one that is alone, may be
  // larger.
  virtual std::vector<std::string> ExportChanges(
      StoreRevision since, std::size_t max_bytes) const = 0;

  // Whether a routing document is known that the sink is yet to be told of.
  virtual bool IsParsingRouting() const = 0;

  // Takes what another host's feed exported, and tells the sink of it.
  // `store_data_fresh` tells whether the platform answers that host. Returns up
  // to which revision this one is complete now, or nothing if it cannot be
  // used: unreadable, or changes that leave a gap.
  virtual std::optional<StoreRevision> Import(const std::string& exported,
                                              bool store_data_fresh) = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_DIRECTORY_FEED_H_
