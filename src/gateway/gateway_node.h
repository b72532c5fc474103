// The process of an entry host that forwards straight to endpoints.

#ifndef HARECRANK_SRC_GATEWAY_GATEWAY_NODE_H_
#define HARECRANK_SRC_GATEWAY_GATEWAY_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/adapters/settings.h"
#include "src/gateway/caller_listener.h"
#include "src/gateway/crash_guard.h"
#include "src/gateway/directory_feed.h"
#include "src/gateway/endpoint_prober.h"
#include "src/gateway/endpoint_response_handler.h"
#include "src/gateway/endpoint_updater.h"
#include "src/gateway/event_loop_monitor.h"
#include "src/gateway/fleet_member.h"
#include "src/gateway/gateway_gauges.h"
#include "src/gateway/gateway_services.h"
#include "src/gateway/simple_http_server.h"
#include "src/gateway/snapshot_server.h"
#include "src/gateway/store_sync_state.h"
#include "src/gateway/store_update_handler.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Makes the feed that tells `sink` what the platform publishes.
using FeedFactory = std::function<std::unique_ptr<DirectoryFeed>(
    boost::asio::io_context* io, const GatewaySettings& settings,
    DirectorySink* sink, EventLoopMonitor* holds)>;

// Makes what sends orders to engines.
using OrdersFactory =
    std::function<std::unique_ptr<MemoryOrders>(boost::asio::io_context* io)>;

// What a gateway needs to know of the platform that it serves on.
struct PlatformAdapters {
  ProtocolNames names;
  FeedFactory make_feed;
  OrdersFactory make_orders;
};

// Returns the settings as they are now, or nothing if they cannot be used.
using SettingsSource = std::function<std::optional<GatewaySettings>()>;

// One thread runs all of it: a host's share of a core is less than one, and
// docs/PLATFORM.md has the figures.
class GatewayNode {
 public:
  // Throws boost::system::system_error if an address cannot be had.
  // `reread_settings` is called when the settings may have changed.
  GatewayNode(GatewaySettings settings, SettingsSource reread_settings,
              const PlatformAdapters& platform, MonotonicClock clock,
              RandomSource random);
  ~GatewayNode();
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  // Runs until a stop signal has been obeyed.
  void Run();

  // Does what a stop signal does. Thread-safe.
  void RequestStop();

 private:
  GatewayServices MakeServices();
  SessionContext MakeSessionContext();
  HttpReply AnswerReadiness(const HttpRequest& request);
  SimpleHttpReply AnswerOperations(const HttpRequest& request);
  FleetMemberPorts MakeFleetPorts();
  PollSchedulePorts MakeReadingPorts();
  StoreSyncStatePorts MakeSourcePorts();
  GatewayParts MakeParts();
  void AwaitSignal();
  void OnSignal(int signal);
  void RereadSettings();
  // Takes over what may change while the process runs.
  void Apply(const std::optional<GatewaySettings>& fresh, const char* cause);
  void BeginDrain();
  void AcceptCallers();
  void Tick();
  void ContinueDrain();
  int KnownHosts() const;
  bool IsReady() const {
    return !draining_ && routing_.InForce() != nullptr &&
           directory_.Count() > 0;
  }

  GatewaySettings settings_;
  SettingsSource reread_settings_;
  ProtocolNames names_;
  MonotonicClock clock_;
  RandomSource random_;
  boost::asio::io_context io_;
  EventLog log_;
  Metrics metrics_;
  EventLoopMonitor loop_monitor_;
  RoutingState routing_;
  EndpointDirectory directory_;
  EndpointLoads loads_;
  EndpointHealth health_;
  EndpointConnectionPool connections_;
  EndpointProber prober_;
  RequestQuarantine quarantine_;
  EndpointUpdater endpoint_updater_;
  Placer placer_;
  RepeatBudgets budgets_;
  DispatchQueue queue_;
  std::unique_ptr<MemoryOrders> orders_;
  Membership hosts_;
  StartLimiter start_limiter_;
  Planner planner_;
  FleetSocket fleet_socket_;
  FleetMember fleet_;
  CrashGuard crashes_;
  BackoffNotifier backoff_notifier_;
  EndpointResponseHandler answers_;
  GatewayServices services_;
  StoreSyncState source_;
  StoreUpdateHandler news_;
  std::unique_ptr<DirectoryFeed> feed_;
  SnapshotServer copies_;
  CallerListener callers_;
  SimpleHttpServer readiness_;
  SimpleHttpServer operations_;
  boost::asio::signal_set signals_;
  Timer tick_timer_;
  TimePoint started_{};
  bool accepting_ = false;
  bool draining_ = false;
  TimePoint drain_began_{};
  TimePoint swept_{};
  TimePoint reread_{};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_GATEWAY_NODE_H_
