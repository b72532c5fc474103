// Suspends single processes, as a machine that sleeps does to all of its own.

#ifndef HARECRANK_TESTS_SUSPENSION_H_
#define HARECRANK_TESTS_SUSPENSION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "harecrank/core/clock.h"
#include "testing/process.h"

namespace harecrank::testing {

// The steady clock of one process, which can be stopped together with it.
class StoppableClock {
 public:
  // `library` is the one that stopped_clock.cc makes. The time for which the
  // clock stood still is kept in `file`.
  StoppableClock(const std::string& library, std::string file);

  // Returns the variables to start the process with.
  const std::vector<std::string>& Environment() const { return environment_; }

  // Stops `process` until Resume.
  void Suspend(const Process& process);
  void Resume(const Process& process);

 private:
  std::string file_;
  std::vector<std::string> environment_;
  TimePoint suspended_{};
  std::int64_t stood_still_ = 0;
};

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTS_SUSPENSION_H_
