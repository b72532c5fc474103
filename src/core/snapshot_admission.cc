#include "harecrank/core/snapshot_admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harecrank {

SnapshotAdmission::SnapshotAdmission(CpuShare power, MonotonicClock clock)
    : most_(std::max(1, static_cast<int>(power.value * kTransfersPerCore))),
      clock_(std::move(clock)) {}

SnapshotDecision SnapshotAdmission::OnRequest(
    const std::optional<HostAddress>& elsewhere) {
  if (under_way_ < most_) {
    if (under_way_ == 0) {
      busy_since_ = clock_();
      gone_ = 0;
      sent_away_ = 0;
    }
    ++under_way_;
    return ServeSnapshot{};
  }
  if (elsewhere.has_value()) {
    return RedirectToPeer{*elsewhere};
  }
  // Who comes later finds more hosts that give copies: their number doubles
  // with each round.
  ++sent_away_;
  const double rounds =
      1 + std::log2(1 + static_cast<double>(sent_away_) / most_);
  const auto away = std::chrono::duration_cast<Millis>(rounds * RoundTime());
  return RetryLater{std::min(kMaxRetryDelay, away)};
}

FractionalMillis SnapshotAdmission::RoundTime() const {
  if (gone_ == 0) {
    return kInitialRoundTime;
  }
  const FractionalMillis busy = clock_() - busy_since_;
  return std::max(FractionalMillis(kMinRoundTime), busy * most_ / gone_);
}

void SnapshotAdmission::OnTransferEnded() {
  --under_way_;
  ++gone_;
}

}  // namespace harecrank
