#include "src/gateway/gateway_node.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/endpoint_request.h"
#include "src/gateway/settings_views.h"

namespace harecrank {
namespace {

// Interval of the process's periodic work, which is done in GatewayNode::Tick.
constexpr Millis kTick{100};
// Interval at which the settings are read again, since they may change without
// a signal. Several seconds suffice because no change is urgent.
constexpr Millis kSettingsPollInterval{3000};
// Interval at which idle connections to endpoints and expired quarantine
// records are removed.
constexpr Millis kSweepInterval{1000};
// How long callers' idle connections are kept after a stop signal, so that the
// load balancer stops using this host first. The balancer does so after two
// failed health checks, one per second; the rest is a margin.
constexpr Millis kBalancerNoticeTime{3000};
// How long new streams are accepted after a stop signal. A stream that starts
// later may not end before the process must exit.
constexpr Millis kStreamAcceptTime{2700};
// Margin before the platform's stop limit: when this much time is left, the
// process exits without waiting for the remaining requests.
constexpr Millis kStopMargin{400};
// How long after its start the process accepts no callers while it has no
// configuration or knows no endpoints. Shorter than the one second that callers
// allow for a connection.
constexpr Millis kConfigurationWait{700};
// Minimum number of hosts that this host assumes to share a fleet-wide limit.
constexpr int kMinHosts = 3;

}  // namespace

GatewayNode::GatewayNode(GatewaySettings settings,
                         SettingsSource reread_settings,
                         const PlatformAdapters& platform, MonotonicClock clock,
                         RandomSource random)
    : settings_(std::move(settings)),
      reread_settings_(std::move(reread_settings)),
      names_(platform.names),
      clock_(std::move(clock)),
      random_(std::move(random)),
      io_(1),
      log_(settings_.node_id.value, clock_),
      loop_monitor_(&log_, &metrics_, clock_),
      regions_(settings_.regions),
      region_reporter_(&routing_, &regions_, &log_),
      directory_(clock_, settings_.leave_limit),
      loads_(clock_),
      health_(clock_, settings_.placement.group_pace),
      engine_standings_(&health_, &log_, &metrics_),
      connections_(&io_, clock_),
      prober_(&io_),
      identifier_(&io_, &names_),
      quarantine_(clock_),
      parts_(Self(settings_).address, MakeFleetView(), clock_),
      endpoint_updater_(&directory_, &health_, &connections_, &log_, &metrics_),
      placer_(
          &directory_, &loads_, &health_, settings_.data_centre,
          LoadScope::kThisHost, [this] { return KnownHosts(); },
          settings_.placement, random_),
      budgets_(
          settings_.repeat_limit, [this] { return HostsSharingRepeats(); },
          clock_),
      queue_(&io_, clock_, settings_.placement.tried,
             settings_.placement.shares_by_account),
      orders_(platform.make_orders(&io_)),
      membership_(Self(settings_), Addresses(settings_.seed_peers), clock_,
                  random_),
      start_limiter_(
          Self(settings_).address, settings_.cold_limit,
          [this] { return membership_.Size().MaxHosts(); },
          [this] { return routing_.InForce(); }, &log_, &metrics_, clock_),
      planner_(
          &directory_, &health_, start_limiter_.Quotas(), settings_.data_centre,
          [this] { return routing_.InForce(); }, settings_.placement, clock_,
          random_),
      fleet_socket_(&io_, settings_.peers_address, &metrics_),
      fleet_(&io_, settings_.node_id, Self(settings_), Incarnation{random_()},
             &membership_, &planner_, &health_, &fleet_socket_,
             settings_.planner_standbys, MakeFleetPorts(), &log_, &metrics_,
             clock_, random_),
      crash_guard_(
          &quarantine_, &parts_, &prober_, &identifier_, &directory_,
          [this](const EndpointId& id) {
            return start_limiter_.IsBackingOff(id);
          },
          {[this](const RequestFingerprint& request) {
             fleet_.ShareCrashReport(quarantine_.ReportOf(request));
           },
           [this](PartEvidence evidence) {
             fleet_.SharePartEvidence(std::move(evidence));
           }},
          &log_, &metrics_),
      backoff_notifier_([this](std::function<void()> run) {
        boost::asio::post(io_, std::move(run));
      }),
      response_handler_(&directory_, &health_, &endpoint_updater_,
                        &start_limiter_, &backoff_notifier_,
                        [this] { fleet_.SendHeartbeatSoon(); }),
      services_(MakeServices()),
      store_sync_(IsSeed(settings_), MakePollSchedulePorts(),
                  MakeStoreSyncPorts(), &directory_, &log_, clock_, random_),
      store_updates_(
          &routing_, &region_reporter_, &directory_, &endpoint_updater_,
          &start_limiter_, &store_sync_, [this] { AcceptCallers(); }, &log_,
          &metrics_),
      feed_(
          platform.make_feed(&io_, settings_, &store_updates_, &loop_monitor_)),
      snapshots_(
          Self(settings_).cpu_share, &membership_,
          [this](StoreRevision since) { return feed_->Export(since); },
          [this] { return store_sync_.KnownUpTo(); }, &metrics_, clock_),
      bodies_(MaxBodyBytes(settings_.memory_mb)),
      request_share_(clock_),
      accept_gate_(MaxSessions(settings_.descriptors), &bodies_,
                   &request_share_, clock_),
      callers_(&io_, settings_.callers_address, &accept_gate_, &request_share_,
               MakeSessionContext(), &log_, &metrics_),
      readiness_(
          &io_, settings_.readiness_address, "readiness",
          MaxShortConnections(settings_.descriptors),
          [this](const HttpRequest& r) { return HandleReadiness(r); },
          &metrics_),
      operations_(
          &io_, settings_.operations_address, "operations",
          MaxShortConnections(settings_.descriptors),
          [this](const HttpRequest& r) { return HandleOperations(r); },
          &metrics_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      tick_timer_(io_) {
  membership_.SetIsFirstStart(settings_.first_start);
  if (settings_.first_start) {
    parts_.SetKnowsAllHolds();
  }
  RegisterGauges(MakeParts(), &metrics_);
}

GatewayNode::~GatewayNode() = default;

void GatewayNode::Run() {
  log_.Write("start",
             {{"version", HARECRANK_VERSION},
              {"data_centre", settings_.data_centre.value},
              {"first_start", settings_.first_start},
              {"callers_address", settings_.callers_address}},
             LogRateLimit::kExempt);
  started_at_ = clock_();
  fleet_.Start();
  readiness_.Start();
  operations_.Start();
  AwaitSignal();
  Tick();
  RunLoop();
  log_.Write("stop", {{"requests_cut", callers_.BusyCount()}},
             LogRateLimit::kExempt);
}

void GatewayNode::RunLoop() {
  while (true) {
    try {
      io_.run();
      return;
    } catch (const std::exception& error) {
      // What the handler held is released; the requests of others go on.
      metrics_.GetCounter("harecrank_gateway_exceptions_total")->Add();
      log_.Write("exception", {{"what", error.what()}});
    }
  }
}

GatewayServices GatewayNode::MakeServices() {
  GatewayServices services;
  services.io = &io_;
  services.names = &names_;
  services.routing = &routing_;
  services.regions = &regions_;
  services.directory = &directory_;
  services.loads = &loads_;
  services.health = &health_;
  services.connections = &connections_;
  services.crashes = &crash_guard_;
  services.placer = &placer_;
  services.policy = &settings_.placement;
  services.budgets = &budgets_;
  services.start_limiter = &start_limiter_;
  services.response_handler = &response_handler_;
  services.backoff_notifier = &backoff_notifier_;
  services.queue = &queue_;
  services.orders = orders_.get();
  services.log = &log_;
  services.metrics = &metrics_;
  services.stops_at = [this]() -> std::optional<TimePoint> {
    if (!draining_ || clock_() - drain_started_at_ < kStreamAcceptTime) {
      return std::nullopt;
    }
    return drain_started_at_ + settings_.stop_limit - 2 * kStopMargin;
  };
  services.places = fleet_.Placements();
  services.on_endpoint_fault = [this] { fleet_.SendHeartbeatSoon(); };
  services.on_start_quota_exhausted = [this] { accept_gate_.OnPartUsedUp(); };
  services.clock = clock_;
  services.random = random_;
  return services;
}

void GatewayNode::RequestStop() {
  boost::asio::post(io_, [this] { BeginDrain(); });
}

int GatewayNode::KnownHosts() const {
  return std::max({kMinHosts, static_cast<int>(settings_.seed_peers.size()),
                   membership_.AliveHosts()});
}

std::optional<int> GatewayNode::HostsSharingRepeats() const {
  const std::optional<int> hosts =
      membership_.HostsSharingLimit(settings_.repeat_limit.window);
  if (!hosts.has_value()) {
    return std::nullopt;
  }
  return std::max(KnownHosts(), *hosts);
}

HttpReply GatewayNode::HandleReadiness(const HttpRequest& request) {
  if (request.target() != names_.readiness_path) {
    return MakeReply(http_status::kNotFound, "text/plain", "no such page\n");
  }
  return IsReady() ? MakeReply(http_status::kOk, "text/plain", "ready\n")
                   : MakeReply(http_status::kUnavailable, "text/plain",
                               "not ready\n");
}

SimpleHttpReply GatewayNode::HandleOperations(const HttpRequest& request) {
  if (request.target() == "/metrics") {
    return MakeReply(http_status::kOk, "text/plain; version=0.0.4",
                     metrics_.Text());
  }
  if (request.target() == "/dump") {
    nlohmann::json dump = DumpOf(MakeParts());
    dump["node"] = settings_.node_id.value;
    dump["data_centre"] = settings_.data_centre.value;
    dump["version"] = HARECRANK_VERSION;
    dump["ready"] = IsReady();
    dump["draining"] = draining_;
    // Strings that come from other hosts may be invalid UTF-8.
    return MakeReply(
        http_status::kOk, "application/json",
        dump.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  const std::string_view target = View(request.target());
  if (SnapshotServer::Serves(target)) {
    return snapshots_.Answer(target);
  }
  return MakeReply(http_status::kNotFound, "text/plain", "no such page\n");
}

GatewayParts GatewayNode::MakeParts() {
  return GatewayParts{
      &routing_, &regions_,     &region_reporter_,  &directory_,  &loads_,
      &health_,  &connections_, &endpoint_updater_, &quarantine_, &parts_,
      &queue_,   &membership_,  &start_limiter_,    &budgets_,    &planner_,
      &fleet_,   &store_sync_,  &snapshots_,        &callers_,    &log_};
}

void GatewayNode::AwaitSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (!error) {
      OnSignal(signal);
      AwaitSignal();
    }
  });
}

void GatewayNode::OnSignal(int signal) {
  if (signal == SIGHUP) {
    ApplySettings(reread_settings_(), "signal");
    return;
  }
  BeginDrain();
}

void GatewayNode::RereadSettings() {
  last_reread_at_ = clock_();
  const std::optional<GatewaySettings> new_settings = reread_settings_();
  const bool changed = new_settings.has_value() &&
                       (new_settings->seed_peers != settings_.seed_peers ||
                        new_settings->regions != settings_.regions ||
                        new_settings->stop_limit != settings_.stop_limit);
  if (changed) {
    ApplySettings(new_settings, "file");
  }
}

void GatewayNode::ApplySettings(
    const std::optional<GatewaySettings>& new_settings, const char* cause) {
  if (!new_settings.has_value()) {
    log_.Write("reload", {{"cause", cause}, {"taken", false}},
               LogRateLimit::kExempt);
    return;
  }
  // The addresses are fixed for the lifetime of the process. A change of them
  // needs a restart, and the platform restarts a process that it moves.
  settings_.seed_peers = new_settings->seed_peers;
  settings_.stop_limit = new_settings->stop_limit;
  membership_.SetSeeds(Addresses(new_settings->seed_peers));
  if (new_settings->regions != settings_.regions) {
    settings_.regions = new_settings->regions;
    regions_ = DataCentreRegions(settings_.regions);
    region_reporter_.ReportUnknown();
  }
  log_.Write("reload",
             {{"cause", cause},
              {"taken", true},
              {"seed_peers", new_settings->seed_peers.size()}},
             LogRateLimit::kExempt);
}

void GatewayNode::BeginDrain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  drain_started_at_ = clock_();
  log_.Write("drain", {{"requests", callers_.BusyCount()}},
             LogRateLimit::kExempt);
  fleet_.Leave();
}

