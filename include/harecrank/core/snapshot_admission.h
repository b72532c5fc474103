// Admission control for snapshot transfers.
//
// When a fleet starts or recovers, hundreds of hosts request a snapshot, about
// 100 kB each, from the same host at once. Only a few transfers run at a time,
// each at full speed. Other requests are redirected to a host that has received
// a snapshot already, so that the number of hosts that serve snapshots doubles
// with each round of transfers. If no such host is known, the requester is told
// when to retry.

#ifndef HARECRANK_CORE_SNAPSHOT_ADMISSION_H_
#define HARECRANK_CORE_SNAPSHOT_ADMISSION_H_

#include <optional>
#include <variant>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// This host serves the snapshot now.
struct ServeSnapshot {};
// Another host serves the same snapshot.
struct RedirectToPeer {
  HostAddress host;
};
// The requester should retry after `delay`.
struct RetryLater {
  Millis delay{0};
};
using SnapshotDecision =
    std::variant<ServeSnapshot, RedirectToPeer, RetryLater>;

// Not thread-safe.
class SnapshotAdmission {
 public:
  // `cpu_share` is that of this host.
  SnapshotAdmission(CpuShare cpu_share, MonotonicClock clock);

  // Decides on a request. `peer` is another host that can serve the same
  // snapshot, if one is known. Each ServeSnapshot must be followed by one call
  // of OnTransferEnded.
  SnapshotDecision OnRequest(const std::optional<HostAddress>& peer);

  // Records that a transfer is complete or its connection was closed.
  void OnTransferEnded();

  int ActiveTransfers() const { return active_transfers_; }

  // Number of concurrent transfers of a host with a whole core; proportionally
  // fewer with a smaller CPU share, but at least one.
  static constexpr double kTransfersPerCore = 8;
  // Duration of a round of concurrent transfers: the value assumed until the
  // first transfer has ended, and the lower limit of the measured value.
  static constexpr Millis kInitialRoundTime{40};
  static constexpr Millis kMinRoundTime{10};
  // Longest delay of RetryLater.
  static constexpr Millis kMaxRetryDelay{800};

 private:
  // Returns the duration of a round: the time in which `max_transfers_`
  // transfers end.
  FractionalMillis RoundTime() const;

  int max_transfers_;
  MonotonicClock clock_;
  int active_transfers_ = 0;
  // Requests that were told to retry since the host was last idle.
  int deferred_requests_ = 0;
  // Since when at least one transfer has been in progress.
  TimePoint busy_since_{};
  // Transfers that have ended since then.
  int ended_transfers_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_SNAPSHOT_ADMISSION_H_
