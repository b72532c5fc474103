// Decides what a host that is behind asks the other hosts for.

#ifndef HARECRANK_CORE_CATCH_UP_H_
#define HARECRANK_CORE_CATCH_UP_H_

#include <utility>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"

namespace harecrank {

// Tracks whether another host has newer data than this one, and after which
// revision this host should ask for changes. A host that has taken several
// answers and still lacks something asks for a full copy, since its revision
// may promise more than it has. If full copies do not help either, it asks less
// and less often. Not thread-safe.
class CatchUp {
 public:
  // The data of this host.
  struct State {
    RoutingVersion routing;
    // The store revision up to which this host has all changes.
    StoreRevision known_up_to;
  };

  explicit CatchUp(MonotonicClock clock) : clock_(std::move(clock)) {}

  // To be called while another host has newer data than `own`.
  // `lacks_configuration` tells whether it has a newer routing table.
  void OnBehind(const State& own, bool lacks_configuration);

  // To be called while no other host has newer data.
  void OnCaughtUp();

  // Records that another host has answered with data, whether or not they could
  // be used.
  void OnAnswer();

  bool IsBehind() const { return is_behind_; }
  // Whether the last call was OnBehind for a host without the newest routing
  // table.
  bool LacksConfiguration() const { return is_behind_ && lacks_configuration_; }
  // How long this host has been behind; zero if it is not.
  Millis BehindFor() const;

  // Returns the revision after which to ask for changes; zero asks for a full
  // copy.
  StoreRevision AskAfter() const;

  // Returns the minimum time between the last answer and the next request.
  Millis Pause() const;

  // Number of answers without progress after which a full copy is asked for.
  static constexpr int kAnswersInVain = 3;
  // Pause after the first full copy without progress. It doubles with each
  // further one.
  static constexpr Millis kFirstPause{500};
  static constexpr Millis kMaxPause{32000};

 private:
  MonotonicClock clock_;
  bool is_behind_ = false;
  bool lacks_configuration_ = false;
  TimePoint behind_since_{};
  State own_;
  // Answers since this host has last made progress.
  int answers_in_vain_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_CATCH_UP_H_
