#include "src/gateway/fleet_member.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace harecrank {
namespace {

// Delay before a heartbeat that reports a change, so that further changes are
// reported in the same heartbeat.
constexpr Millis kSendDelay{1};
// Intervals between two gossip rounds, in which heartbeats are sent to
// Membership::GossipTargets. While no planner is known, the interval doubles
// from kSearchInterval up to kMaxSearchInterval; otherwise it is
// kGossipInterval.
constexpr Millis kSearchInterval{100};
constexpr Millis kMaxSearchInterval{800};
constexpr Millis kGossipInterval{1000};
// A planner that has sent nothing for this long has missed a heartbeat.
constexpr Millis kMissedHeartbeat{400};
// A standby that has received nothing from the planner for this long, three
// times the interval of the updates, believes another host that regards the
// standby as the planner.
constexpr Millis kSilentPlanner{120};

}  // namespace

// Visitor that passes each type of fleet message to the component that handles
// it.
struct FleetMember::Receiver {
  FleetMember* member;

  void operator()(const Heartbeat& heartbeat) const {
    member->OnHeartbeat(heartbeat);
  }
  void operator()(const PlacementQuery& query) const {
    member->OnNamedPlanner();
    member->planner_service_.OnQuery(query);
  }
  void operator()(const PlacementReply& reply) const {
    member->membership_->OnMessageReceived(reply.from);
    if (reply.from == member->followed_planner_) {
      member->planner_heard_at_ = member->clock_();
    }
    member->placement_client_.OnReply(reply);
  }
  void operator()(const ProgressReport& report) const {
    member->planner_service_.OnProgressReport(report);
  }
  void operator()(const PublishedChanges& published) const {
    member->OnChanges(published);
  }
  void operator()(const CrashReports& reports) const {
    member->membership_->OnMessageReceived(reports.from);
    member->crash_relay_.OnReports(reports);
  }
  void operator()(const PlannerUpdate& update) const {
    member->OnPlannerUpdate(update);
  }
  void operator()(const PlannerStateRequest& request) const {
    member->membership_->OnMessageReceived(request.from);
    if (member->IsPlanner()) {
      member->handover_.OnStateRequest(request);
    }
  }
};

FleetMember::FleetMember(boost::asio::io_context* io, NodeId node,
                         KnownHost self, Incarnation incarnation,
                         Membership* membership, Planner* planner,
                         EndpointHealth* health, FleetSocket* socket,
                         std::size_t planner_standbys, FleetMemberPorts ports,
                         EventLog* log, Metrics* metrics, MonotonicClock clock,
                         RandomSource random)
    : io_(io),
      node_(std::move(node)),
      self_(std::move(self)),
      incarnation_(incarnation),
      membership_(membership),
      planner_(planner),
      health_(health),
      socket_(socket),
      ports_(std::move(ports)),
      log_(log),
      clock_(std::move(clock)),
      random_(std::move(random)),
      placement_client_(io, self_.address, incarnation,
                        planner_standbys == 0 ? OnTakeover::kAskAnew
                                              : OnTakeover::kAwaitReply,
                        MakePlacementPorts(), clock_),
      planner_service_(io, self_.address, planner, MakePlannerServicePorts(),
                       log, metrics, clock_),
      handover_(self_.address, incarnation, planner_standbys, membership,
                planner, socket, log, metrics, clock_),
      publication_relay_(io, self_.address, membership, socket,
                         MakeRelayPorts(), log, clock_, random_),
      crash_relay_(
          io, self_.address, membership, socket,
          {ports_.on_crashes, ports_.on_part_evidence, ports_.shared_crashes,
           ports_.shared_part_evidence, [this] { return IsPlanner(); }}),
      poll_assignment_(membership),
      peers_log_(log, clock_),
      tick_timer_(*io),
      heartbeat_timer_(*io) {}

PlacementClientPorts FleetMember::MakePlacementPorts() {
  PlacementClientPorts ports;
  ports.planner = [this] { return membership_->Planner(); };
  ports.send = [this](const HostAddress& to, const FleetMessage& message) {
    Send(to, message);
  };
  ports.on_unresponsive = [this](const HostAddress& host) {
    membership_->OnUnresponsive(host);
    log_->Write("planner_silent", {{"planner", host.value}, {"by", "ask"}},
                LogRateLimit::kExempt);
    FollowPlanner();
  };
  ports.on_redirect = [this](const HostAddress& host,
                             const HostAddress& planner) {
    membership_->OnRedirect(host, planner);
    RequestHeartbeat(planner);
    FollowPlanner();
  };
  ports.on_placed_twice = [this] { SendHeartbeatSoon(); };
  return ports;
}

