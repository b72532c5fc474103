// The gateway process of a host: receives callers' requests and forwards them
// directly to endpoints.

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
#include "src/gateway/engine_standing_log.h"
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

// Creates the feed that passes the store's data to `sink`.
using FeedFactory = std::function<std::unique_ptr<DirectoryFeed>(
    boost::asio::io_context* io, const GatewaySettings& settings,
    DirectorySink* sink, EventLoopMonitor* monitor)>;

// Creates the client that reserves engine memory.
using OrdersFactory =
    std::function<std::unique_ptr<MemoryOrders>(boost::asio::io_context* io)>;

// The platform's header names, and factories for the components that depend on
// the platform.
struct PlatformAdapters {
  ProtocolNames names;
  FeedFactory make_feed;
  OrdersFactory make_orders;
};

// Returns the current settings, or nothing if they are invalid.
using SettingsSource = std::function<std::optional<GatewaySettings>()>;

// Owns and connects all components of a gateway. All components run on one
// thread, since a host has less than one core; docs/PLATFORM.md lists the
// resources of a host.
class GatewayNode {
 public:
  // Throws boost::system::system_error if an address cannot be bound.
  // `reread_settings` is called when the settings may have changed.
  GatewayNode(GatewaySettings settings, SettingsSource reread_settings,
              const PlatformAdapters& platform, MonotonicClock clock,
              RandomSource random);
  ~GatewayNode();
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  // Runs until the gateway has drained after a stop signal.
  void Run();

  // Starts to drain the gateway, like a stop signal. Thread-safe.
  void RequestStop();

 private:
  // Runs the event loop until it is stopped. An exception ends one handler.
  void RunLoop();
  GatewayServices MakeServices();
  SessionContext MakeSessionContext();
  HttpReply HandleReadiness(const HttpRequest& request);
  SimpleHttpReply HandleOperations(const HttpRequest& request);
  PartQuarantine::FleetView MakeFleetView();
  FleetMemberPorts MakeFleetPorts();
  PollSchedulePorts MakePollSchedulePorts();
  StoreSyncStatePorts MakeStoreSyncPorts();
  GatewayParts MakeParts();
  void AwaitSignal();
  void OnSignal(int signal);
  void RereadSettings();
  // Applies the settings that may change at run time. `cause` names the trigger
  // of the reload in the log.
  void ApplySettings(const std::optional<GatewaySettings>& new_settings,
                     const char* cause);
  void BeginDrain();
  void AcceptCallers();
  // Returns whether this host need not wait for the crash reports of others.
  bool KnowsCrashes() const;
  void Tick();
  // Records how late this tick is.
  void WatchLoopDelay(TimePoint now);
  void ContinueDrain();
  int KnownHosts() const;
  // Returns the number of hosts that share the limit on repeats, or nothing
  // while this host has no part of its allowance.
  std::optional<int> HostsSharingRepeats() const;
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
  DataCentreRegions regions_;
  RegionReporter region_reporter_;
  EndpointDirectory directory_;
  EndpointLoads loads_;
  EndpointHealth health_;
  EngineStandingLog engine_standings_;
  EndpointConnectionPool connections_;
  EndpointProber prober_;
  EndpointIdentifier identifier_;
  RequestQuarantine quarantine_;
  PartQuarantine parts_;
  EndpointUpdater endpoint_updater_;
  Placer placer_;
  RepeatBudgets budgets_;
  DispatchQueue queue_;
  std::unique_ptr<MemoryOrders> orders_;
  Membership membership_;
  StartLimiter start_limiter_;
  Planner planner_;
  FleetSocket fleet_socket_;
  FleetMember fleet_;
  CrashGuard crash_guard_;
  BackoffNotifier backoff_notifier_;
  EndpointResponseHandler response_handler_;
  GatewayServices services_;
  StoreSyncState store_sync_;
  StoreUpdateHandler store_updates_;
  std::unique_ptr<DirectoryFeed> feed_;
  SnapshotServer snapshots_;
  BodyBudget bodies_;
  RequestShare request_share_;
  AcceptGate accept_gate_;
  CallerListener callers_;
  SimpleHttpServer readiness_;
  SimpleHttpServer operations_;
  boost::asio::signal_set signals_;
  Timer tick_timer_;
  // When the next tick is due; unset before the first.
  std::optional<TimePoint> tick_due_at_;
  TimePoint started_at_{};
  // Whether this host knows all crash reports of some other host.
  bool crashes_synced_ = false;
  bool accepting_ = false;
  bool draining_ = false;
  TimePoint drain_started_at_{};
  TimePoint last_sweep_at_{};
  TimePoint last_reread_at_{};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_GATEWAY_NODE_H_
