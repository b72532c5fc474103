// Compares the requests that callers send to this host with those of others.

#ifndef HARECRANK_CORE_REQUEST_SHARE_H_
#define HARECRANK_CORE_REQUEST_SHARE_H_

#include <deque>
#include <map>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Detects that a load balancer directs most callers to this host. Its part of
// the limits that all hosts share is then too small, and those of other hosts
// are left over. Requests tell it, not connections: those that callers keep
// open bring requests too. Not thread-safe.
class RequestShare {
 public:
  explicit RequestShare(MonotonicClock clock);

  // Records a request, or a connection that was refused and would have brought
  // one.
  void OnRequest();

  // Records that `host` got so many requests in its last kWindow; unset if it
  // has no room for more.
  void OnOtherHost(const HostAddress& host, std::optional<int> requests);

  // Returns the number of requests within the last kWindow.
  int Recent() const;

  // Returns whether this host gets far more requests than the hosts with room
  // do of which it has heard lately. False if there are fewer than kMinHosts.
  bool IsCrowded() const;

  static constexpr Millis kWindow{1000};
  // What another host has reported counts for this long: hosts that are not the
  // planner hear each other about once a second.
  static constexpr Millis kReportLifetime{2000};
  // This host is crowded if it gets so many times the requests that the others
  // get on average. Load balancers divide unevenly, but by less.
  static constexpr double kCrowdedFactor = 2.5;
  // Nor is it if chance explains the difference: so many standard deviations of
  // the average.
  static constexpr double kCrowdedDeviations = 5;
  // Callers of a host that is restarted may all go to one of two others.
  static constexpr int kMinHosts = 2;
  // Fewer requests within kWindow are no crowd: so many may come at once, when
  // what they had waited for ends.
  static constexpr int kMinCrowd = 24;

 private:
  struct Report {
    int requests = 0;
    TimePoint at{};
  };

  MonotonicClock clock_;
  // Times of the requests of the last kWindow, oldest first.
  std::deque<TimePoint> requests_;
  std::map<HostAddress, Report> reports_;
  TimePoint last_sweep_at_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REQUEST_SHARE_H_
