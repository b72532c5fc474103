// Tracks the hosts that this host knows, and determines which of them is the
// planner.
//
// Every host derives the planner from the heartbeats that it has received: the
// host of highest rank among those that declare themselves the planner, or, if
// there is none, the host of highest rank among those that are alive. Hosts
// with different views of the membership may follow different planners for a
// while. Until the views agree, placements are worse, but there is no other
// effect.

#ifndef HARECRANK_CORE_MEMBERSHIP_H_
#define HARECRANK_CORE_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/expiry_queue.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/fleet_size.h"
#include "harecrank/core/host_ranking.h"

namespace harecrank {

// Gossip-based membership of the fleet: which hosts are alive, which one is the
// planner, which hosts poll the store, and to which hosts this host sends
// heartbeats. Not thread-safe.
class Membership {
 public:
  // `seeds` are the hosts that this host contacts after its start to find the
  // fleet; some of them may no longer exist.
  Membership(KnownHost self, std::vector<HostAddress> seeds,
             MonotonicClock clock, RandomSource random);

  void SetSeeds(std::vector<HostAddress> seeds);

  // Records a heartbeat. Returns true if no message of its sender had arrived
  // within kHeartbeatTimeout before.
  bool OnHeartbeat(const Heartbeat& heartbeat);

  // Records that a message other than a heartbeat came from `host`.
  void OnMessageReceived(const HostAddress& host);

  // Records that `host` has not answered queries within their time-out. For
  // kSuspectFor, or until a message from it arrives, `host` is suspect and
  // cannot be the planner.
  void OnUnresponsive(const HostAddress& host);

  // Returns whether `host` is suspect.
  bool IsSuspect(const HostAddress& host) const;

  // Records that `host` has answered a query with NotPlanner and regards
  // `planner` as the planner.
  void OnRedirect(const HostAddress& host, const HostAddress& planner);

  // Records that this host is about to stop and is no longer available as the
  // planner.
  void Leave();
  bool IsLeaving() const { return leaving_; }

  // Returns the current planner, or nothing if it is not known yet.
  std::optional<HostAddress> Planner();

  bool IsPlanner() { return Planner() == self_.address; }

  // Returns the hosts to which this host sends a heartbeat now, in addition to
  // the planner: all seeds while no other host is known, afterwards one random
  // host or seed per call. If two parts of a fleet follow different planners,
  // these random heartbeats let them find each other.
  std::vector<HostAddress> GossipTargets() const;

  std::vector<HostAddress> OtherAliveHosts() const;

  // Returns the members that a heartbeat to `recipient` names: the members of
  // highest rank and a few random ones. If `recipient` may become the next
  // planner, the heartbeat names as many members as fit into it; successive
  // calls cycle through all members, so that `recipient` soon knows all of
  // them.
  std::vector<KnownHost> PartialViewFor(const HostAddress& recipient);

  // Called on the planner: returns up to `limit` other hosts, the one first
  // that would become the planner if this host failed. Hosts that leave or are
  // suspect are not returned.
  std::vector<HostAddress> Successors(std::size_t limit) const;

  // Called on the planner: returns the other hosts that should poll the store
  // for the fleet. Hosts whose polls the store answers come first, then the
  // hosts of highest rank. Of the latter, hosts whose poll failed less than
  // kFailedPollerCooldown ago are excluded.
  std::vector<HostAddress> StorePollers() const;

  // Returns one of the most up-to-date hosts among those whose last message
  // arrived within kHeartbeatTimeout. Returns nothing if none of them has a
  // newer store revision than `known_up_to` or a newer routing table than
  // `routing`.
  std::optional<HostAddress> FindMoreUpToDate(RoutingVersion routing,
                                              StoreRevision known_up_to) const;

  // Returns the CPU share of `host`, or zero if it is not known.
  CpuShare CpuShareOf(const HostAddress& host) const;

  // Returns the number of hosts among which the polls of the store are divided:
  // AliveHosts(), or one if no message from another host arrived within
  // kIsolatedAfter.
  int PollingHosts() const;

