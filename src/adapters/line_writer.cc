#include "src/adapters/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace harecrank {
namespace {

// Maximum size of one write. POSIX guarantees that a write of up to PIPE_BUF
// bytes to a pipe that poll reports as writable does not block.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;
// Interval at which a blocked writer checks whether the flush time is over.
constexpr Millis kPollInterval{100};

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
    // The batch that is being written counts towards the limit. Otherwise a
    // full buffer could build up behind a full batch that the thread cannot
    // write: 512 kB in total instead of 256 kB.
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
    const std::size_t write_size =
        std::min(kMaxWriteBytes, batch.size() - written);
    const ssize_t result =
        ::write(descriptor_, batch.data() + written, write_size);
    if (result > 0) {
      written += static_cast<std::size_t>(result);
    } else if (errno != EINTR && errno != EAGAIN) {
      // The reader has closed the descriptor, and there is no other place to
      // report the error.
      return;
    }
  }
}

bool LineWriter::WaitUntilWritable() {
  while (true) {
    pollfd poll_request{descriptor_, POLLOUT, 0};
    const int count =
        ::poll(&poll_request, 1, static_cast<int>(kPollInterval.count()));
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
