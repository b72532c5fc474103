#include "src/adapters/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <iostream>
#include <string>

#include "src/adapters/system_sources.h"

namespace harecrank {
namespace {

// Far beyond what anything here takes unless it waits for the reader.
constexpr std::chrono::seconds kNeverThisLong(20);
// Several times what the pipe and the log's buffer hold.
constexpr int kManyLines = 5000;

// Standard output becomes a pipe that nobody reads until Read is called.
class StuckReader {
 public:
  StuckReader() : saved_(::dup(STDOUT_FILENO)) {
    std::cout.flush();
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    reading_ = ends[0];
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[1]);
  }

  ~StuckReader() {
    Restore();
    ::close(reading_);
  }
  StuckReader(const StuckReader&) = delete;
  StuckReader& operator=(const StuckReader&) = delete;

  // Gives standard output back; the pipe's other end is closed with it.
  void Restore() {
    if (saved_ >= 0) {
      ::dup2(saved_, STDOUT_FILENO);
      ::close(saved_);
      saved_ = -1;
    }
  }

  // Returns what is in the pipe, without waiting for more.
  std::string Read() const {
    ::fcntl(reading_, F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> piece{};
    ssize_t got = 0;
    while ((got = ::read(reading_, piece.data(), piece.size())) > 0) {
      text.append(piece.data(), static_cast<std::size_t>(got));
    }
    return text;
  }

 private:
  int saved_;
  int reading_ = -1;
};

TEST_CASE("A reader that is stuck holds up neither lines nor the end",
          "[adapters][log]") {
  StuckReader reader;
  std::uint64_t dropped = 0;
  auto work = std::async(std::launch::async, [&dropped] {
    EventLog log("node-1", SystemClock());
    for (int i = 0; i < kManyLines; ++i) {
      log.Write("placed", {{"number", i}}, LogRateLimit::kExempt);
    }
    dropped = log.Dropped();
  });
  const bool ended = work.wait_for(kNeverThisLong) == std::future_status::ready;
  const std::string text = reader.Read();
  // A writer that waits gets on now, so that a failure does not hang.
  while (work.wait_for(std::chrono::milliseconds(10)) !=
         std::future_status::ready) {
    reader.Read();
  }
  reader.Restore();
  CHECK(ended);
  CHECK(text.find("\"number\":0") != std::string::npos);
  CHECK(dropped > 0);
}

TEST_CASE("Lines beyond the rate are left out, and failures are not",
          "[adapters][log]") {
  StuckReader reader;
  TimePoint now{std::chrono::hours(1)};
  {
    EventLog log("node-1", [&now] { return now; });
    for (int i = 0; i <= EventLog::kMaxLinesPerSecond; ++i) {
      log.Write("placed", {{"number", i}});
    }
    CHECK(log.Dropped() == 1);
    log.Write("ended", {{"kept", true}}, LogRateLimit::kExempt);
    now += std::chrono::seconds(1);
    log.Write("placed", {{"number", -1}});
  }
  const std::string text = reader.Read();
  reader.Restore();
  CHECK(text.find("\"kept\":true") != std::string::npos);
  CHECK(text.find("\"left_out_before\":1") != std::string::npos);
}

}  // namespace
}  // namespace harecrank