  // Returns the number of alive hosts, including this one: hosts from which a
  // message arrived, or which a received heartbeat named, within
  // kHeartbeatTimeout. The heartbeats of this host report this number.
  int ObservedHosts() const;

  // Returns the maximum of ObservedHosts() and of the numbers of alive hosts
  // that other hosts report.
  int AliveHosts() const;

  // Returns the number of hosts among which a limit on what all hosts together
  // do within `window` is divided, or nothing while this host has no part of
  // it. The number includes hosts that are currently unreachable: if the fleet
  // is partitioned, the hosts on both sides together must not exceed the limit.
  // A host that started in a partition may know only its own side, so it has no
  // part for kPartitionLimit after its start, unless it knows all its seeds or
  // another host has told it that the fleet had more hosts before.
  std::optional<int> HostsSharingLimit(Millis window) const;

  // Returns whether this host belongs to the majority of the fleet: more than
  // half of the hosts that the fleet may have are alive. False while this host
  // may know only one side of a partition.
  bool IsOfMajority() const;

  // Sets whether the whole fleet starts for the first time together with this
  // host, so that limits are divided without regard to earlier processes.
  void SetIsFirstStart(bool is_first_start) {
    size_.SetIsFirstStart(is_first_start);
  }

  // Records ObservedHosts() for Size(). Must be called a few times a second.
  void RecordFleetSize();

  // Returns the estimate of the size of the fleet.
  const FleetSize& Size() const { return size_; }

  // How long a host counts as alive after its last message, or after a
  // heartbeat last named it: many times the interval between two heartbeats.
  static constexpr Millis kHeartbeatTimeout{3000};
  // A host that has received no message from any other host for this long
  // regards itself as isolated, since it has missed all heartbeats that were
  // due within this time.
  static constexpr Millis kIsolatedAfter{1000};
  // How long an unresponsive host cannot be the planner, unless a message from
  // it arrives earlier.
  static constexpr Millis kSuspectFor{2000};
  // How long a host that has just started waits for the heartbeat of a planner
  // before it chooses a planner by rank: many times the time in which a seed
  // answers. If a planner exists, the starting host learns of it within this
  // time.
  static constexpr Millis kStartupGrace{100};
  // How long a host that has just started waits before it chooses a planner by
  // rank, if it has other seeds but knows no other host. It then becomes its
  // own planner. With a shorter time, hosts that restart one after the other
  // would each plan for themselves and place prompts on the same engines.
  static constexpr Millis kIsolatedStartupGrace{1500};
  // Time after which a partition that began before the start of this host has
  // probably ended.
  static constexpr Millis kPartitionLimit{30000};
  // Number of hosts that may become the next planner. Every host knows them and
  // therefore finds the next planner without a search if up to kSuccessors
  // hosts fail together.
  static constexpr std::size_t kSuccessors = 3;
  // Number of hosts that poll the store in addition to the planner. Each call
  // to the store has a cost, so there are only a few. With three pollers in
  // total, one is enough to keep the fleet up to date if the store rejects the
  // other two.
  static constexpr std::size_t kPollersBesidePlanner = 2;
  // How long a host is not chosen as a poller after its poll has failed.
  static constexpr Millis kFailedPollerCooldown{5000};
  // Number of random members that a heartbeat names in addition to the members
  // of highest rank.
  static constexpr std::size_t kRandomMembersPerHeartbeat = 4;
  // Maximum number of members that a heartbeat names to a possible next
  // planner: as many as fit into a datagram. The heartbeats sent within
  // kHeartbeatTimeout together name ten times as many.
  static constexpr std::size_t kMaxMembersPerHeartbeat = 400;
  // Maximum number of hosts that are remembered, several times those of the
  // largest fleet. Further ones that heartbeats name are ignored; one that
  // sends a heartbeat itself takes the place of one that is silent.
  static constexpr std::size_t kMaxHosts = 4096;

