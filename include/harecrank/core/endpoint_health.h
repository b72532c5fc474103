// Which endpoints have failed lately, seen from a host's own requests.

#ifndef HARECRANK_CORE_ENDPOINT_HEALTH_H_
#define HARECRANK_CORE_ENDPOINT_HEALTH_H_

#include <unordered_map>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// An endpoint that is left alone, and for how much longer.
struct AvoidedEndpoint {
  EndpointId id;
  Millis left{0};
};

// A circuit for each endpoint: failures in a row open it for a time that
// doubles, and a high share of failures makes it a last choice. Not
// thread-safe.
class EndpointHealth {
 public:
  explicit EndpointHealth(MonotonicClock clock);

  // Notes that an answer or a first event came, and how long that took in
  // relation to what was expected: 1 is as expected.
  void OnSuccess(const EndpointId& id, double pace);

  // Notes that bytes came from it: it is alive, however slow.
  void OnBytesReceived(const EndpointId& id);

  // Notes that a request waited in vain since `since`. That tells of the
  // endpoint only if nothing else was heard from it either.
  void OnOverdue(const EndpointId& id, TimePoint since);

  // Notes an answer that came as expected in time but was a failure.
  void OnErrorAnswer(const EndpointId& id);

  // Notes that it could not be reached, fell silent or broke off.
  void OnUnreachable(const EndpointId& id);

  // Notes that another endpoint named it as the one that a request failed by:
  // it leaves, is gone, or takes no more. Its own answers do not change that,
  // since one that leaves still ends what it has begun.
  void OnReportedAtFault(const EndpointId& id);

  // Notes that a peer leaves it alone for `left` more.
  void OnAvoidedByPeer(const EndpointId& id, Millis left);

  // Returns the endpoints that this host leaves alone by what it has seen
  // itself, and for how much longer.
  std::vector<AvoidedEndpoint> Avoided() const;

  // Returns whether bytes came from it clearly later than `time`.
  bool ReceivedBytesAfter(const EndpointId& id, TimePoint time) const;

  // Returns whether requests should go elsewhere if they can.
  bool IsSuspect(const EndpointId& id) const;

  // Returns how much slower than expected it has lately been; 1 if not known.
  double Slowdown(const EndpointId& id) const;

  // Forgets endpoints that are gone.
  void Forget(const EndpointId& id) { states_.erase(id); }

  // The first time that an unreachable endpoint is left alone: about as long
  // as a host needs to be found dead by its heartbeats is too long, a
  // connection's set-up too short.
  static constexpr Millis kInitialOpenTime{700};
  static constexpr Millis kMaxOpenTime{5600};
  // How long an endpoint is left alone that another has named. One that leaves
  // is gone, or published as leaving, after about this; with the platform
  // silent it is named again, once for each host.
  static constexpr Millis kReportedOpenTime{3000};
  // Share of failures above which an endpoint is a last choice. Plain services
  // fail one in seven in ordinary running, and to leave a host that fails a
  // third of its requests unused costs more than it saves while all are busy.
  static constexpr double kSuspectFailureRatio = 0.5;
  // How long after its last failure an endpoint with such a share is a last
  // choice. Without an end it gets no request while others are sound, and so
  // never shows that it is well.
  static constexpr Millis kProbeDelay{1400};
  // An endpoint that was heard from this long after a request's last byte is
  // slow and not silent.
  static constexpr Millis kAliveMargin{300};

 private:
  struct State;
  void NoteFailure(State* state);

  struct State {
    int failures_in_a_row = 0;
    TimePoint blocked_until{};
    TimePoint named_until{};
    // As peers say.
    TimePoint avoided_until{};
    TimePoint heard{};
    double failure_share = 0;
    TimePoint failed_at{};
    double pace = 1;
  };

  MonotonicClock clock_;
  std::unordered_map<EndpointId, State> states_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_HEALTH_H_
