#include "src/adapters/system_sources.h"

#include <Poco/SHA2Engine.h>

#include <ctime>
#include <random>

namespace harecrank {

BootClock::time_point BootClock::now() noexcept {
  timespec now{};
  // Cannot fail: Linux has had this clock since version 2.6.39.
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

MonotonicClock SystemClock() {
  return [] { return BootClock::now(); };
}

RandomSource SystemRandom() {
  return [] {
    thread_local std::mt19937_64 engine(
        (static_cast<std::uint64_t>(std::random_device{}()) << 32U) |
        std::random_device{}());
    return engine();
  };
}

Incarnation DrawIncarnation(const RandomSource& random) {
  std::uint64_t incarnation = random();
  while (incarnation == 0) {
    incarnation = random();
  }
  return Incarnation{incarnation};
}

std::int64_t ToMillis(TimePoint time) {
  return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

std::string Sha256Hex(const std::string& text) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(text);
  return Poco::DigestEngine::digestToHex(engine.digest());
}

}  // namespace harecrank
