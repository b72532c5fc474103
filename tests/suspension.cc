#include "tests/suspension.h"

#include <csignal>
#include <fstream>
#include <utility>

namespace harecrank::testing {
namespace {

// Overwrites the number without truncating the file, since the process has
// mapped it.
void WriteNumber(const std::string& file, std::int64_t number) {
  std::fstream out(file, std::ios::in | std::ios::out | std::ios::binary);
  out.write(reinterpret_cast<const char*>(&number), sizeof(number));
}

}  // namespace

StoppableClock::StoppableClock(const std::string& library, std::string file)
    : file_(std::move(file)),
      environment_(
          {"LD_PRELOAD=" + library, "HARECRANK_TEST_STOPPED_TIME=" + file_}) {
  std::ofstream(file_, std::ios::binary)
      .write(reinterpret_cast<const char*>(&stopped_ns_), sizeof(stopped_ns_));
}

void StoppableClock::Suspend(const Process& process) {
  suspended_at_ = BootClock::now();
  process.Signal(SIGSTOP);
}

void StoppableClock::Resume(const Process& process) {
  stopped_ns_ += (BootClock::now() - suspended_at_).count();
  WriteNumber(file_, stopped_ns_);
  process.Signal(SIGCONT);
}

}  // namespace harecrank::testing
