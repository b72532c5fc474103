// How many hosts there are, as far as a Membership knows. The rest of the class
// is in membership.cc.

#include <algorithm>

#include "harecrank/core/membership.h"

namespace harecrank {

int Membership::PollingHosts() const {
  const bool is_isolated = last_heard_any_at_ == TimePoint{} ||
                           clock_() - last_heard_any_at_ > kIsolatedAfter;
  return is_isolated ? 1 : AliveHosts();
}

int Membership::ObservedHosts() const {
  Expire();
  return 1 + static_cast<int>(alive_hosts_.Count());
}

void Membership::RecordFleetSize() { size_.OnObserved(ObservedHosts()); }

int Membership::AliveHosts() const {
  return std::max(ObservedHosts(), ranking_.MaxReportedAliveHosts());
}

std::optional<int> Membership::HostsSharingLimit(Millis window) const {
  const std::optional<int> most = size_.MaxHostsSharing(window);
  if (!most.has_value() || MayKnowOnlyOneSide()) {
    return std::nullopt;
  }
  return std::max(AliveHosts(), *most);
}

bool Membership::IsOfMajority() const {
  const std::optional<int> most = size_.MaxHosts();
  return most.has_value() && !MayKnowOnlyOneSide() && 2 * AliveHosts() > *most;
}

bool Membership::MayKnowOnlyOneSide() const {
  if (size_.IsFirstStart() || told_of_lost_hosts_ ||
      clock_() - started_at_ >= kPartitionLimit) {
    return false;
  }
  return std::any_of(seeds_.begin(), seeds_.end(),
                     [this](const HostAddress& seed) {
                       return seed != self_.address && hosts_.count(seed) == 0;
                     });
}

}  // namespace harecrank
