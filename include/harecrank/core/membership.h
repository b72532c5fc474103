// The hosts that this one knows, and which of them plans for all.
//
// Every host derives the planner from what it has heard: of the hosts that say
// that they plan, the one of highest rank; if none does, the host of highest
// rank that seems to be alive. Hosts that see different memberships for a while
// follow different planners, place worse for that time and break nothing.

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

// Not thread-safe.
class Membership {
 public:
  // `seeds` may be stale.
  Membership(KnownHost self, std::vector<HostAddress> seeds,
             MonotonicClock clock, RandomSource random);

  void SetSeeds(std::vector<HostAddress> seeds);

  // Notes a host's word. Returns whether the host was not known as alive.
  bool OnHeartbeat(const Heartbeat& word);

  // Notes that another message came from `host`.
  void OnMessageReceived(const HostAddress& host);

  // Notes that `host` left questions unanswered for longer than it may.
  void OnUnresponsive(const HostAddress& host);

  // Notes that `host` does not plan, and takes `planner` for the planner.
  void OnRedirect(const HostAddress& host, const HostAddress& planner);

  // This host is about to stop: it plans no more.
  void Leave();
  bool IsLeaving() const { return leaving_; }

  // Returns the host that plans; nothing if it is not known yet.
  std::optional<HostAddress> Planner();

  // Returns whether this host plans.
  bool IsPlanner() { return Planner() == self_.address; }

  // Returns hosts beside the planner to tell this host's word now: the seeds
  // while no other host is known, and then one host or seed at a time, so that
  // two parts of a fleet that follow different planners find each other.
  std::vector<HostAddress> GossipTargets() const;

  // Returns all other hosts that are known to be alive.
  std::vector<HostAddress> OtherAliveHosts() const;

  // Returns what to tell `reader` of: those of highest rank and a few more; if
  // it may plan next, as many others as fit, and the next ones at the next
  // call, so that it soon knows all.
  std::vector<KnownHost> PartialViewFor(const HostAddress& reader);

  // Returns the hosts beside the planner that should read the platform's
  // service, as the planner sees it: first those that the service answers,
  // then those of highest rank, without any that it has not answered for a
  // while.
  std::vector<HostAddress> StorePollers() const;

  // Returns one of the hosts that were heard lately and know the most, if that
  // is more than `routing` and `known_up_to`; nothing otherwise.
  std::optional<HostAddress> FindMoreUpToDate(RoutingVersion routing,
                                              StoreRevision known_up_to) const;

  // Returns the cpu_share of `host`, or zero if it is not known.
  CpuShare CpuShareOf(const HostAddress& host) const;

  // Returns among how many hosts the turns to read the platform's service are
  // divided: one if no other host was heard within kIsolatedAfter.
  int PollingHosts() const;

  // Returns how many hosts are alive, this one among them, by what reached this
  // host itself: what a word may tell.
  int ObservedHosts() const;

  // Returns the most that this host has counted or was lately told.
  int AliveHosts() const;

  // Returns among how many hosts a bound for all of them is divided: not only
  // those that are heard now. A fleet that is cut in two would take it twice.
  int HostsSharingLimits() const;

  // Counts the living hosts for Size. To be called a few times a second.
  void RecordFleetSize();

  // How many hosts the fleet may have.
  const FleetSize& Size() const { return size_; }

  // How long a host counts as alive after its last word: many times the pause
  // between two words.
  static constexpr Millis kHeartbeatTimeout{3000};
  // A host that has heard no other for this long has missed every word.
  static constexpr Millis kIsolatedAfter{1000};
  // How long a silent host is not taken for the planner, unless it is heard.
  static constexpr Millis kSuspectFor{2000};
  // A host that has just started waits so long for word of a planner before it
  // takes one by rank: many times what a seed takes to answer. Hosts that start
  // later find the one that plans then.
  static constexpr Millis kStartupGrace{100};
  // A host that hears nobody, though it has seeds, takes itself for the planner
  // after this. Sooner, hosts that come back together, one after the other,
  // each plan for themselves and pack the same engines.
  static constexpr Millis kIsolatedStartupGrace{1500};
  // Those that may plan next: so many fail together without a search.
  static constexpr std::size_t kSuccessors = 3;
  // Those that read the platform's service beside the planner. Each call has a
  // price; with three in all, two may be turned away and a third one tells.
  static constexpr std::size_t kPollersBesidePlanner = 2;
  // How long a host that reads and is not answered is passed over.
  static constexpr Millis kFailedPollerCooldown{5000};
  // How many other hosts are named beside them.
  static constexpr std::size_t kRandomMembersPerHeartbeat = 4;
  // How many hosts a word names to one that may plan next: what fits into a
  // datagram. Within kHeartbeatTimeout it is told of ten times as many.
  static constexpr std::size_t kMaxMembersPerHeartbeat = 400;

 private:
  struct Host {
    CpuShare cpu_share;
    HostRankingEntry standing;
    bool leaving = false;
    HostAddress planner;
    // When it last said that its own reading failed.
    TimePoint unanswered{};
    // When it was heard, when another host vouched for it, and until when it
    // is suspect.
    TimePoint heard{};
    TimePoint vouched{};
    TimePoint suspect_until{};
    // Its place in `order_`.
    std::size_t place = 0;
  };
  using Hosts = std::map<HostAddress, Host>;

  static HostRank RankOf(const HostAddress& address, CpuShare cpu_share);

  // Returns the host of `address`, which is new if it was not known.
  Hosts::value_type* Known(const HostAddress& address, CpuShare cpu_share);
  void NoteHeard(Hosts::value_type* host);
  // Puts a host that was heard, and has changed, into all orders.
  void Rank(Hosts::value_type* host);
  // Takes the hosts whose time is over from all orders.
  void Expire() const;
  // Whether there was time to hear of a planner.
  bool HasSettled() const;
  // Whether it may be taken for the planner.
  bool IsEligible(const Host& host) const;
  // Returns the first of `hosts`, or this one if it is better and
  // `self_stands`, that may be taken for the planner.
  std::optional<HostAddress> Best(const HostsByRank& hosts,
                                  bool self_stands) const;
  // Returns at most `most` of the living hosts that may plan, the best first,
  // and among them this one unless it leaves.
  std::vector<KnownHost> AliveByRank(std::size_t most) const;
  // Adds at most `most` hosts that were heard lately to `told`, in turn.
  void NameInTurn(std::size_t most, std::vector<KnownHost>* told);
  void DropForgotten();
  void Forget(Hosts::iterator host);

  KnownHost self_;
  std::vector<HostAddress> seeds_;
  MonotonicClock clock_;
  RandomSource random_;
  TimePoint started_;
  TimePoint dropped_forgotten_{};
  FleetSize size_;
  bool leaving_ = false;
  // This host plans, or would if no better one said that it does.
  bool claims_ = false;
  // Others take this host for the planner: it planned in a former incarnation.
  bool expected_ = false;
  // When any host was last heard.
  TimePoint heard_any_{};
  Hosts hosts_;
  // The same, to draw from, and who is named next.
  std::vector<HostAddress> order_;
  std::size_t named_next_ = 0;
  // Those heard within kHeartbeatTimeout, and those that were heard or vouched
  // for. Brought up to date by time whenever they are looked at.
  mutable ExpiryQueue<HostAddress> heard_;
  mutable ExpiryQueue<HostAddress> alive_;
  mutable HostRanking ranking_;
  mutable HostsByRank alive_by_rank_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_MEMBERSHIP_H_
