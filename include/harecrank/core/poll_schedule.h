// Decides whether and how a host polls the store.
//
// Each call to the store has a cost, and its rate limits grow more slowly than
// the fleet. One host, the planner or one that it chooses, polls continuously
// and updates the others; the standby hosts poll only if these updates stop.
// Each host knows the age of its data: the time since the store sent the answer
// that contained them, to this or to another host. When the data of a host
// reach the age given below, the host polls once and updates the planner, which
// updates the other hosts before they poll as well:
//
// continuous poller   always
// standby hosts       from the age kStandbyPollAge on, plus kStandbyPollStep
//                     for each standby host that precedes this one by rank
// all other hosts     from the age kFreshFor on, in rounds: in each round
//                     kMaxConcurrentPolls hosts poll on average, a few of
//                     them at its beginning and the others later
//
// This bounds the rate of calls for any size of the fleet, even while the store
// does not answer, and no host depends on another host for long. A host that
// receives no messages from other hosts polls when its data reach the age
// kStandbyPollAge.

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
  // The host does not poll: other hosts update it.
  kNone,
  // The host polls until it gets one answer, because no other host has updated
  // it recently.
  kOnce,
  // The host polls all the time, for itself and for the other hosts.
  kContinuous
};

// Functions by which PollSchedule queries the state of this host.
struct PollSchedulePorts {
  // Returns the number of hosts, including this one, among which the polls are
  // divided; one if this host receives no messages from other hosts.
  std::function<int()> polling_hosts;
  // Returns whether this host knows another host that can send it a snapshot of
  // the store's data.
  std::function<bool()> snapshot_available;
};

// Decides when this host polls the store, from its rank among the polling hosts
// and the age of its data. Not thread-safe.
class PollSchedule {
 public:
  // `is_seed` states whether this host is a seed, one of the hosts that other
  // hosts contact after their start.
  PollSchedule(bool is_seed, PollSchedulePorts ports, MonotonicClock clock,
               RandomSource random);

  // Sets this host's rank among the hosts that poll for the fleet, as the
  // planner assigns it: rank zero polls continuously, higher ranks are standby
  // hosts. Unset if this host does not poll for the fleet.
  void SetPollRank(std::optional<int> rank);

  // Record the outcome of a poll of this host: the store has answered it, or
  // the poll has failed.
  void OnPollSucceeded();
  void OnPollFailed();

  // Records that another host has sent its data, which now have the age `age`.
  // The age is counted from the answer of the store and not from the message,
  // so that it stays correct if hosts pass the data on.
  void OnPeerUpdate(Millis age);

  // Updates the result of Mode(). Must be called a few times a second, and
  // before Mode().
  void Update();

  PollMode Mode() const;

  // Returns the state of this host's own polling, for its heartbeats.
  PollState OwnPollState() const;

  // Returns whether this host's data are fresh, whether they come from its own
  // polls or from another host.
  bool HasFreshData() const { return Age() <= kFreshFor; }

  // Returns whether this host's data are so old that standby hosts begin to
  // poll.
  bool IsOverdue() const { return Age() > kStandbyPollAge; }

  // Returns the age of this host's data; kUnknownAge if it has none.
  Millis Age() const;

