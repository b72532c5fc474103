// The functions of FleetMember that concern the store's data: which hosts poll
// the store, and how fresh this host's data are. The other functions are in
// fleet_member.cc.

#include "src/gateway/fleet_member.h"

namespace harecrank {

PublicationRelayPorts FleetMember::MakeRelayPorts() {
  PublicationRelayPorts ports;
  ports.describe = [this] { return DescribeStoreData(); };
  ports.published = ports_.published;
  ports.on_published = ports_.on_published;
  ports.is_parsing_routing = ports_.is_parsing_routing;
  ports.is_planner = [this] { return IsPlanner(); };
  ports.announce = [this] { Announce(); };
  ports.send_heartbeat = [this] { SendHeartbeatSoon(); };
  return ports;
}

void FleetMember::UpdatePollers() {
  poll_assignment_.Update(DescribeStoreData().poll_state ==
                          PollState::kAnswered);
}

void FleetMember::InformPollers() {
  UpdatePollers();
  Heartbeat heartbeat = OwnHeartbeat();
  for (const HostAddress& host : poll_assignment_.Pollers()) {
    poll_assignment_.SetFields(host, &heartbeat);
    Send(host, heartbeat);
  }
}

Heartbeat FleetMember::DescribeStoreData() const {
  Heartbeat own;
  ports_.describe(&own);
  return own;
}

void FleetMember::UpdateFreshness(const Heartbeat& heartbeat,
                                  const Heartbeat& own) {
  const bool from_planner = heartbeat.address == followed_planner_;
  if (from_planner && heartbeat.should_poll.has_value()) {
    ports_.on_poll_rank(*heartbeat.should_poll
                            ? std::make_optional(heartbeat.poll_rank)
                            : std::nullopt);
  }
  if (own.known_up_to < heartbeat.known_up_to) {
    return;
  }
  // A host trusts the planner's data to be fresh even if the planner has
  // received them from another host. The planner itself only trusts hosts whose
  // own polls the store answers; otherwise two hosts could keep confirming to
  // each other that their data are fresh while the store answers neither.
  const bool is_up_to_date =
      from_planner
          ? heartbeat.store_data_fresh
          : IsPlanner() && heartbeat.poll_state == PollState::kAnswered;
  if (is_up_to_date) {
    ports_.on_peer_freshness(heartbeat.store_data_age);
  }
}

void FleetMember::OnPollResult() {
  if (IsPlanner()) {
    InformPollers();
  } else {
    // The planner passes the result on to the other hosts and uses it to choose
    // the hosts that poll.
    SendHeartbeatSoon();
  }
}

void FleetMember::OnOverdueRefresh() {
  if (IsPlanner()) {
    Announce();
  }
}

void FleetMember::OnChanges(const PublishedChanges& published) {
  membership_->OnMessageReceived(published.from);
  if (published.from == followed_planner_) {
    planner_heard_at_ = clock_();
  }
  publication_relay_.OnChanges(published);
}

}  // namespace harecrank