 private:
  // What this host knows about another host.
  struct Host {
    CpuShare cpu_share;
    HostRankingEntry ranking_entry;
    // Whether it has announced that it is about to stop.
    bool leaving = false;
    // The host that it regards as the planner.
    HostAddress planner;
    // When it last reported that its own poll of the store had failed; the
    // clock's epoch if it never has.
    TimePoint poll_failed_at{};
    // When its last message arrived.
    TimePoint last_heard_at{};
    // When a heartbeat of another host last named it as alive.
    TimePoint last_reported_at{};
    // It cannot be the planner before this time.
    TimePoint suspect_until{};
    // Its index in `addresses_`.
    std::size_t address_index = 0;
  };
  // The known hosts by address.
  using Hosts = std::map<HostAddress, Host>;

  static HostRank RankOf(const HostAddress& address, CpuShare cpu_share);

  // Returns the entry of the host with `address`, which is added if necessary,
  // and updates its CPU share. Returns null if it is not known and there is no
  // room for it.
  Hosts::value_type* FindOrAdd(const HostAddress& address, CpuShare cpu_share);
  // Records that a message from `host` has arrived: it is alive and not
  // suspect.
  void RecordHeard(Hosts::value_type* host);
  // Updates the ranking with the current state of `host`, from which a message
  // must have arrived within kHeartbeatTimeout.
  void UpdateRanking(Hosts::value_type* host);
  // Removes hosts whose expiry times have passed from the ranking and from the
  // alive hosts.
  void Expire() const;
  // Returns whether this host has waited long enough after its start to choose
  // a planner by rank.
  bool IsPastStartupGrace() const;
  // Returns whether this host may have seen only one side of a partitioned
  // fleet since its start.
  bool MayKnowOnlyOneSide() const;
  // Returns whether `host` can be the planner: it is neither leaving nor
  // suspect.
  bool IsEligible(const Host& host) const;
  // Returns the eligible host of highest rank among `hosts` and, if
  // `self_eligible`, this host; nothing if there is none.
  std::optional<HostAddress> BestPlanner(const HostsByRank& hosts,
                                         bool self_eligible) const;
  // Returns up to `limit` eligible hosts, highest rank first: hosts from which
  // a message arrived within kHeartbeatTimeout, and this host unless it is
  // leaving.
  std::vector<KnownHost> TopAliveByRank(std::size_t limit) const;
  // Visits the next `limit` hosts in `addresses_` and adds to `view` those from
  // which a message arrived within kHeartbeatTimeout. Successive calls cycle
  // through all hosts.
  void AddNextHosts(std::size_t limit, std::vector<KnownHost>* view);
  // Removes hosts from which no message has arrived, and which no heartbeat has
  // named, for a long time (kForgetAfter in membership.cc).
  void ForgetSilentHosts();
  void Forget(Hosts::iterator host);
  // Forgets a host from which nothing has arrived lately if there is no room
  // for another one.
  void MakeRoom();

  KnownHost self_;
  std::vector<HostAddress> seeds_;
  MonotonicClock clock_;
  RandomSource random_;
  TimePoint started_at_;
  TimePoint last_forget_at_{};
  FleetSize size_;
  bool leaving_ = false;
  // Whether this host declares itself the planner. Becomes false when a host of
  // higher rank declares itself the planner.
  bool claims_planner_ = false;
  // Whether another host has reported that it regards this host as the planner,
  // as happens if this host was the planner before a restart. This host then
  // need not wait for the startup grace period.
  bool expected_to_plan_ = false;
  // Whether another host remembers more hosts than are alive, so that its count
  // includes hosts on the other side of a partition.
  bool told_of_lost_hosts_ = false;
  // When the last message from any other host arrived.
  TimePoint last_heard_any_at_{};
  Hosts hosts_;
  // The keys of `hosts_`, for random access.
  std::vector<HostAddress> addresses_;
  // Index in `addresses_` of the host that AddNextHosts visited last.
  std::size_t last_visited_index_ = 0;
  // `heard_hosts_` holds the hosts from which a message arrived within
  // kHeartbeatTimeout. `alive_hosts_` also holds the hosts that a received
  // heartbeat named within that time. Expired entries are removed before each
  // use.
  mutable ExpiryQueue<HostAddress> heard_hosts_;
  mutable ExpiryQueue<HostAddress> alive_hosts_;
  mutable HostRanking ranking_;
  mutable HostsByRank alive_by_rank_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_MEMBERSHIP_H_