  // How long a call of the continuous poller waits at the store for a change.
  static constexpr Millis kLongPollWait{500};
  // Assumed maximum duration of a call, not counting its wait for a change; and
  // assumed maximum delay of a heartbeat on the network and in the queues of
  // hosts with a small CPU share.
  static constexpr Millis kCallTime{50};
  static constexpr Millis kHeartbeatDelay{50};
  // Longest interval between two heartbeats of the planner to a host.
  static constexpr Millis kMaxHeartbeatInterval{340};
  // Age up to which data from the store count as fresh.
  static constexpr Millis kFreshFor{1000};
  // Result of Age() if there are no data. It exceeds the age up to which any
  // data are used.
  static constexpr Millis kUnknownAge{3600000};
  // Age of its data at which the first standby host polls. In normal operation
  // this age is not reached, since the planner sends each answer to the standby
  // hosts immediately.
  static constexpr Millis kStandbyPollAge{650};
  // Added to kStandbyPollAge for each standby host that precedes this one by
  // rank.
  static constexpr Millis kStandbyPollStep{150};
  // The polls of the hosts that do not poll for the fleet are spread over this
  // time from the beginning of each round.
  static constexpr Millis kSpread{400};
  // Expected number of hosts that poll in a round. With 16 polls, a round
  // without a success is likely only if the store rejects nearly all hosts.
  static constexpr int kMaxConcurrentPolls = 16;
  // Expected number of hosts that poll at the beginning of a round.
  static constexpr int kInitialConcurrentPolls = 2;
  // Length of a round. For each round it is decided at random which hosts poll.
  // The length doubles with each failed poll of this host, up to kMaxRound.
  static constexpr Millis kRound{500};
  static constexpr Millis kMaxRound{2000};
  // Time after its start during which a host that is not a seed does not poll.
  // A seed polls immediately, since the whole fleet may have just started and
  // callers may be waiting.
  static constexpr Millis kStartupDelay{150};
  // Until this time after its start, a host without data waits for a snapshot
  // from another host instead of polling.
  static constexpr Millis kMaxSnapshotWait{2000};

  // While the store answers, a host that receives every heartbeat is updated
  // before its data reach the age kFreshFor, and does not poll. After one
  // missed heartbeat the next one still arrives within kSpread, possibly before
  // the host polls.
  static_assert(kLongPollWait + kCallTime + kMaxHeartbeatInterval +
                    kHeartbeatDelay <=
                kFreshFor);
  static_assert(kLongPollWait + kCallTime + 2 * kMaxHeartbeatInterval +
                    kHeartbeatDelay <=
                kFreshFor + kSpread);
  // While the store answers, standby hosts are updated before their polls are
  // due. If a standby host has to poll, its answer reaches the other hosts
  // before their own polls are due.
  static_assert(kLongPollWait + kCallTime + kHeartbeatDelay <= kStandbyPollAge);
  static_assert(kStandbyPollAge + kStandbyPollStep + kCallTime +
                    2 * kHeartbeatDelay <=
                kFreshFor);
  static_assert(kSpread < kRound);

 private:
  bool HasNoData() const { return !data_as_of_.has_value(); }
  // Returns the age of its data at which this host may begin to poll.
  Millis FirstSlotAge() const;
  // Begins a new round at `from` and draws the random number that decides when
  // this host polls in it.
  void BeginRounds(TimePoint from);
  // Returns the length of the current round.
  Millis RoundLength() const;
  // Returns the time from the beginning of the current round until this host
  // polls; nothing if it does not poll in this round.
  std::optional<Millis> SlotInRound() const;

  PollSchedulePorts ports_;
  MonotonicClock clock_;
  RandomSource random_;
  TimePoint started_at_;
  // This host's rank among the hosts that poll for the fleet; unset if it does
  // not poll for the fleet.
  std::optional<int> poll_rank_;
  // Whether this host must poll once and the poll has neither succeeded nor
  // failed yet.
  bool poll_due_ = false;
  // Number of failed polls since the last success.
  int failures_ = 0;
  // When a poll of this host last failed; unset if none has failed since the
  // last success.
  std::optional<TimePoint> poll_failed_at_;
  // When a poll of this host last succeeded; unset if none has.
  std::optional<TimePoint> poll_succeeded_at_;
  // When the store sent the answer that contained this host's data; unset if it
  // has no data.
  std::optional<TimePoint> data_as_of_;
  TimePoint round_began_at_;
  // Random number between zero and one that decides whether and when this host
  // polls in the current round.
  double round_draw_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_POLL_SCHEDULE_H_
