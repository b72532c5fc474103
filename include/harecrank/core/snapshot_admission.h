// Who is given a copy of all that is published, and when.
//
// Load: a fleet starts, or comes back, at once, and each host asks the same one
// for everything: some tenth of a megabyte for each of hundreds of hosts. Only
// a few copies go out at a time, each at full speed. Who comes meanwhile is
// sent on to a host that was given one already, so that their number doubles
// with each round, and otherwise told when its turn will be.

#ifndef HARECRANK_CORE_SNAPSHOT_ADMISSION_H_
#define HARECRANK_CORE_SNAPSHOT_ADMISSION_H_

#include <optional>
#include <variant>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

struct ServeSnapshot {};
// Another host gives the same.
struct RedirectToPeer {
  HostAddress host;
};
struct RetryLater {
  Millis delay{0};
};
using SnapshotDecision =
    std::variant<ServeSnapshot, RedirectToPeer, RetryLater>;

// Not thread-safe.
class SnapshotAdmission {
 public:
  // `power` is this host's.
  SnapshotAdmission(CpuShare power, MonotonicClock clock);

  // A host asks. `elsewhere` is another one that gives the same, if any is
  // known. Each ServeSnapshot is followed by one OnTransferEnded.
  SnapshotDecision OnRequest(const std::optional<HostAddress>& elsewhere);

  // A copy has gone out, or its connection broke.
  void OnTransferEnded();

  int ActiveTransfers() const { return under_way_; }

  // How many copies go out at a time from a host with a whole core; fewer from
  // weaker hosts.
  static constexpr double kTransfersPerCore = 8;
  // What it takes to give so many copies, before any has gone out and at the
  // least, and the longest that a host is sent away for.
  static constexpr Millis kInitialRoundTime{40};
  static constexpr Millis kMinRoundTime{10};
  static constexpr Millis kMaxRetryDelay{800};

 private:
  // Returns what it takes to give as many copies as go out at a time.
  FractionalMillis RoundTime() const;

  int most_;
  MonotonicClock clock_;
  int under_way_ = 0;
  // Hosts that were sent away since a copy last went out at once.
  int sent_away_ = 0;
  // While copies are under way all the time: since when, and how many went out.
  TimePoint busy_since_{};
  int gone_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_SNAPSHOT_ADMISSION_H_
