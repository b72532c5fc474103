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

// Much longer than the writes take unless they wait for the reader.
constexpr std::chrono::seconds kTimeout(20);
// Several times as many lines as fit into the pipe and the log's buffer.
constexpr int kManyLines = 5000;

// Redirects standard output to a pipe that is read only by calls of Read.
class StalledReader {
 public:
  StalledReader() : saved_stdout_(::dup(STDOUT_FILENO)) {
    std::cout.flush();
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    read_end_ = ends[0];
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[1]);
  }

  ~StalledReader() {
    Restore();
    ::close(read_end_);
  }
  StalledReader(const StalledReader&) = delete;
  StalledReader& operator=(const StalledReader&) = delete;

  // Restores standard output, which closes the write end of the pipe.
  void Restore() {
    if (saved_stdout_ >= 0) {
      ::dup2(saved_stdout_, STDOUT_FILENO);
      ::close(saved_stdout_);
      saved_stdout_ = -1;
    }
  }

  // Returns the contents of the pipe without blocking.
  std::string Read() const {
    ::fcntl(read_end_, F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t received = 0;
    while ((received = ::read(read_end_, buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(received));
    }
    return text;
  }

 private:
  int saved_stdout_;
  int read_end_ = -1;
};

TEST_CASE("A stalled reader blocks neither writing nor shutdown",
          "[adapters][log]") {
  StalledReader reader;
  std::uint64_t dropped = 0;
  auto work = std::async(std::launch::async, [&dropped] {
    EventLog log("node-1", SystemClock());
    for (int i = 0; i < kManyLines; ++i) {
      log.Write("placed", {{"number", i}}, LogRateLimit::kExempt);
    }
    dropped = log.Dropped();
  });
  const bool ended = work.wait_for(kTimeout) == std::future_status::ready;
  const std::string text = reader.Read();
  // Drains the pipe so that a writer that blocks can finish: the test then
  // fails instead of hanging.
  while (work.wait_for(std::chrono::milliseconds(10)) !=
         std::future_status::ready) {
    reader.Read();
  }
  reader.Restore();
  CHECK(ended);
  CHECK(text.find("\"number\":0") != std::string::npos);
  CHECK(dropped > 0);
}

TEST_CASE("Lines over the rate limit are suppressed, except exempt ones",
          "[adapters][log]") {
  StalledReader reader;
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
