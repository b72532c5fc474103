// The hosts that this host knows, and which of them is the planner.
//
// Every host derives the planner from the heartbeats that it has received: the
// host of highest rank among those that declare themselves the planner, or, if
// there is none, the host of highest rank among those that are alive. Hosts
// with different views of the membership may follow different planners for a
// while. That makes placements worse until the views agree, but has no other
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

// Gossip-based membership of the fleet. Not thread-safe.
class Membership {
 public:
  // `seeds` are the hosts to contact first; some may no longer exist.
  Membership(KnownHost self, std::vector<HostAddress> seeds,
             MonotonicClock clock, RandomSource random);

  void SetSeeds(std::vector<HostAddress> seeds);

  // Records a heartbeat. Returns whether its sender was not known to be alive.
  bool OnHeartbeat(const Heartbeat& heartbeat);

  // Records that a message other than a heartbeat came from `host`.
  void OnMessageReceived(const HostAddress& host);

  // Records that `host` has not answered queries within their time-out. It is
  // not taken for the planner for kSuspectFor, or until it is heard again.
  void OnUnresponsive(const HostAddress& host);

  // Records that `host` has answered that it is not the planner and follows
  // `planner`.
  void OnRedirect(const HostAddress& host, const HostAddress& planner);

  // Records that this host is about to stop: it is no longer available as the
  // planner.
  void Leave();
  bool IsLeaving() const { return leaving_; }

  // Returns the current planner, or nothing if it is not known yet.
  std::optional<HostAddress> Planner();

  bool IsPlanner() { return Planner() == self_.address; }

  // Returns the hosts other than the planner that are sent a heartbeat now: all
  // seeds while no other host is known, then one random host or seed per call.
  // The random targets let two parts of a fleet that follow different planners
  // find each other.
  std::vector<HostAddress> GossipTargets() const;

  std::vector<HostAddress> OtherAliveHosts() const;

  // Returns the members to name in a heartbeat to `recipient`: those of highest
  // rank and a few random ones. A host that may become the next planner is sent
  // as many members as fit, and the following ones at the next call, so that it
  // soon knows all.
  std::vector<KnownHost> PartialViewFor(const HostAddress& recipient);

  // Returns the hosts beside the planner that should poll the store, as the
  // planner sees it: first those that the store answers, then those of highest
  // rank. Leaves out hosts whose poll failed less than kFailedPollerCooldown
  // ago.
  std::vector<HostAddress> StorePollers() const;

  // Returns a host that was heard within kHeartbeatTimeout and has a newer
  // store revision than `known_up_to` or a newer routing table than `routing`:
  // one of the most up-to-date hosts, or nothing if there is none.
  std::optional<HostAddress> FindMoreUpToDate(RoutingVersion routing,
                                              StoreRevision known_up_to) const;

  // Returns the CPU share of `host`, or zero if it is not known.
  CpuShare CpuShareOf(const HostAddress& host) const;

  // Returns the number of hosts that share the polls of the store: one if no
  // other host was heard within kIsolatedAfter.
  int PollingHosts() const;

  // Returns the number of alive hosts, including this one, by the heartbeats
  // that this host has received itself. This is the number that its own
  // heartbeats report.
  int ObservedHosts() const;

  // Returns the largest of ObservedHosts and the numbers that alive hosts
  // report.
  int AliveHosts() const;

  // Returns the number of hosts among which a fleet-wide limit is divided. It
  // includes hosts that are not reachable now: if the fleet is partitioned,
  // both parts together must not exceed the limit.
  int HostsSharingLimits() const;

  // Records ObservedHosts for Size. To be called a few times a second.
  void RecordFleetSize();

  // Returns the estimate of the size of the fleet.
  const FleetSize& Size() const { return size_; }

