// Decides whether and how a host polls the store.
//
// Each call to the store has a cost, and its rate limits grow more slowly than
// the fleet. One host, the planner or one that it names, polls continuously and
// updates the others; two more hosts stand by. The data of a host have an age:
// the time since the store gave the answer from which they come, to whichever
// host. As the data of a host grow old, the host polls once and updates the
// planner, which updates the others before they poll as well:
//
// continuous poller   always
// standby hosts       from age kStandbyPollAge on, and kStandbyPollStep
//                     later for each standby host before it
// all other hosts     from age kFreshFor on, in rounds: a few hosts at the
//                     beginning of a round, then more, kMaxConcurrentPolls
//                     on average in all
//
// So the rate of calls is bounded for any size of the fleet, also while the
// store does not answer, and no host depends on another one for long. A host
// that hears no other host polls at kStandbyPollAge.

#ifndef HARECRANK_CORE_POLL_SCHEDULE_H_
#define HARECRANK_CORE_POLL_SCHEDULE_H_

#include <functional>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// How a host polls the store.
enum class PollMode {
  // Not at all: other hosts update it.
  kNone,
  // Until one answer: no host has updated it recently.
  kOnce,
  // All the time, also for other hosts.
  kContinuous
};

// Callbacks of PollSchedule.
struct PollSchedulePorts {
  // Returns the number of hosts that share the polls, including this one; one
  // if it hears no other.
  std::function<int()> polling_hosts;
  // Returns whether a host is known that can send this one a snapshot.
  std::function<bool()> snapshot_available;
};

// Not thread-safe.
class PollSchedule {
 public:
  // `is_seed`: other hosts contact this one first.
  PollSchedule(bool is_seed, PollSchedulePorts ports, MonotonicClock clock,
               RandomSource random);

  // Sets this host's rank among the hosts that poll for the fleet, as the
  // planner assigns it: zero polls continuously, the others stand by. Nothing
  // if it is not one of them.
  void SetPollRank(std::optional<int> rank);

  // Records whether the store has answered a poll of this host.
  void OnPollSucceeded();
  void OnPollFailed();

  // Records that another host has sent this one everything that it knows, as of
  // `age` ago. The age is counted from the answer of the store and not from the
  // message, so that it is the same at all hosts of a chain.
  void OnPeerUpdate(Millis age);

  // Updates the mode. To be called a few times a second and before Mode.
  void Update();

  PollMode Mode() const;

  // Returns the state of this host's own polling, which its heartbeats report.
  PollState OwnPollState() const;

  // Returns whether the data of the store are fresh, from the store itself or
  // from another host.
  bool HasFreshData() const { return Age() <= kFreshFor; }

  // Returns whether the data are so old that standby hosts begin to poll.
  bool IsOverdue() const { return Age() > kStandbyPollAge; }

  // Returns the age of the data; kUnknownAge if there are none.
  Millis Age() const;

  // How long a call of the continuous poller waits for a change.
  static constexpr Millis kLongPollWait{500};
  // Duration of a call, and delay of a heartbeat on the network and in the
  // queues of hosts with a small CPU share.
  static constexpr Millis kCallTime{50};
  static constexpr Millis kHeartbeatDelay{50};
  // Longest interval between two heartbeats of the planner to a host.
  static constexpr Millis kMaxHeartbeatInterval{340};
  // How long data of the store count as fresh.
  static constexpr Millis kFreshFor{1000};
  // Stands for the age of unknown data: longer than any data are used.
  static constexpr Millis kUnknownAge{3600000};
  // Age of the data at which the first standby host polls. The planner sends
  // standby hosts each answer at once.
  static constexpr Millis kStandbyPollAge{650};
  // Added for each standby host before this one.
  static constexpr Millis kStandbyPollStep{150};
  // The polls of all other hosts are spread over this part of a round.
  static constexpr Millis kSpread{400};
  // Expected number of hosts that poll in a round. With 16 of them, no poll of
  // a round succeeds only if the store rejects nearly all hosts.
  static constexpr int kMaxConcurrentPolls = 16;
  // Expected number of them that poll at the beginning of the round.
  static constexpr int kInitialConcurrentPolls = 2;
  // Length of a round, for each of which the polling hosts are drawn again.
  // Doubles, up to kMaxRound, while the store does not answer this host.
  static constexpr Millis kRound{500};
  static constexpr Millis kMaxRound{2000};
  // A seed polls as soon as it starts, since callers may be waiting for the
  // whole fleet. Other hosts do not poll within this time after their start.
  static constexpr Millis kStartupDelay{150};
  // Longest time after the start for which a host waits for a snapshot of
  // another host instead of polling.
  static constexpr Millis kMaxSnapshotWait{2000};

  // A host that receives every heartbeat does not poll while the store answers.
  // A host that has missed one heartbeat may be updated before its slot.
  static_assert(kLongPollWait + kCallTime + kMaxHeartbeatInterval +
                    kHeartbeatDelay <=
                kFreshFor);
  static_assert(kLongPollWait + kCallTime + 2 * kMaxHeartbeatInterval +
                    kHeartbeatDelay <=
                kFreshFor + kSpread);
  // Standby hosts are updated before their polls are due. All other hosts are
  // updated with the answer to either standby host before their own polls are
  // due.
  static_assert(kLongPollWait + kCallTime + kHeartbeatDelay <= kStandbyPollAge);
  static_assert(kStandbyPollAge + kStandbyPollStep + kCallTime +
                    2 * kHeartbeatDelay <=
                kFreshFor);
  static_assert(kSpread < kRound);

 private:
  bool HasNoData() const { return !data_as_of_.has_value(); }
  // Returns the age of the data from which on this host may poll.
  Millis FirstSlotAge() const;
  // Begins a new round at `from` and draws this host's slot in it.
  void BeginRounds(TimePoint from);
  // Returns the length of the current round.
  Millis RoundLength() const;
  // Returns how long after the beginning of the round this host polls; nothing
  // if it does not poll in this round.
  std::optional<Millis> SlotInRound() const;

  PollSchedulePorts ports_;
  MonotonicClock clock_;
  RandomSource random_;
  TimePoint started_at_;
  // Rank among the hosts that poll for the fleet; nothing if it is none of
  // them.
  std::optional<int> poll_rank_;
  // A single poll is due and the store has not answered it yet.
  bool poll_due_ = false;
  // Number of failed polls since the last success.
  int failures_ = 0;
  // When a poll of this host last failed, unless one has succeeded since.
  std::optional<TimePoint> poll_failed_at_;
  // When a poll of this host last succeeded.
  std::optional<TimePoint> poll_succeeded_at_;
  // When the store gave the answer from which the data come.
  std::optional<TimePoint> data_as_of_;
  TimePoint round_began_at_;
  // Random number between zero and one that decides the slot in this round.
  double round_draw_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_POLL_SCHEDULE_H_
