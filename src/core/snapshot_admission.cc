#include "harecrank/core/snapshot_admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harecrank {

SnapshotAdmission::SnapshotAdmission(CpuShare cpu_share, MonotonicClock clock)
    : max_transfers_(
          std::max(1, static_cast<int>(cpu_share.value * kTransfersPerCore))),
      clock_(std::move(clock)) {}

SnapshotDecision SnapshotAdmission::OnRequest(
    const std::optional<HostAddress>& peer) {
  if (active_transfers_ < max_transfers_) {
    if (active_transfers_ == 0) {
      busy_since_ = clock_();
      ended_transfers_ = 0;
      deferred_requests_ = 0;
    }
    ++active_transfers_;
    return ServeSnapshot{};
  }
  if (peer.has_value()) {
    return RedirectToPeer{*peer};
  }
  // The number of hosts that can serve snapshots doubles with each round of
  // transfers. The delay therefore grows with the logarithm of the number of
  // deferred requests.
  ++deferred_requests_;
  const double rounds =
      1 +
      std::log2(1 + static_cast<double>(deferred_requests_) / max_transfers_);
  const auto delay = std::chrono::duration_cast<Millis>(rounds * RoundTime());
  return RetryLater{std::min(kMaxRetryDelay, delay)};
}

FractionalMillis SnapshotAdmission::RoundTime() const {
  if (ended_transfers_ == 0) {
    return kInitialRoundTime;
  }
  const FractionalMillis busy = clock_() - busy_since_;
  return std::max(FractionalMillis(kMinRoundTime),
                  busy * max_transfers_ / ended_transfers_);
}

void SnapshotAdmission::OnTransferEnded() {
  --active_transfers_;
  ++ended_transfers_;
}

}  // namespace harecrank
