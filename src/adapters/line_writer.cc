#include "src/adapters/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace harecrank {
namespace {

// A descriptor that is ready takes this much at once without waiting: POSIX
// promises it for pipes.
constexpr std::size_t kPiece = PIPE_BUF;
// How often a writer that waits for its reader looks whether it shall stop.
constexpr Millis kLook{100};

}  // namespace

LineWriter::LineWriter(int descriptor)
    : descriptor_(descriptor), thread_([this] { Run(); }) {}

LineWriter::~LineWriter() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    flush_until_ = std::chrono::steady_clock::now() + kFlushLimit;
  }
  changed_.notify_one();
  thread_.join();
}

bool LineWriter::Append(const std::string& line) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    // Without what is in hand the bound held for half: a writer that was stuck
    // with a full batch let a second one grow, 512 kB instead of 256 kB.
    if (batch_bytes_ + buffered_.size() + line.size() >= kMaxBufferedBytes) {
      return false;
    }
    buffered_ += line;
    buffered_ += '\n';
  }
  changed_.notify_one();
  return true;
}

void LineWriter::Run() {
  while (true) {
    std::string batch;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !buffered_.empty(); });
      if (buffered_.empty()) {
        return;
      }
      batch.swap(buffered_);
      batch_bytes_ = batch.size();
    }
    WriteBatch(batch);
    const std::lock_guard<std::mutex> lock(mutex_);
    batch_bytes_ = 0;
  }
}

void LineWriter::WriteBatch(const std::string& batch) {
  std::size_t written = 0;
  while (written < batch.size()) {
    if (!WaitUntilWritable()) {
      return;
    }
    const std::size_t piece = std::min(kPiece, batch.size() - written);
    const ssize_t got = ::write(descriptor_, batch.data() + written, piece);
    if (got > 0) {
      written += static_cast<std::size_t>(got);
    } else if (errno != EINTR && errno != EAGAIN) {
      // Nobody reads any more, and there is no other place to say so.
      return;
    }
  }
}

bool LineWriter::WaitUntilWritable() {
  while (true) {
    pollfd ready{descriptor_, POLLOUT, 0};
    const int count = ::poll(&ready, 1, static_cast<int>(kLook.count()));
    if (count > 0) {
      return true;
    }
    if (IsFlushTimeOver()) {
      return false;
    }
  }
}

bool LineWriter::IsFlushTimeOver() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stopping_ && std::chrono::steady_clock::now() >= flush_until_;
}

}  // namespace harecrank