void GatewayNode::AcceptCallers() {
  // Callers' connections wait in the listen queue until this host has an active
  // configuration and knows endpoints, and what crashes them. After
  // kConfigurationWait they are accepted anyway.
  const bool has_waited = clock_() - started_at_ >= kConfigurationWait;
  if (!accepting_ && ((IsReady() && KnowsCrashes()) || has_waited)) {
    accepting_ = true;
    callers_.Start();
  }
}

void GatewayNode::WatchLoopDelay(TimePoint now) {
  const bool was_behind = accept_gate_.IsBehind();
  accept_gate_.OnLoopDelay(now - tick_due_at_.value_or(now));
  if (accept_gate_.IsBehind() != was_behind) {
    log_.Write("accepting", {{"refuses", accept_gate_.IsBehind()},
                             {"callers", callers_.Count()}});
  }
}

bool GatewayNode::KnowsCrashes() const {
  const std::vector<HostAddress> seeds = Addresses(settings_.seed_peers);
  const bool is_alone =
      std::all_of(seeds.begin(), seeds.end(), [this](const HostAddress& seed) {
        return seed == Self(settings_).address;
      });
  return crashes_synced_ || settings_.first_start || is_alone;
}

void GatewayNode::Tick() {
  const TimePoint now = clock_();
  WatchLoopDelay(now);
  AcceptCallers();
  endpoint_updater_.RemoveExpired();
  membership_.RecordFleetSize();
  start_limiter_.Tick();
  engine_standings_.Tick();
  store_sync_.Tick();
  if (now - last_sweep_at_ >= kSweepInterval) {
    last_sweep_at_ = now;
    connections_.Sweep();
    quarantine_.Sweep();
    parts_.Sweep();
  }
  if (now - last_reread_at_ >= kSettingsPollInterval) {
    RereadSettings();
  }
  if (draining_) {
    ContinueDrain();
  }
  tick_due_at_ = clock_() + kTick;
  tick_timer_.expires_at(*tick_due_at_);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

void GatewayNode::ContinueDrain() {
  const auto elapsed = clock_() - drain_started_at_;
  if (elapsed < kBalancerNoticeTime) {
    return;
  }
  callers_.CloseIdle();
  const bool is_timed_out = elapsed + kStopMargin >= settings_.stop_limit;
  if (is_timed_out || callers_.BusyCount() == 0) {
    io_.stop();
  }
}

}  // namespace harecrank
