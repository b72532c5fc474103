#include "src/gateway/gateway_node.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/endpoint_request.h"
#include "src/gateway/exchange.h"

namespace harecrank {
namespace {

// How often the process looks after itself.
constexpr Millis kTick{100};
// How often the settings are read again: they may change without a signal, and
// what changes in them is not urgent.
constexpr Millis kRereadInterval{3000};
// How often idle connections to endpoints are looked at.
constexpr Millis kSweepInterval{1000};
// After a stop signal callers' idle connections are kept for as long as the
// balancer needs to miss two checks, one a second, and a moment more.
constexpr Millis kBalancerNotices{3000};
// After a stop signal streams are still begun for this long: those that are
// begun later could not end before the process has to.
constexpr Millis kTakesStreams{2700};
// What is left of the platform's patience when the process gives up waiting.
constexpr Millis kStopMargin{400};
// Descriptors that are not callers': files, listening sockets, endpoints.
constexpr std::size_t kReservedDescriptors = 1200;
constexpr std::size_t kLeastSessions = 256;

// How long callers wait for a process that has just started to know anything.
// They allow a connection a second.
constexpr Millis kFirstConfiguration{700};
// How many hosts share a bound where fewer are known.
constexpr int kLeastHosts = 3;

std::size_t MostSessions(std::size_t descriptors) {
  return descriptors > kReservedDescriptors + kLeastSessions
             ? descriptors - kReservedDescriptors
             : kLeastSessions;
}

KnownHost Self(const GatewaySettings& settings) {
  return KnownHost{HostAddress{settings.operations_address},
                   HostPower{settings.power}};
}

bool IsSeed(const GatewaySettings& settings) {
  const std::vector<std::string>& seeds = settings.seed_peers;
  return seeds.empty() || std::find(seeds.begin(), seeds.end(),
                                    settings.operations_address) != seeds.end();
}

nlohmann::json Names(const std::vector<EndpointId>& endpoints) {
  nlohmann::json names = nlohmann::json::array();
  for (const EndpointId& id : endpoints) {
    names.push_back(id.value);
  }
  return names;
}

std::vector<HostAddress> Addresses(const std::vector<std::string>& texts) {
  std::vector<HostAddress> addresses;
  addresses.reserve(texts.size());
  for (const std::string& text : texts) {
    addresses.push_back(HostAddress{text});
  }
  return addresses;
}

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
      holds_(&log_, &metrics_, clock_),
      directory_(clock_, settings_.leave_limit),
      loads_(clock_),
      health_(clock_),
      connections_(&io_, clock_),
      prober_(&io_),
      quarantine_(clock_),
      endpoint_news_(&directory_, &health_, &connections_, &log_, &metrics_),
      placer_(
          &directory_, &loads_, &health_, settings_.data_centre,
          LoadsOf::kThisHost, [this] { return KnownHosts(); },
          settings_.placement, random_),
      budgets_(
          settings_.repeat_bound,
          [this] { return std::max(KnownHosts(), hosts_.SharingHosts()); },
          clock_),
      queue_(&io_, clock_, settings_.placement.tried,
             settings_.placement.shares_by_account),
      orders_(platform.make_orders(&io_)),
      hosts_(Self(settings_), Addresses(settings_.seed_peers), clock_, random_),
      start_gate_(
          Self(settings_).address, settings_.cold_bound,
          [this] { return hosts_.Size().Most(); },
          [this] { return routing_.InForce(); }, &log_, &metrics_, clock_),
      planner_(
          &directory_, &health_, start_gate_.Shares(), settings_.data_centre,
          [this] { return routing_.InForce(); }, settings_.placement, clock_,
          random_),
      fleet_socket_(&io_, settings_.peers_address, &metrics_),
      fleet_(&io_, settings_.node_id, Self(settings_), Incarnation{random_()},
             &hosts_, &planner_, &health_, &fleet_socket_, MakeFleetPorts(),
             &log_, &metrics_, clock_, random_),
      crashes_(
          &quarantine_, &prober_, &directory_,
          [this](const EndpointId& id) { return start_gate_.IsResting(id); },
          [this](const RequestFingerprint& request) {
            fleet_.TellCrash(quarantine_.ReportOf(request));
          },
          &log_, &metrics_),
      answers_(&directory_, &health_, &endpoint_news_, &start_gate_,
               [this] { fleet_.TellSoon(); }),
      services_(MakeServices()),
      feed_(platform.make_feed(&io_, settings_, this, &holds_)),
      copies_(
          Self(settings_).power, &hosts_,
          [this](StoreRevision since) { return feed_->Export(since); },
          [this] { return known_up_to_; }, &metrics_, clock_),
      callers_(&io_, settings_.callers_address,
               MostSessions(settings_.descriptors), MakeSessionContext()),
      readiness_(&io_, settings_.readiness_address,
                 [this](const HttpRequest& r) { return AnswerReadiness(r); }),
      operations_(&io_, settings_.operations_address,
                  [this](const HttpRequest& r) { return AnswerOperations(r); }),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      tick_timer_(io_),
      duty_(IsSeed(settings_), MakeReadingPorts(), clock_, random_) {
  RegisterGauges();
}

GatewayNode::~GatewayNode() = default;

void GatewayNode::Run() {
  log_.Write("start",
             {{"version", HARECRANK_VERSION},
              {"data_centre", settings_.data_centre.value},
              {"callers_address", settings_.callers_address}},
             LogWeight::kAlwaysKept);
  started_ = clock_();
  fleet_.Start();
  readiness_.Start();
  operations_.Start();
  AwaitSignal();
  Tick();
  io_.run();
  log_.Write("stop", {{"requests_cut", callers_.BusyCount()}},
             LogWeight::kAlwaysKept);
}

GatewayServices GatewayNode::MakeServices() {
  GatewayServices services;
  services.io = &io_;
  services.names = &names_;
  services.routing = &routing_;
  services.directory = &directory_;
  services.loads = &loads_;
  services.health = &health_;
  services.connections = &connections_;
  services.crashes = &crashes_;
  services.placer = &placer_;
  services.policy = &settings_.placement;
  services.budgets = &budgets_;
  services.start_gate = &start_gate_;
  services.answers = &answers_;
  services.queue = &queue_;
  services.orders = orders_.get();
  services.log = &log_;
  services.metrics = &metrics_;
  services.stops_at = [this]() -> std::optional<TimePoint> {
    if (!draining_ || clock_() - drain_began_ < kTakesStreams) {
      return std::nullopt;
    }
    return drain_began_ + settings_.stop_limit - 2 * kStopMargin;
  };
  services.places = fleet_.Places();
  services.on_news = [this] { fleet_.TellSoon(); };
  services.clock = clock_;
  services.random = random_;
  return services;
}

void GatewayNode::RequestStop() {
  boost::asio::post(io_, [this] { BeginDrain(); });
}

SessionContext GatewayNode::MakeSessionContext() {
  SessionContext context;
  context.start_request = [this](CallerRequest request, TimePoint arrived,
                                 std::shared_ptr<AnswerPort> answer) {
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
  context.clock = clock_;
  return context;
}

int GatewayNode::KnownHosts() const {
  return std::max({kLeastHosts, static_cast<int>(settings_.seed_peers.size()),
                   hosts_.AliveHosts()});
}

bool GatewayNode::IsReady() const {
  return !draining_ && routing_.InForce() != nullptr && directory_.Count() > 0;
}

HttpReply GatewayNode::AnswerReadiness(const HttpRequest& request) {
  if (request.target() != names_.readiness_path) {
    return MakeReply(http_status::kNotFound, "text/plain", "no such page\n");
  }
  return IsReady() ? MakeReply(http_status::kOk, "text/plain", "ready\n")
                   : MakeReply(http_status::kUnavailable, "text/plain",
                               "not ready\n");
}

SmallReply GatewayNode::AnswerOperations(const HttpRequest& request) {
  if (request.target() == "/metrics") {
    return MakeReply(http_status::kOk, "text/plain; version=0.0.4",
                     metrics_.Text());
  }
  if (request.target() == "/dump") {
    // What hosts tell of endpoints need not be text.
    return MakeReply(
        http_status::kOk, "application/json",
        Dump().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  const std::string_view target = View(request.target());
  if (CopyServer::Serves(target)) {
    return copies_.Answer(target);
  }
  return MakeReply(http_status::kNotFound, "text/plain", "no such page\n");
}

nlohmann::json GatewayNode::Dump() {
  const auto table = routing_.InForce();
  const auto planner = hosts_.Planner();
  return {{"node", settings_.node_id.value},
          {"data_centre", settings_.data_centre.value},
          {"version", HARECRANK_VERSION},
          {"ready", IsReady()},
          {"draining", draining_},
          {"configuration", table == nullptr ? 0 : table->Version().value},
          {"source", {{"well", source_well_}, {"at", known_up_to_.value}}},
          {"fleet",
           {{"planner", planner.value_or(HostAddress{}).value},
            {"plans", fleet_.IsPlanner()},
            {"alive", hosts_.AliveHosts()},
            {"size", hosts_.Size().Most().value_or(0)}}},
          {"endpoints",
           {{"known", directory_.Count()},
            {"leaving", Names(directory_.Leaving())},
            {"missing", directory_.MissingCount()},
            {"avoided", health_.Avoided().size()}}},
          {"requests",
           {{"waiting", queue_.Count()},
            {"waiting_at_planner", planner_.WaitingCount()},
            {"held", quarantine_.HeldCount()}}},
          {"bounds", start_gate_.Describe()}};
}

ReadingDutyPorts GatewayNode::MakeReadingPorts() {
  ReadingDutyPorts ports;
  ports.sharers = [this] { return hosts_.ReadingHosts(); };
  ports.copy_is_near = [this] {
    return hosts_.BetterInformed(RoutingVersion{}, known_up_to_).has_value();
  };
  return ports;
}

FleetMemberPorts GatewayNode::MakeFleetPorts() {
  FleetMemberPorts ports;
  ports.describe = [this](HostWord* word) {
    const auto table = routing_.InForce();
    word->routing = table == nullptr ? RoutingVersion{} : table->Version();
    word->known_up_to = known_up_to_;
    word->source_well = source_well_;
    word->source_age = duty_.Age();
    word->own_reading = duty_.Own();
    word->crash_digest = quarantine_.SharedDigest();
    word->most_hosts = hosts_.Size().Counted();
  };
  ports.on_crashes = [this](const std::vector<CrashReport>& reports,
                            std::vector<CrashReport>* missing) {
    return crashes_.OnReports(reports, missing);
  };
  ports.shared_crashes = [this] { return quarantine_.SharedReports(); };
  ports.limits = [this] { return start_gate_.Reports(); };
  ports.on_limits = [this](const std::vector<LimitReport>& reports) {
    start_gate_.OnTold(reports);
  };
  ports.published = [this](StoreRevision since, std::size_t most_bytes) {
    return feed_->ExportNews(since, most_bytes);
  };
  ports.reads_routing = [this] { return feed_->ReadsRouting(); };
  ports.on_informed = [this](Millis age) { NoteInformed(age); };
  ports.on_reading_turn = [this](std::optional<int> turn) {
    duty_.SetTurn(turn);
    UpdateSource("told to stop reading");
  };
  ports.on_published = [this](const std::string& changes, bool source_well) {
    endpoint_news_.BeginTold();
    const auto at = feed_->Import(changes, source_well);
    endpoint_news_.EndTold();
    if (at.has_value()) {
      known_up_to_ = std::max(known_up_to_, *at);
    }
    return at.has_value();
  };
  return ports;
}

void GatewayNode::RegisterGauges() {
  RegisterPlannerGauges();
  metrics_.AddGauge("harecrank_gateway_configuration_version", [this] {
    const auto table = routing_.InForce();
    return table == nullptr ? 0.0 : static_cast<double>(table->Version().value);
  });
  metrics_.AddGauge("harecrank_gateway_endpoints",
                    [this] { return static_cast<double>(directory_.Count()); });
  metrics_.AddGauge("harecrank_gateway_endpoints_missing", [this] {
    return static_cast<double>(directory_.MissingCount());
  });
  metrics_.AddGauge("harecrank_gateway_endpoints_cold", [this] {
    return static_cast<double>(start_gate_.ColdCount());
  });
  metrics_.AddGauge("harecrank_gateway_endpoints_limited", [this] {
    return static_cast<double>(start_gate_.LimitedCount());
  });
  metrics_.AddGauge("harecrank_gateway_endpoints_leaving", [this] {
    return static_cast<double>(directory_.Leaving().size());
  });
  metrics_.AddGauge("harecrank_gateway_endpoints_resting", [this] {
    return static_cast<double>(start_gate_.RestingCount());
  });
  metrics_.AddGauge("harecrank_gateway_fleet_size", [this] {
    return static_cast<double>(hosts_.Size().Most().value_or(0));
  });
  metrics_.AddGauge("harecrank_gateway_data_centres_closed", [this] {
    return static_cast<double>(directory_.Closed().Count());
  });
  metrics_.AddGauge("harecrank_gateway_closed_endpoints_busy", [this] {
    return static_cast<double>(endpoint_news_.BusyClosed(loads_));
  });
  metrics_.AddGauge("harecrank_gateway_source_well",
                    [this] { return source_well_ ? 1.0 : 0.0; });
  metrics_.AddGauge("harecrank_gateway_waiting",
                    [this] { return static_cast<double>(queue_.Count()); });
  metrics_.AddGauge("harecrank_gateway_hosts_alive", [this] {
    return static_cast<double>(hosts_.AliveHosts());
  });
  metrics_.AddGauge("harecrank_gateway_idle_connections", [this] {
    return static_cast<double>(connections_.IdleCount());
  });
  metrics_.AddGauge("harecrank_gateway_callers",
                    [this] { return static_cast<double>(callers_.Count()); });
  metrics_.AddGauge("harecrank_gateway_requests_suspect", [this] {
    return static_cast<double>(quarantine_.Count());
  });
  metrics_.AddGauge("harecrank_gateway_requests_held", [this] {
    return static_cast<double>(quarantine_.HeldCount());
  });
  metrics_.AddGauge("harecrank_gateway_log_lines_dropped",
                    [this] { return static_cast<double>(log_.Dropped()); });
}

void GatewayNode::RegisterPlannerGauges() {
  metrics_.AddGauge("harecrank_gateway_is_planner",
                    [this] { return fleet_.IsPlanner() ? 1.0 : 0.0; });
  metrics_.AddGauge("harecrank_gateway_planned_hosts", [this] {
    return static_cast<double>(planner_.HostCount());
  });
  metrics_.AddGauge("harecrank_gateway_waiting_at_planner", [this] {
    return static_cast<double>(planner_.WaitingCount());
  });
  metrics_.AddGauge("harecrank_gateway_accounts_waiting", [this] {
    return static_cast<double>(planner_.WaitingAccounts());
  });
  metrics_.AddGauge("harecrank_gateway_accounts_sated", [this] {
    return static_cast<double>(planner_.SatedAccounts());
  });
  metrics_.AddGauge("harecrank_gateway_promises_open", [this] {
    return static_cast<double>(planner_.PromiseCount());
  });
  metrics_.AddGauge("harecrank_gateway_promises_made", [this] {
    return static_cast<double>(planner_.Promises().made);
  });
  metrics_.AddGauge("harecrank_gateway_promises_kept", [this] {
    return static_cast<double>(planner_.Promises().kept);
  });
  metrics_.AddGauge("harecrank_gateway_promises_broken", [this] {
    return static_cast<double>(planner_.Promises().broken);
  });
}

void GatewayNode::OnRouting(RoutingDocument document) {
  const auto table = std::make_shared<const RoutingTable>(std::move(document));
  if (!routing_.Offer(table)) {
    return;
  }
  log_.Write("configuration",
             {{"version", table->Version().value},
              {"routes", table->Document().routes.size()},
              {"services", table->Document().services.size()}},
             LogWeight::kAlwaysKept);
  AcceptCallers();
}

void GatewayNode::OnListing(std::vector<EndpointRecord> records,
                            std::vector<ClosedDataCentre> closed,
                            StoreRevision at) {
  start_gate_.OnListing(records);
  endpoint_news_.OnListing(records, at);
  for (const EndpointRecord& record : records) {
    NoteLife(record.id);
  }
  endpoint_news_.OnClosedListed(closed, at);
  AcceptCallers();
}

void GatewayNode::OnEndpoint(const EndpointRecord& record) {
  start_gate_.OnEndpoint(record);
  endpoint_news_.OnEndpoint(record);
  NoteLife(record.id);
}

void GatewayNode::NoteLife(const EndpointId& id) {
  const EndpointRecord* held = directory_.Find(id);
  if (held != nullptr) {
    start_gate_.OnLife(id, held->life);
  }
}

void GatewayNode::OnEndpointGone(const EndpointId& id, StoreRevision revision) {
  start_gate_.OnGone(id);
  endpoint_news_.OnGone(id, revision);
}

void GatewayNode::OnEndpointUnusable(const EndpointId& id,
                                     StoreRevision revision,
                                     const std::string& reason) {
  endpoint_news_.OnUnusable(id, revision, reason);
}

void GatewayNode::OnDataCentreClosed(const ClosedDataCentre& order) {
  endpoint_news_.OnClosed(order);
}

void GatewayNode::OnDataCentreOpened(const DataCentreId& id,
                                     StoreRevision revision) {
  endpoint_news_.OnOpened(id, revision);
}

void GatewayNode::OnSourceWell(StoreRevision at) {
  known_up_to_ = std::max(known_up_to_, at);
  const bool is_late = duty_.IsLate();
  duty_.OnAnswered();
  NoteKnown(Millis(0), is_late);
  fleet_.OnOwnReading();
}

void GatewayNode::OnInformed(StoreRevision at) {
  known_up_to_ = std::max(known_up_to_, at);
  NoteInformed(Millis(0));
}

void GatewayNode::NoteInformed(Millis age) {
  const bool is_late = duty_.IsLate();
  duty_.OnInformed(age);
  NoteKnown(age, is_late);
}

void GatewayNode::NoteKnown(Millis age, bool is_late) {
  directory_.OnSourceBack(known_up_to_, age);
  UpdateSource("");
  fleet_.OnPublished();
  if (is_late) {
    fleet_.OnInformedLate();
  }
}

void GatewayNode::OnSourceLost(const std::string& reason) {
  duty_.OnFailed();
  directory_.OnSourceLost(duty_.Age());
  UpdateSource(reason);
  fleet_.OnOwnReading();
}

void GatewayNode::UpdateSource(const std::string& reason) {
  duty_.Update();
  feed_->SetReading(duty_.Kind());
  const bool well = duty_.IsWell();
  if (well == source_well_) {
    return;
  }
  source_well_ = well;
  if (well) {
    log_.Write("source_regained", {{"at", known_up_to_.value}},
               LogWeight::kAlwaysKept);
  } else {
    log_.Write("source_lost",
               {{"reason", reason}, {"known_up_to", known_up_to_.value}},
               LogWeight::kAlwaysKept);
  }
}

void GatewayNode::OnUnusable(const std::string& what,
                             const std::string& reason) {
  metrics_.GetCounter("harecrank_gateway_unusable_entries_total")->Add();
  log_.Write("unusable", {{"what", what}, {"reason", reason}},
             LogWeight::kAlwaysKept);
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
    Apply(reread_settings_(), "signal");
    return;
  }
  BeginDrain();
}

void GatewayNode::RereadSettings() {
  reread_ = clock_();
  const std::optional<GatewaySettings> fresh = reread_settings_();
  const bool changed =
      fresh.has_value() && (fresh->seed_peers != settings_.seed_peers ||
                            fresh->stop_limit != settings_.stop_limit);
  if (changed) {
    Apply(fresh, "file");
  }
}

void GatewayNode::Apply(const std::optional<GatewaySettings>& fresh,
                        const char* cause) {
  if (!fresh.has_value()) {
    log_.Write("reload", {{"cause", cause}, {"taken", false}},
               LogWeight::kAlwaysKept);
    return;
  }
  // Addresses are those of this life of the process; a change of them needs a
  // restart, and the platform restarts where it moves a process.
  settings_.seed_peers = fresh->seed_peers;
  settings_.stop_limit = fresh->stop_limit;
  hosts_.SetSeeds(Addresses(fresh->seed_peers));
  log_.Write("reload",
             {{"cause", cause},
              {"taken", true},
              {"seed_peers", fresh->seed_peers.size()}},
             LogWeight::kAlwaysKept);
}

void GatewayNode::BeginDrain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  drain_began_ = clock_();
  log_.Write("drain", {{"requests", callers_.BusyCount()}},
             LogWeight::kAlwaysKept);
  fleet_.Leave();
}

void GatewayNode::AcceptCallers() {
  // Connections wait in the listening socket for the moment that the first
  // configuration takes; without one for longer they are told so.
  const bool waited = clock_() - started_ >= kFirstConfiguration;
  if (!accepting_ && (IsReady() || waited)) {
    accepting_ = true;
    callers_.Start();
  }
}

void GatewayNode::Tick() {
  const TimePoint now = clock_();
  AcceptCallers();
  endpoint_news_.DropLapsed();
  hosts_.NoteSize();
  start_gate_.Tick();
  UpdateSource("nobody told for a while");
  if (now - swept_ >= kSweepInterval) {
    swept_ = now;
    connections_.Sweep();
    quarantine_.Sweep();
  }
  if (now - reread_ >= kRereadInterval) {
    RereadSettings();
  }
  if (draining_) {
    ContinueDrain();
  }
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

void GatewayNode::ContinueDrain() {
  const auto passed = clock_() - drain_began_;
  if (passed < kBalancerNotices) {
    return;
  }
  callers_.CloseIdle();
  const bool late = passed + kStopMargin >= settings_.stop_limit;
  if (late || callers_.BusyCount() == 0) {
    io_.stop();
  }
}

}  // namespace harecrank
