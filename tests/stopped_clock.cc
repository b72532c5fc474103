// A library that tests preload into a process. It sets CLOCK_MONOTONIC back by
// the time that a file holds, as if the clock had been stopped by a suspension
// of the machine. Clocks that count the time of a suspension are not changed.
//
// The file holds the time in nanoseconds as an integer of eight bytes. A test
// that stops the process adds the duration of the stop before it resumes the
// process.

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr std::int64_t kNanosPerSecond = 1000000000;

const std::atomic<std::int64_t>* OpenStoppedTime() {
  const char* path = std::getenv("HARECRANK_TEST_STOPPED_TIME");
  const int file = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return nullptr;
  }
  void* mapped =
      ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
  ::close(file);
  return mapped == MAP_FAILED
             ? nullptr
             : static_cast<const std::atomic<std::int64_t>*>(mapped);
}

std::int64_t StoppedTime() {
  static const std::atomic<std::int64_t>* const time = OpenStoppedTime();
  return time == nullptr ? 0 : time->load();
}

using ClockGettime = int (*)(clockid_t, timespec*);

ClockGettime RealClock() {
  static const auto real =
      reinterpret_cast<ClockGettime>(::dlsym(RTLD_NEXT, "clock_gettime"));
  return real;
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept {
  const int result = RealClock()(clock, now);
  const bool is_stopped = clock == CLOCK_MONOTONIC ||
                          clock == CLOCK_MONOTONIC_COARSE ||
                          clock == CLOCK_MONOTONIC_RAW;
  if (result == 0 && is_stopped) {
    const std::int64_t nanos =
        now->tv_sec * kNanosPerSecond + now->tv_nsec - StoppedTime();
    now->tv_sec = nanos / kNanosPerSecond;
    now->tv_nsec = nanos % kNanosPerSecond;
  }
  return result;
}
