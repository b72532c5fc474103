// The functions of GatewayNode that connect its components to each other. The
// other functions are in gateway_node.cc.

#include <utility>

#include "src/gateway/exchange.h"
#include "src/gateway/gateway_node.h"
#include "src/gateway/settings_views.h"

namespace harecrank {

PollSchedulePorts GatewayNode::MakePollSchedulePorts() {
  PollSchedulePorts ports;
  ports.polling_hosts = [this] { return membership_.PollingHosts(); };
  ports.snapshot_available = [this] {
    return membership_
        .FindMoreUpToDate(RoutingVersion{}, store_sync_.KnownUpTo())
        .has_value();
  };
  return ports;
}

StoreSyncStatePorts GatewayNode::MakeStoreSyncPorts() {
  StoreSyncStatePorts ports;
  ports.set_poll_mode = [this](PollMode reading) {
    feed_->SetPollMode(reading);
  };
  ports.on_published = [this] { fleet_.OnPublished(); };
  ports.on_poll_result = [this] { fleet_.OnPollResult(); };
  ports.on_overdue_refresh = [this] { fleet_.OnOverdueRefresh(); };
  return ports;
}

FleetMemberPorts GatewayNode::MakeFleetPorts() {
  FleetMemberPorts ports;
  ports.describe = [this](Heartbeat* heartbeat) {
    const auto table = routing_.InForce();
    heartbeat->routing = table == nullptr ? RoutingVersion{} : table->Version();
    store_sync_.Describe(heartbeat);
    heartbeat->crash_digest = quarantine_.SharedDigest() ^ parts_.HeldDigest();
    heartbeat->peak_hosts = membership_.Size().PeakObserved();
    heartbeat->may_lack_holds = !parts_.KnowsAllHolds();
    if (IsReady() && accept_gate_.HasRoomForOthers()) {
      heartbeat->recent_requests = request_share_.Recent();
    }
  };
  ports.on_crashes = [this](const std::vector<CrashReport>& reports,
                            std::vector<CrashReport>* missing) {
    return crash_guard_.OnReports(reports, missing);
  };
  ports.shared_crashes = [this] { return quarantine_.SharedReports(); };
  ports.on_part_evidence = [this](const PartEvidence& evidence,
                                  PartEvidence* missing) {
    return crash_guard_.OnPartEvidence(evidence, missing);
  };
  ports.shared_part_evidence = [this] { return parts_.SharedEvidence(); };
  ports.on_crashes_synced = [this](bool may_lack_holds) {
    crashes_synced_ = true;
    if (!may_lack_holds) {
      parts_.SetKnowsAllHolds();
    }
    AcceptCallers();
  };
  ports.on_recent_requests = [this](const HostAddress& host,
                                    std::optional<int> requests) {
    request_share_.OnOtherHost(host, requests);
  };
  ports.limits = [this] { return start_limiter_.Reports(); };
  ports.on_limits = [this](const std::vector<RateLimitReport>& reports) {
    start_limiter_.MergeFromPeer(reports);
  };
  ports.published = [this](StoreRevision since, std::size_t max_bytes) {
    return feed_->ExportChanges(since, max_bytes);
  };
  ports.is_parsing_routing = [this] { return feed_->IsParsingRouting(); };
  ports.on_peer_freshness = [this](Millis age) {
    store_sync_.OnPeerFreshness(age);
  };
  ports.on_poll_rank = [this](std::optional<int> rank) {
    store_sync_.SetPollRank(rank);
  };
  ports.on_published = [this](const std::string& changes,
                              bool store_data_fresh) {
    endpoint_updater_.BeginPeerUpdate();
    const auto at = feed_->Import(changes, store_data_fresh);
    endpoint_updater_.EndPeerUpdate();
    if (at.has_value()) {
      store_sync_.OnImported(*at);
    }
    return at.has_value();
  };
  return ports;
}

SessionContext GatewayNode::MakeSessionContext() {
  SessionContext context;
  context.start_request = [this](CallerRequest request, TimePoint arrived,
                                 std::shared_ptr<ResponseSink> answer) {
    request_share_.OnRequest();
    auto exchange = std::make_shared<Exchange>(&services_, std::move(request),
                                               arrived, std::move(answer));
    exchange->Start();
    return std::shared_ptr<RequestHandle>(exchange);
  };
  context.limits = [this] {
    const auto table = routing_.InForce();
    return table == nullptr ? CallerLimits{} : table->Limits();
  };
  context.is_draining = [this] { return draining_; };
  context.bodies = &bodies_;
  context.clock = clock_;
  return context;
}

PartQuarantine::FleetView GatewayNode::MakeFleetView() {
  PartQuarantine::FleetView fleet;
  fleet.alive_hosts = [this] {
    std::vector<HostAddress> hosts = membership_.OtherAliveHosts();
    hosts.push_back(Self(settings_).address);
    return hosts;
  };
  fleet.is_of_majority = [this] { return membership_.IsOfMajority(); };
  return fleet;
}

}  // namespace harecrank
