#include "src/adapters/line_writer.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace harecrank {
namespace {

constexpr std::size_t kLineBytes = 1024;
// What the writer's thread is given to take a batch. A thread that is slower
// only makes the test see less.
constexpr Millis kTakesBatch{300};

// A pipe that is full and that nobody reads.
class FullPipe {
 public:
  FullPipe() {
    REQUIRE(::pipe(ends_.data()) == 0);
    ::fcntl(ends_[1], F_SETFL, O_NONBLOCK);
    const std::string piece(kLineBytes, 'x');
    while (::write(ends_[1], piece.data(), piece.size()) > 0) {
    }
    ::fcntl(ends_[1], F_SETFL, 0);
  }
  ~FullPipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;

  int WritingEnd() const { return ends_[1]; }

 private:
  std::array<int, 2> ends_{};
};

// On a busy machine a log before a stuck reader once dropped nothing of 5,000
// lines, 465 kB, though its bound is 256 kB: its thread had come late, had
// taken a whole buffer at once, and a second buffer had room for the rest.
TEST_CASE("What the writer has in hand counts towards its bound",
          "[adapters][log]") {
  const FullPipe pipe;
  LineWriter writer(pipe.WritingEnd());
  const std::string line(kLineBytes - 1, 'x');
  std::size_t taken = 0;
  while (taken < LineWriter::kMaxBufferedBytes / 2 && writer.Append(line)) {
    taken += kLineBytes;
  }
  std::this_thread::sleep_for(kTakesBatch);
  while (taken < 4 * LineWriter::kMaxBufferedBytes && writer.Append(line)) {
    taken += kLineBytes;
  }
  CHECK(taken <= LineWriter::kMaxBufferedBytes);
}

}  // namespace
}  // namespace harecrank
