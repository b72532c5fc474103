// Decides, on the planner, which hosts poll the store for the fleet.

#ifndef HARECRANK_SRC_GATEWAY_POLL_ASSIGNMENT_H_
#define HARECRANK_SRC_GATEWAY_POLL_ASSIGNMENT_H_

#include <vector>

#include "harecrank/core/membership.h"

namespace harecrank {

// The hosts beside the planner that poll the store, and their poll ranks. Not
// thread-safe.
class PollAssignment {
 public:
  // `membership` must outlive this.
  explicit PollAssignment(const Membership* membership);

  // Chooses the hosts. `store_answers` tells whether the store answers the
  // planner's own polls.
  void Update(bool store_answers);

  // Sets in `heartbeat` whether `host` should poll the store, and its rank
  // among the polling hosts.
  void SetFields(const HostAddress& host, Heartbeat* heartbeat) const;

  const std::vector<HostAddress>& Pollers() const { return pollers_; }

 private:
  const Membership* membership_;
  // As of the last update.
  std::vector<HostAddress> pollers_;
  bool store_answers_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_POLL_ASSIGNMENT_H_