PlannerServicePorts FleetMember::MakePlannerServicePorts() {
  PlannerServicePorts ports;
  ports.planner = [this] { return membership_->Planner(); };
  ports.send = [this](const HostAddress& to, const FleetMessage& message) {
    Send(to, message);
  };
  return ports;
}

void FleetMember::Start() {
  socket_->Start([this](const FleetMessage& message) { OnMessage(message); });
  Tick();
}

void FleetMember::Leave() {
  if (IsPlanner()) {
    handover_.SendLastUpdates();
  }
  membership_->Leave();
  FollowPlanner();
  Announce();
}

void FleetMember::Send(const HostAddress& to, const FleetMessage& message) {
  if (to != self_.address) {
    socket_->Send(to, message);
    return;
  }
  // A message to this host itself is handled in a later turn of the event loop,
  // as a message from another host would be, and never from within Send.
  boost::asio::post(*io_, [this, message] { OnMessage(message); });
}

void FleetMember::OnMessage(const FleetMessage& message) {
  std::visit(Receiver{this}, message);
}

void FleetMember::OnHeartbeat(const Heartbeat& heartbeat) {
  const TimePoint now = clock_();
  if (membership_->OnHeartbeat(heartbeat)) {
    peers_log_.OnMessageReceived();
  }
  if (heartbeat.address == followed_planner_) {
    planner_heard_at_ = now;
  } else if (heartbeat.planner == heartbeat.address &&
             followed_planner_.has_value() &&
             *followed_planner_ != self_.address &&
             now - planner_heard_at_ > kMissedHeartbeat) {
    // The sender has become the planner, and the planner that this host follows
    // has missed a heartbeat.
    membership_->OnUnresponsive(*followed_planner_);
  }
  if (heartbeat.planner == self_.address) {
    OnNamedPlanner();
  }
  if (heartbeat.planner != heartbeat.address) {
    RequestHeartbeat(heartbeat.planner);
  }
  for (const AvoidedEndpoint& endpoint : heartbeat.avoided) {
    health_->OnAvoidedByPeer(endpoint.id, endpoint.left);
  }
  ports_.on_limits(heartbeat.limits);
  ports_.on_recent_requests(heartbeat.address, heartbeat.recent_requests);
  FollowPlanner();
  if (heartbeat.planner == heartbeat.address &&
      heartbeat.address != followed_planner_) {
    // The sender considers itself the planner, and at least some hosts follow
    // it. The sender must know which work this host has in progress; otherwise
    // it would consider the engines that run this work idle.
    Heartbeat work_report = OwnHeartbeat();
    work_report.work = placement_client_.Work();
    Send(heartbeat.address, work_report);
  }
  const Heartbeat own = DescribeStoreData();
  UpdateFreshness(heartbeat, own);
  crash_relay_.Repair(heartbeat, own.crash_digest);
  if (heartbeat.crash_digest == own.crash_digest) {
    ports_.on_crashes_synced(heartbeat.may_lack_holds);
  }
  publication_relay_.FetchIfBehind(own);
  planner_service_.OnHeartbeat(heartbeat);
  if (heartbeat.wants_reply) {
    Reply(heartbeat);
  }
}

void FleetMember::OnNamedPlanner() {
  const bool is_standby = handover_.ExpectsUpdates() &&
                          followed_planner_.has_value() &&
                          *followed_planner_ != self_.address;
  if (is_standby && clock_() - planner_heard_at_ > kSilentPlanner) {
    membership_->OnUnresponsive(*followed_planner_);
    FollowPlanner();
  }
}

void FleetMember::OnPlannerUpdate(const PlannerUpdate& update) {
  membership_->OnMessageReceived(update.from);
  if (update.from == followed_planner_) {
    planner_heard_at_ = clock_();
    handover_.OnUpdate(update);
  }
}

void FleetMember::Reply(const Heartbeat& heartbeat) {
  Heartbeat reply = OwnHeartbeat();
  reply.hosts = membership_->PartialViewFor(heartbeat.address);
  if (IsPlanner()) {
    poll_assignment_.SetFields(heartbeat.address, &reply);
  }
  Send(heartbeat.address, reply);
}

void FleetMember::RequestHeartbeat(const HostAddress& planner) {
  const TimePoint now = clock_();
  const bool needs_no_request = planner.value.empty() ||
                                planner == self_.address ||
                                planner == followed_planner_;
  if (needs_no_request || now - last_request_at_ < kSearchInterval) {
    return;
  }
  last_request_at_ = now;
  Heartbeat heartbeat = OwnHeartbeat();
  heartbeat.wants_reply = true;
  Send(planner, heartbeat);
}

