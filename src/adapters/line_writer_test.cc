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
// Time for the writer's thread to take a batch. If the thread is slower, the
// test passes without covering the case.
constexpr Millis kTakeBatchTime{300};

// A full pipe without a reader.
class FullPipe {
 public:
  FullPipe() {
    REQUIRE(::pipe(ends_.data()) == 0);
    ::fcntl(ends_[1], F_SETFL, O_NONBLOCK);
    const std::string block(kLineBytes, 'x');
    while (::write(ends_[1], block.data(), block.size()) > 0) {
    }
    ::fcntl(ends_[1], F_SETFL, 0);
  }
  ~FullPipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;

  int WriteEnd() const { return ends_[1]; }

 private:
  std::array<int, 2> ends_{};
};

// Guards against a buffer limit that ignores the batch being written. If the
// writer's thread runs late, it takes a full buffer as one batch, and a second
// buffer can then fill up. A log of 5,000 lines (465 kB) is then accepted
// without a drop, although the limit is 256 kB.
TEST_CASE("The batch that is being written counts towards the buffer limit",
          "[adapters][log]") {
  const FullPipe pipe;
  LineWriter writer(pipe.WriteEnd());
  const std::string line(kLineBytes - 1, 'x');
  std::size_t accepted = 0;
  while (accepted < LineWriter::kMaxBufferedBytes / 2 && writer.Append(line)) {
    accepted += kLineBytes;
  }
  std::this_thread::sleep_for(kTakeBatchTime);
  while (accepted < 4 * LineWriter::kMaxBufferedBytes && writer.Append(line)) {
    accepted += kLineBytes;
  }
  CHECK(accepted <= LineWriter::kMaxBufferedBytes);
}

}  // namespace
}  // namespace harecrank