  // How long a host counts as alive after its last heartbeat: many times the
  // interval between two heartbeats.
  static constexpr Millis kHeartbeatTimeout{3000};
  // A host that has heard no other host for this long is isolated: it has
  // missed every heartbeat of that time.
  static constexpr Millis kIsolatedAfter{1000};
  // How long an unresponsive host is not taken for the planner, unless it is
  // heard again.
  static constexpr Millis kSuspectFor{2000};
  // How long a host that has just started waits for the heartbeat of a planner
  // before it chooses a planner by rank: many times the time in which a seed
  // answers. A host that starts later finds the existing planner within this
  // time.
  static constexpr Millis kStartupGrace{100};
  // The same for a host that has seeds and hears no other host; it then becomes
  // its own planner. With a shorter time, hosts that restart one after the
  // other would each plan for themselves and place prompts on the same engines.
  static constexpr Millis kIsolatedStartupGrace{1500};
  // Number of hosts that may become the next planner. Every host knows them, so
  // that it finds the next planner without a search if up to so many hosts fail
  // together.
  static constexpr std::size_t kSuccessors = 3;
  // Number of hosts that poll the store beside the planner. Each call has a
  // cost; with three pollers in all, the store may reject two of them and the
  // third still keeps the fleet up to date.
  static constexpr std::size_t kPollersBesidePlanner = 2;
  // How long a host whose poll failed is not chosen as a poller.
  static constexpr Millis kFailedPollerCooldown{5000};
  // Number of random members that a heartbeat names beside those of highest
  // rank.
  static constexpr std::size_t kRandomMembersPerHeartbeat = 4;
  // Number of members that a heartbeat names to a possible next planner: as
  // many as fit into a datagram. Within kHeartbeatTimeout it is told of ten
  // times as many.
  static constexpr std::size_t kMaxMembersPerHeartbeat = 400;

 private:
  struct Host {
    CpuShare cpu_share;
    HostRankingEntry ranking_entry;
    // It has announced that it is about to stop.
    bool leaving = false;
    // The host that it takes for the planner.
    HostAddress planner;
    // When it last reported that its own poll of the store had failed; the
    // epoch if never.
    TimePoint poll_failed_at{};
    // When its last message arrived.
    TimePoint last_heard_at{};
    // When another host last named it as alive.
    TimePoint last_reported_at{};
    // Until when it is not taken for the planner.
    TimePoint suspect_until{};
    // Its index in `addresses_`.
    std::size_t address_index = 0;
  };
  using Hosts = std::map<HostAddress, Host>;

  static HostRank RankOf(const HostAddress& address, CpuShare cpu_share);

  // Returns the host with `address`, added if it was not known, and updates its
  // CPU share.
  Hosts::value_type* FindOrAdd(const HostAddress& address, CpuShare cpu_share);
  // Records that `host` was heard now: it is alive and no longer suspect.
  void RecordHeard(Hosts::value_type* host);
  // Updates the ranking with the current state of `host`, which was heard
  // within kHeartbeatTimeout.
  void UpdateRanking(Hosts::value_type* host);
  // Removes expired hosts from the ranking and from the alive hosts.
  void Expire() const;
  // Returns whether a planner may be chosen by rank.
  bool IsPastStartupGrace() const;
  // Returns whether `host` may be taken for the planner: not leaving and not
  // suspect.
  bool IsEligible(const Host& host) const;
  // Returns the eligible host of highest rank in `hosts`, among them this host
  // if `self_eligible`; nothing if there is none.
  std::optional<HostAddress> BestPlanner(const HostsByRank& hosts,
                                         bool self_eligible) const;
  // Returns at most `limit` eligible hosts that were heard within
  // kHeartbeatTimeout, highest rank first, among them this host unless it is
  // leaving.
  std::vector<KnownHost> TopAliveByRank(std::size_t limit) const;
  // Adds those of the next `limit` hosts in `addresses_` to `view` that were
  // heard within kHeartbeatTimeout. Successive calls cycle through all hosts.
  void AddNextHosts(std::size_t limit, std::vector<KnownHost>* view);
  // Removes hosts that have not been heard or named for a long time.
  void ForgetSilentHosts();
  void Forget(Hosts::iterator host);

  KnownHost self_;
  std::vector<HostAddress> seeds_;
  MonotonicClock clock_;
  RandomSource random_;
  TimePoint started_at_;
  TimePoint last_forget_at_{};
  FleetSize size_;
  bool leaving_ = false;
  // This host is the planner unless a host of higher rank declares itself.
  bool claims_planner_ = false;
  // Others take this host for the planner: it was the planner before it
  // restarted.
  bool expected_to_plan_ = false;
  // When the last message of any host arrived.
  TimePoint last_heard_any_at_{};
  Hosts hosts_;
  // The keys of `hosts_`, for random access.
  std::vector<HostAddress> addresses_;
  // Index in `addresses_` of the host that AddNextHosts added last.
  std::size_t next_named_ = 0;
  // Hosts that were heard within kHeartbeatTimeout, and hosts that were heard
  // or named within it. Expired entries are removed before each use.
  mutable ExpiryQueue<HostAddress> heard_hosts_;
  mutable ExpiryQueue<HostAddress> alive_hosts_;
  mutable HostRanking ranking_;
  mutable HostsByRank alive_by_rank_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_MEMBERSHIP_H_
