// Admission control for the transfer of snapshots between hosts.
//
// When a fleet starts or recovers, hundreds of hosts request a snapshot, about
// 100 kB each, from the same host at once. Only a few transfers run at a time,
// each at full speed. Further requests are redirected to a host that has
// already received a snapshot, so that the number of hosts that serve snapshots
// doubles with each round of transfers. If no such host is known, the requester
// receives a delay after which it should retry.

#ifndef HARECRANK_CORE_SNAPSHOT_ADMISSION_H_
#define HARECRANK_CORE_SNAPSHOT_ADMISSION_H_

#include <optional>
#include <variant>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The host that received the request sends the snapshot now.
struct ServeSnapshot {};
// The requester should request the snapshot from `host` instead.
struct RedirectToPeer {
  HostAddress host;
};
// The requester should retry after `delay`.
struct RetryLater {
  Millis delay{0};
};
// The answer to a host that requests a snapshot.
using SnapshotDecision =
    std::variant<ServeSnapshot, RedirectToPeer, RetryLater>;

// Decides whether this host sends a snapshot to a requesting host, redirects it
// to a peer or makes it retry. Not thread-safe.
class SnapshotAdmission {
 public:
  // `cpu_share` is the number of cores, possibly a fraction, that this host may
  // use.
  SnapshotAdmission(CpuShare cpu_share, MonotonicClock clock);

  // Decides on the request of a host. `peer` is another host that can send the
  // same snapshot, if one is known. Each ServeSnapshot must be followed by one
  // call of OnTransferEnded.
  SnapshotDecision OnRequest(const std::optional<HostAddress>& peer);

  // Records that a transfer is complete or its connection was closed.
  void OnTransferEnded();

  int ActiveTransfers() const { return active_transfers_; }

  // Maximum number of concurrent transfers per core of this host's CPU share.
  // At least one transfer is allowed, however small the share is.
  static constexpr double kTransfersPerCore = 8;
  // A round is the time in which as many transfers end as may run at the same
  // time. kInitialRoundTime is its assumed duration until the first transfer
  // has ended; kMinRoundTime is the lower limit of its measured duration.
  static constexpr Millis kInitialRoundTime{40};
  static constexpr Millis kMinRoundTime{10};
  // Longest delay of RetryLater.
  static constexpr Millis kMaxRetryDelay{800};

 private:
  // Returns the duration of a round, the time in which `max_transfers_`
  // transfers end. It is derived from the number of transfers that have ended
  // since `busy_since_`; kInitialRoundTime if there are none.
  FractionalMillis RoundTime() const;

  int max_transfers_;
  MonotonicClock clock_;
  int active_transfers_ = 0;
  // Number of requests answered with RetryLater since `busy_since_`.
  int deferred_requests_ = 0;
  // Time since which at least one transfer has always been in progress.
  TimePoint busy_since_{};
  // Number of transfers that have ended since `busy_since_`.
  int ended_transfers_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_SNAPSHOT_ADMISSION_H_
