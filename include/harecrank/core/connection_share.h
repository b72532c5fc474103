// Compares the new connections that this host gets with those of the others.

#ifndef HARECRANK_CORE_CONNECTION_SHARE_H_
#define HARECRANK_CORE_CONNECTION_SHARE_H_

#include <deque>
#include <map>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Detects that a load balancer directs most new connections to this host. Its
// part of the limits that all hosts share is then too small, and those of other
// hosts are left over. Not thread-safe.
class ConnectionShare {
 public:
  explicit ConnectionShare(MonotonicClock clock);

  // Records a new connection to this host, whether it is taken or refused.
  void OnConnection();

  // Records that `host`, which has room for more, got `connections` new ones in
  // its last kWindow.
  void OnOtherHost(const HostAddress& host, int connections);

  // Records that `host` has no room for connections that this host refuses.
  void OnOtherHostWithoutRoom(const HostAddress& host) { reports_.erase(host); }

  // Returns the number of new connections within the last kWindow.
  int Recent() const;

  // Returns whether this host gets far more new connections than the hosts with
  // room do of which it has heard lately. False if there are none.
  bool IsCrowded() const;

  static constexpr Millis kWindow{1000};
  // What another host has reported counts for this long: three heartbeats, and
  // less than a load balancer takes to remove a host that has ended.
  static constexpr Millis kReportLifetime{1000};
  // This host is crowded if it gets so many times the connections that the
  // others get on average. Load balancers divide unevenly, but by less.
  static constexpr double kCrowdedFactor = 2;
  // Nor is it if chance explains the difference: so many standard deviations of
  // the average.
  static constexpr double kCrowdedDeviations = 5;
  // Fewer connections within kWindow are no crowd.
  static constexpr int kMinCrowd = 12;

 private:
  struct Report {
    int connections = 0;
    TimePoint at{};
  };

  MonotonicClock clock_;
  // Times of the connections of the last kWindow, oldest first.
  std::deque<TimePoint> connections_;
  std::map<HostAddress, Report> reports_;
  TimePoint last_sweep_at_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_CONNECTION_SHARE_H_
