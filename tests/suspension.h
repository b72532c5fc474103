// Simulates the suspension of a machine for single processes.

#ifndef HARECRANK_TESTS_SUSPENSION_H_
#define HARECRANK_TESTS_SUSPENSION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "harecrank/core/clock.h"
#include "testing/process.h"

namespace harecrank::testing {

// Stops a process together with its CLOCK_MONOTONIC, which does not count the
// time of a suspension. The process must be started with Environment().
class StoppableClock {
 public:
  // `library` is the path of the shared library that is built from
  // stopped_clock.cc. `file` is created and holds the total time for which the
  // clock has been stopped.
  StoppableClock(const std::string& library, std::string file);

  // Returns the environment variables to start the process with, as NAME=TEXT.
  const std::vector<std::string>& Environment() const { return environment_; }

  // Stops `process` and its clock until Resume.
  void Suspend(const Process& process);
  void Resume(const Process& process);

 private:
  std::string file_;
  std::vector<std::string> environment_;
  TimePoint suspended_at_{};
  // Total time for which the clock has been stopped, in nanoseconds.
  std::int64_t stopped_ns_ = 0;
};

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTS_SUSPENSION_H_
