// Serves snapshots of the store's data to other hosts.

#ifndef HARECRANK_SRC_GATEWAY_SNAPSHOT_SERVER_H_
#define HARECRANK_SRC_GATEWAY_SNAPSHOT_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "harecrank/core/membership.h"
#include "harecrank/core/snapshot_admission.h"
#include "src/adapters/metrics.h"
#include "src/gateway/simple_http_server.h"

namespace harecrank {

// Answers other hosts' requests for snapshots: sends one, redirects the
// requester to a peer that has the same data, or asks it to retry later. Not
// thread-safe.
class SnapshotServer {
 public:
  // Returns the changes after `since`, or a full snapshot; null if this host
  // has no data yet.
  using Source =
      std::function<std::shared_ptr<const std::string>(StoreRevision since)>;
  // Returns the revision up to which this host's data are complete.
  using KnownUpTo = std::function<StoreRevision()>;

  // `membership` and `metrics` must outlive this and all replies.
  SnapshotServer(CpuShare cpu_share, Membership* membership, Source source,
                 KnownUpTo known_up_to, Metrics* metrics, MonotonicClock clock);

  // Returns whether `target` is a path that this server answers.
  static bool Serves(std::string_view target);

  // Answers a request for `target`, for which Serves must hold.
  SimpleHttpReply Answer(std::string_view target);

  // Returns the number of transfers in progress.
  int ActiveTransfers() const { return admission_->ActiveTransfers(); }

  // Path prefix of the snapshots. It is followed by the store revision up to
  // which the requester has all changes.
  static constexpr char kPath[] = "/peer/published/";

 private:
  // Returns another host that has at least the same data, whose CPU share is
  // not much smaller than that of this host, and that has sent a heartbeat
  // recently; nothing if there is none.
  std::optional<HostAddress> FindPeer() const;
  SimpleHttpReply Serve(StoreRevision since);

  CpuShare cpu_share_;
  Membership* membership_;
  Source source_;
  KnownUpTo known_up_to_;
  Metrics* metrics_;
  // Shared with the transfers in progress, which report their end to it.
  std::shared_ptr<SnapshotAdmission> admission_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SNAPSHOT_SERVER_H_