Heartbeat FleetMember::OwnHeartbeat() const {
  Heartbeat heartbeat = DescribeStoreData();
  heartbeat.node = node_;
  heartbeat.address = self_.address;
  heartbeat.incarnation = incarnation_;
  heartbeat.cpu_share = self_.cpu_share;
  heartbeat.leaving = membership_->IsLeaving();
  heartbeat.planner = followed_planner_.value_or(HostAddress{});
  heartbeat.alive_hosts = membership_->ObservedHosts();
  heartbeat.avoided = health_->Avoided();
  heartbeat.limits = ports_.limits();
  return heartbeat;
}

void FleetMember::SendHeartbeatToPlanner() {
  last_heartbeat_at_ = clock_();
  if (!followed_planner_.has_value()) {
    return;
  }
  Heartbeat heartbeat = OwnHeartbeat();
  heartbeat.work = placement_client_.Work();
  heartbeat.wants_reply = *followed_planner_ != self_.address;
  if (*followed_planner_ == self_.address) {
    planner_->OnHeartbeat(heartbeat);
    return;
  }
  Send(*followed_planner_, heartbeat);
}

void FleetMember::SendHeartbeatSoon() {
  if (heartbeat_scheduled_) {
    return;
  }
  heartbeat_scheduled_ = true;
  heartbeat_timer_.expires_after(kSendDelay);
  heartbeat_timer_.async_wait([this](boost::system::error_code error) {
    heartbeat_scheduled_ = false;
    if (!error) {
      SendHeartbeatToPlanner();
    }
  });
}

void FleetMember::SendGossip() {
  last_gossip_at_ = clock_();
  // Hundreds of hosts that start together contact the same few seeds, so the
  // interval grows while no planner is known.
  search_interval_ = followed_planner_.has_value()
                         ? kSearchInterval
                         : std::min(2 * search_interval_, kMaxSearchInterval);
  Heartbeat heartbeat = OwnHeartbeat();
  heartbeat.wants_reply = true;
  for (const HostAddress& target : membership_->GossipTargets()) {
    Send(target, heartbeat);
  }
}

void FleetMember::Announce() {
  socket_->SendToAll(membership_->OtherAliveHosts(), OwnHeartbeat());
}

void FleetMember::FollowPlanner() {
  const auto planner = membership_->Planner();
  if (planner == followed_planner_) {
    return;
  }
  const bool was_planner = followed_planner_ == self_.address;
  followed_planner_ = planner;
  planner_heard_at_ = clock_();
  log_->Write("planner",
              {{"planner", planner.value_or(HostAddress{}).value},
               {"own", planner == self_.address},
               {"hosts", membership_->ObservedHosts()}},
              LogRateLimit::kExempt);
  if (was_planner) {
    handover_.OnStoppedPlanning();
    planner_->Clear();
  }
  if (planner == self_.address) {
    publication_relay_.OnBecamePlanner();
    handover_.OnBecamePlanner();
    Announce();
    planner_service_.AnswerRestored();
  }
  // A former planner keeps its poll rank until another planner is known, since
  // no other host distributes the store's data until then.
  if (planner == self_.address) {
    ports_.on_poll_rank(0);
  } else if (planner.has_value() && was_planner) {
    ports_.on_poll_rank(std::nullopt);
  }
  SendHeartbeatSoon();
  // Posted, since FollowPlanner may be called from within a callback of
  // `placement_client_`.
  boost::asio::post(*io_, [this] { placement_client_.OnPlannerChanged(); });
}

void FleetMember::CheckPlannerTimeout() {
  const bool follows_other =
      followed_planner_.has_value() && *followed_planner_ != self_.address;
  if (follows_other && clock_() - planner_heard_at_ > kPlannerTimeout) {
    log_->Write("planner_silent",
                {{"planner", followed_planner_->value}, {"by", "word"}},
                LogRateLimit::kExempt);
    membership_->OnUnresponsive(*followed_planner_);
  }
  FollowPlanner();
}

void FleetMember::Tick() {
  const TimePoint now = clock_();
  CheckPlannerTimeout();
  peers_log_.Tick(membership_->ObservedHosts(), IsPlanner());
  if (now - last_heartbeat_at_ >= kHeartbeatInterval) {
    SendHeartbeatToPlanner();
  }
  const Millis interval =
      followed_planner_.has_value() ? kGossipInterval : search_interval_;
  if (now - last_gossip_at_ >= interval) {
    SendGossip();
  }
  if (IsPlanner()) {
    UpdatePollers();
    planner_service_.Tick();
    handover_.SendUpdates();
  }
  publication_relay_.FetchIfBehind(DescribeStoreData());
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

}  // namespace harecrank
