// Tracks which endpoints have failed recently, from this host's own requests
// and from reports of other hosts.

#ifndef HARECRANK_CORE_ENDPOINT_HEALTH_H_
#define HARECRANK_CORE_ENDPOINT_HEALTH_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_pace.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// An endpoint that this host avoids, and how much longer it avoids it.
struct AvoidedEndpoint {
  EndpointId id;
  Millis left{0};
};

// A circuit breaker per endpoint. Consecutive failures open the circuit, so
// that requests go to other endpoints if possible, for a time that doubles with
// each further failure. An endpoint with a high failure ratio is used only if
// there is no other. Not thread-safe.
class EndpointHealth {
 public:
  // If `judges_groups`, engines have a standing by the groups and the prompts
  // that they have prefilled; see EnginePace.
  explicit EndpointHealth(MonotonicClock clock, bool judges_groups = false);

  // Records a response or the first event of a stream. `slowdown` is the ratio
  // of the observed to the expected response time.
  void OnSuccess(const EndpointId& id, double slowdown);

  // Records the first event of a prompt that engines have prefilled. The
  // success is that of the engine that decodes.
  void OnFirstEvent(const PrefillObservation& observation);

  // Records trouble of a group; see EnginePace::OnGroupTrouble.
  void OnGroupTrouble(const std::vector<EndpointId>& engines, double slowdown,
                      FractionalMillis elapsed);

  // Records that bytes arrived from the endpoint, which is alive even if it is
  // slow.
  void OnBytesReceived(const EndpointId& id);

  // Records that a request is overdue because no bytes have arrived for it
  // since `since`. This counts as a failure unless bytes of other requests have
  // arrived from the endpoint, as determined by ReceivedBytesAfter(id, since).
  void OnOverdue(const EndpointId& id, TimePoint since);

  // Records a response that arrived in time but reported a failure. It raises
  // the failure ratio but does not open the circuit.
  void OnErrorAnswer(const EndpointId& id);

  // Records that the endpoint could not be reached, stopped sending, or closed
  // the connection early.
  void OnUnreachable(const EndpointId& id);

  // Records that another endpoint reported this one as the cause of a failed
  // request: it is leaving, gone, or accepts no more work. Successful responses
  // do not clear the report, since a leaving endpoint still completes requests
  // in progress.
  void OnReportedAtFault(const EndpointId& id);

  // Records that another host will avoid the endpoint for `left` from now.
  void OnAvoidedByPeer(const EndpointId& id, Millis left);

  // Returns the endpoints that this host avoids because of its own
  // observations, without those reported by other hosts.
  std::vector<AvoidedEndpoint> Avoided() const;

  // Returns whether bytes arrived from the endpoint at least kAliveMargin after
  // `time`.
  bool ReceivedBytesAfter(const EndpointId& id, TimePoint time) const;

  // Returns whether requests should go to another endpoint if possible.
  bool IsSuspect(const EndpointId& id) const;

  // Returns the running mean of observed over expected response time; 1 if
  // unknown.
  double Slowdown(const EndpointId& id) const;

  // Returns what recent requests show about an engine. Always kSound if engines
  // have no standing.
  EngineStanding StandingOf(const EndpointId& id) const;

  // Returns whether an engine that is not sound should be given a prompt, to
  // find out whether it has recovered.
  bool IsTrialDue(const EndpointId& id) const;

  // Returns the engines that are not sound.
  std::map<EndpointId, EngineStanding> UnsoundEngines() const;

  // Removes the state of an endpoint.
  void Forget(const EndpointId& id) {
    states_.erase(id);
    pace_.Forget(id);
  }

  // Time for which the first failure opens the circuit. It lies between the
  // time of a connection set-up, which would be too short, and the time until
  // missing heartbeats show that a host is dead, which would be too long.
  static constexpr Millis kInitialOpenTime{700};
  static constexpr Millis kMaxOpenTime{5600};
  // Endpoints that only other hosts name are remembered up to this number.
  static constexpr std::size_t kMaxEndpoints = 16384;
  // How long an endpoint is avoided after another endpoint has reported it.
  // After about this time a leaving endpoint is gone or published as leaving.
  // While the store is unavailable, further requests cause new reports, one per
  // host.
  static constexpr Millis kReportedOpenTime{3000};
  // Failure ratio above which an endpoint is used only if there is no other.
  // Plain services fail one request in seven in normal operation, and avoiding
  // a host that fails a third of its requests costs more than it saves when all
  // hosts are busy.
  static constexpr double kSuspectFailureRatio = 0.5;
  // How long after its last failure an endpoint above kSuspectFailureRatio is
  // avoided. Without this limit it would receive no requests while others are
  // healthy, and could never recover.
  static constexpr Millis kProbeDelay{1400};
  // Failure ratio above which an engine is kFailing. A prompt that a group
  // prefills costs far more than a short one, so groups leave an engine out
  // sooner than kSuspectFailureRatio.
  static constexpr double kFailingRatio = 0.25;
  // How long after its last failure an engine above kFailingRatio is kFailing.
  static constexpr Millis kFailingTime{6000};
  // Time after the last evidence against a slow or failing engine before it is
  // tried again. Suspected engines are tried at once, since most are sound.
  static constexpr Millis kTrialPause{500};
  // Minimum time between the last byte of an overdue request and later bytes of
  // any request from the same endpoint for the endpoint to count as slow rather
  // than silent.
  static constexpr Millis kAliveMargin{300};

 private:
  struct State;
  void RecordFailure(State* state);

  // Recent results of requests to one endpoint, and reports about it from other
  // endpoints and hosts.
  struct State {
    int failures_in_a_row = 0;
    // Until when this host's own failures open the circuit.
    TimePoint open_until{};
    // Until when the endpoint is avoided because another endpoint reported it.
    TimePoint reported_until{};
    // Until when another host avoids the endpoint.
    TimePoint peer_avoids_until{};
    TimePoint last_bytes_at{};
    double failure_ratio = 0;
    TimePoint last_failure_at{};
  };

  // Returns whether an engine with this state fails a share of its requests.
  bool IsFailing(const State& state) const;

  MonotonicClock clock_;
  bool judges_groups_;
  EnginePace pace_;
  std::unordered_map<EndpointId, State> states_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_HEALTH_H_
