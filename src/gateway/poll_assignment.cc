#include "src/gateway/poll_assignment.h"

#include <algorithm>

namespace harecrank {

PollAssignment::PollAssignment(const Membership* membership)
    : membership_(membership) {}

void PollAssignment::Update(bool store_answers) {
  pollers_ = membership_->StorePollers();
  store_answers_ = store_answers;
}

void PollAssignment::SetFields(const HostAddress& host,
                               Heartbeat* heartbeat) const {
  const auto found = std::find(pollers_.begin(), pollers_.end(), host);
  heartbeat->should_poll = found != pollers_.end();
  if (*heartbeat->should_poll) {
    // The host with rank zero polls continuously. This is the planner while the
    // store answers the planner, otherwise the first host in `pollers_`.
    heartbeat->poll_rank =
        static_cast<int>(found - pollers_.begin()) + (store_answers_ ? 1 : 0);
  }
}

}  // namespace harecrank
