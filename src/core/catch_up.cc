#include "harecrank/core/catch_up.h"

#include <algorithm>

namespace harecrank {

void CatchUp::OnBehind(const State& own, bool lacks_configuration) {
  // New entries are no progress of a host that lacks the configuration.
  const bool has_progressed =
      own.routing != own_.routing ||
      (!lacks_configuration && own.known_up_to != own_.known_up_to);
  if (!is_behind_) {
    is_behind_ = true;
    behind_since_ = clock_();
    answers_in_vain_ = 0;
  } else if (has_progressed || lacks_configuration != lacks_configuration_) {
    answers_in_vain_ = 0;
  }
  own_ = own;
  lacks_configuration_ = lacks_configuration;
}

void CatchUp::OnCaughtUp() {
  is_behind_ = false;
  answers_in_vain_ = 0;
}

void CatchUp::OnAnswer() { ++answers_in_vain_; }

Millis CatchUp::BehindFor() const {
  return is_behind_
             ? std::chrono::duration_cast<Millis>(clock_() - behind_since_)
             : Millis(0);
}

StoreRevision CatchUp::AskAfter() const {
  return answers_in_vain_ < kAnswersInVain ? own_.known_up_to : StoreRevision{};
}

Millis CatchUp::Pause() const {
  Millis pause(0);
  for (int i = kAnswersInVain; i < answers_in_vain_ && pause < kMaxPause; ++i) {
    pause = pause == Millis(0) ? kFirstPause : std::min(2 * pause, kMaxPause);
  }
  return pause;
}

}  // namespace harecrank
