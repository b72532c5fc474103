// Gives other hosts copies of what is published.

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
  // Returns what was published after `since`, or all of it; null before
  // anything is known.
  using Source =
      std::function<std::shared_ptr<const std::string>(StoreRevision since)>;
  // Returns up to where this host knows what is published.
  using KnownUpTo = std::function<StoreRevision()>;

  // `book` and `metrics` must outlive this and all replies.
  SnapshotServer(CpuShare power, Membership* book, Source source,
                 KnownUpTo known_up_to, Metrics* metrics, MonotonicClock clock);

  // Returns whether `target` is one of this server's pages.
  static bool Serves(std::string_view target);

  // Answers a request for `target`, which Serves.
  SimpleHttpReply Answer(std::string_view target);

  // Copies that are under way.
  int ActiveTransfers() const { return desk_->ActiveTransfers(); }

  // Path at which a host gives what the platform has published since the
  // revision that follows it.
  static constexpr char kPath[] = "/peer/published/";

 private:
  // Returns a host that gives the same, is no weaker by far, and was heard
  // lately.
  std::optional<HostAddress> Elsewhere() const;
  SimpleHttpReply Give(StoreRevision since);

  CpuShare power_;
  Membership* book_;
  Source source_;
  KnownUpTo known_up_to_;
  Metrics* metrics_;
  // Shared with the copies that are under way.
  std::shared_ptr<SnapshotAdmission> desk_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SNAPSHOT_SERVER_H_
