#include "tests/suspension.h"

#include <csignal>
#include <fstream>
#include <utility>

namespace harecrank::testing {
namespace {

// In place: the process has the file mapped.
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
      .write(reinterpret_cast<const char*>(&stood_still_),
             sizeof(stood_still_));
}

void StoppableClock::Suspend(const Process& process) {
  suspended_ = BootClock::now();
  process.Signal(SIGSTOP);
}

void StoppableClock::Resume(const Process& process) {
  stood_still_ += (BootClock::now() - suspended_).count();
  WriteNumber(file_, stood_still_);
  process.Signal(SIGCONT);
}

}  // namespace harecrank::testing
