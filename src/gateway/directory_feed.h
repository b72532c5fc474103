// Interface through which a gateway receives routes and endpoints.

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

// Receives the routes, endpoints and drained data centres that a feed reads
// from the store or from another host.
class DirectorySink {
 public:
  DirectorySink() = default;
  DirectorySink(const DirectorySink&) = delete;
  DirectorySink& operator=(const DirectorySink&) = delete;
  virtual ~DirectorySink() = default;

  // Called with a published routing document, not necessarily the newest.
  virtual void OnRouting(RoutingDocument document) = 0;
  // Called with all endpoints and all drained data centres as of `at`. Both are
  // passed in one call, so that a host that has just started never knows
  // endpoints without the drain orders that apply to them.
  virtual void OnListing(std::vector<EndpointRecord> records,
                         std::vector<DrainedDataCentre> drained,
                         StoreRevision at) = 0;
  // Called when the store's entry of an endpoint was written or removed.
  virtual void OnEndpoint(const EndpointRecord& record) = 0;
  virtual void OnEndpointGone(const EndpointId& id, StoreRevision revision) = 0;
  // Called when the store's entry of an endpoint is invalid.
  virtual void OnEndpointUnusable(const EndpointId& id, StoreRevision revision,
                                  const std::string& reason) = 0;
  // Called when a data centre is drained or restored.
  virtual void OnDataCentreDrained(const DrainedDataCentre& order) = 0;
  virtual void OnDataCentreRestored(const DataCentreId& id,
                                    StoreRevision revision) = 0;
  // Called when the store has answered: the data passed to this sink are
  // complete up to `at`.
  virtual void OnSynced(StoreRevision at) = 0;
  // Called when another host whose data are fresh has sent its data up to `at`.
  // The sink is called with these data afterwards.
  virtual void OnSyncedByPeer(StoreRevision at) = 0;
  // Called when the store does not respond, or responds with an error.
  virtual void OnStoreUnreachable(const std::string& reason) = 0;
  // Called when data from the store or from another host are invalid and have
  // been ignored; `what` names the data. Invalid entries of endpoints are
  // reported by OnEndpointUnusable instead.
  virtual void OnUnusable(const std::string& what,
                          const std::string& reason) = 0;
};

// Reads the data of the store, by polling it or from another host's export, and
// passes them to a DirectorySink until Stop is called.
class DirectoryFeed {
 public:
  DirectoryFeed() = default;
  DirectoryFeed(const DirectoryFeed&) = delete;
  DirectoryFeed& operator=(const DirectoryFeed&) = delete;
  virtual ~DirectoryFeed() = default;

  // Sets whether and how the store is polled. A call to the store that is in
  // progress is not cancelled.
  virtual void SetPollMode(PollMode mode) = 0;
  virtual void Stop() = 0;

  // Returns the data for other hosts, in the feed's own encoding: the changes
  // after `since` if they are known, otherwise all data. Empty if there are no
  // data yet. Equal arguments return the same shared bytes until the data
  // change.
  virtual std::shared_ptr<const std::string> Export(
      StoreRevision since) const = 0;

  // Returns the same data as Export, but only for hosts whose data are complete
  // up to `since`, because entries may be encoded as differences to their
  // previous versions. The data are split into consecutive messages of at most
  // `max_bytes`; only one with a single large change may be larger. A host that
  // has imported a message has all data up to the revision that Import returns,
  // whether or not it gets the next one.
  virtual std::vector<std::string> ExportChanges(
      StoreRevision since, std::size_t max_bytes) const = 0;

  // Returns whether a routing document is being parsed that has not been passed
  // to the sink yet.
  virtual bool IsParsingRouting() const = 0;

  // Imports data that another host's feed has exported, and passes them to the
  // sink. `store_data_fresh` tells whether the data of that host are fresh.
  // Returns the revision up to which this host's data are complete, or nothing
  // if the import is malformed or changes between this host's data and the
  // import are missing.
  virtual std::optional<StoreRevision> Import(const std::string& exported,
                                              bool store_data_fresh) = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_DIRECTORY_FEED_H_
