// Whether this host reads the platform's service itself, and for how long.
//
// Each call to the service has a price, and its rates grow more slowly than the
// fleet. One host, the planner or one that it names, reads all the time and
// tells the rest; two stand by. What a host knows has an age, counted from the
// moment at which the service last answered whoever read it. The host whose
// turn comes first at that age reads once and tells the planner, which tells
// the others before their turns come:
//
//   the reader         always
//   those that         at kStandbyPollAge, and kStandbyPollStep later for each
//   before stand by           them all others         from kFreshFor on, a few
//   first and more by and by,
//                      but never more than kMaxConcurrentPolls together
//
// So the number of calls a second is bounded whatever the size of the fleet,
// also while the service answers nobody, and no rule that binds a host depends
// on another host for long. A host that hears no other shares the turns with
// nobody, and reads at kStandbyPollAge.

#ifndef HARECRANK_CORE_POLL_SCHEDULE_H_
#define HARECRANK_CORE_POLL_SCHEDULE_H_

#include <functional>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// How a host reads the platform.
enum class PollMode {
  // Not at all: it is told by others.
  kNone,
  // One answer, since nobody has told it for a while.
  kOnce,
  // All the time, for others too.
  kContinuous
};

// What the duty asks of its owner.
struct PollSchedulePorts {
  // How many hosts share the turns, this one among them; one if it hears no
  // other.
  std::function<int()> polling_hosts;
  // Whether another host is known that can tell this one all it does not know.
  std::function<bool()> snapshot_available;
};

// Not thread-safe.
class PollSchedule {
 public:
  // `is_seed`: other hosts turn to this one first.
  PollSchedule(bool is_seed, PollSchedulePorts ports, MonotonicClock clock,
               RandomSource random);

  // The planner, which may be this host, has named this one's turn among those
  // that read for all: zero reads all the time, others stand by. Nothing: it
  // is none of them.
  void SetPollRank(std::optional<int> turn);

  // The service answered this host, or not as it should.
  void OnPollSucceeded();
  void OnPollFailed();

  // A host has told this one all that it knows, which the service answered
  // `age` ago. What was read long ago counts as little at the end of a chain of
  // hosts as at its beginning.
  void OnPeerUpdate(Millis age);

  // Looks whether this host's turn has come. To be called a few times a second
  // and before Mode is looked at.
  void Update();

  // Returns how this host has to read.
  PollMode Mode() const;

  // Returns how this host's own reading goes.
  PollState OwnPollState() const;

  // Returns whether this host knows what is published, from the service or from
  // another host.
  bool HasFreshData() const { return Age() <= kFreshFor; }

  // Returns whether the turns of hosts that stand by have begun to come.
  bool IsOverdue() const { return Age() > kStandbyPollAge; }

  // Returns how long ago the service answered what this host knows; kUnknownAge
  // if it knows nothing.
  Millis Age() const;

  // How long the reader's calls wait for a change.
  static constexpr Millis kLongPollWait{500};
  // What a call takes, and what a word takes on its way and in the queues of
  // weak hosts.
  static constexpr Millis kCallTime{50};
  static constexpr Millis kHeartbeatDelay{50};
  // The longest pause between two words of the planner to a host.
  static constexpr Millis kMaxHeartbeatInterval{340};
  // How long an answer of the service counts.
  static constexpr Millis kFreshFor{1000};
  // Longer than any answer counts.
  static constexpr Millis kUnknownAge{3600000};
  // The age at which the first host that stands by reads: the planner tells it
  // each answer at once.
  static constexpr Millis kStandbyPollAge{650};
  static constexpr Millis kStandbyPollStep{150};
  // The turns of all other hosts come within this.
  static constexpr Millis kSpread{400};
  // With so many that begin at once, all are turned away together only where
  // the service turns away nearly everyone; and so many begin first.
  static constexpr int kMaxConcurrentPolls = 16;
  static constexpr int kInitialConcurrentPolls = 2;
  // After this the turns are drawn anew; it doubles while the service does not
  // answer this host.
  static constexpr Millis kRound{500};
  static constexpr Millis kMaxRound{2000};
  // A seed that has just started reads at once, since callers may be waiting
  // for the whole fleet. The turns of other hosts come after this, and for so
  // long at the most they wait for a copy of what another one knows.
  static constexpr Millis kStartupDelay{150};
  static constexpr Millis kMaxSnapshotWait{2000};

  // A host that every word reaches has no turn while the service is well, and
  // one that has missed a word does not read for sure.
  static_assert(kLongPollWait + kCallTime + kMaxHeartbeatInterval +
                    kHeartbeatDelay <=
                kFreshFor);
  static_assert(kLongPollWait + kCallTime + 2 * kMaxHeartbeatInterval +
                    kHeartbeatDelay <=
                kFreshFor + kSpread);
  // Those that stand by are told within their patience, and others are told
  // what the first of them reads before their own turns come.
  static_assert(kLongPollWait + kCallTime + kHeartbeatDelay <= kStandbyPollAge);
  static_assert(kStandbyPollAge + kStandbyPollStep + kCallTime +
                    2 * kHeartbeatDelay <=
                kFreshFor);
  static_assert(kSpread < kRound);

 private:
  bool KnowsNothing() const { return !answered_at_.has_value(); }
  // Returns the age at which this host's turns begin.
  Millis Patience() const;
  // Begins the rounds of turns at `from`.
  void BeginRounds(TimePoint from);
  Millis RoundLength() const;
  // Returns how long after the beginning of a round this host's turn comes;
  // nothing if not in this round.
  std::optional<Millis> TurnInRound() const;

  PollSchedulePorts ports_;
  MonotonicClock clock_;
  RandomSource random_;
  TimePoint started_;
  std::optional<int> turn_;
  // Its turn has come, and the service is still to answer.
  bool reads_once_ = false;
  int failures_ = 0;
  // When the service last failed to answer this host, unless it has answered
  // since; when it last answered it, and whoever it knows from.
  std::optional<TimePoint> failed_at_;
  std::optional<TimePoint> own_answered_at_;
  std::optional<TimePoint> answered_at_;
  TimePoint round_began_;
  // Of this round, between zero and one.
  double draw_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_POLL_SCHEDULE_H_
