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

// Not thread-safe.
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

  // Returns whether `target` is a path of this server.
  static bool Serves(std::string_view target);

  // Answers a request for `target`, for which Serves must hold.
  SimpleHttpReply Answer(std::string_view target);

  // Returns the number of transfers in progress.
  int ActiveTransfers() const { return admission_->ActiveTransfers(); }

  // Path of the snapshots. The revision since which changes are requested is
  // appended.
  static constexpr char kPath[] = "/peer/published/";

 private:
  // Returns a host that can serve the same data, whose CPU share is not much
  // smaller, and that was heard from recently.
  std::optional<HostAddress> FindPeer() const;
  SimpleHttpReply Serve(StoreRevision since);

  CpuShare cpu_share_;
  Membership* membership_;
  Source source_;
  KnownUpTo known_up_to_;
  Metrics* metrics_;
  // Shared with the transfers in progress.
  std::shared_ptr<SnapshotAdmission> admission_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SNAPSHOT_SERVER_H_
