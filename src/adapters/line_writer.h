// Writes lines to a file descriptor on a separate thread. A slow reader does
// not block the caller, and delays the exit of the process by at most
// kFlushLimit.
//
// log4cxx's asynchronous appender is not suitable: it stops only after its last
// line has been written, so a process whose reader has stalled could not exit,
// and it does not report to its caller which lines it drops.

#ifndef HARECRANK_SRC_ADAPTERS_LINE_WRITER_H_
#define HARECRANK_SRC_ADAPTERS_LINE_WRITER_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// Buffers lines and writes them to a file descriptor on its own thread. Drops
// lines if the reader is too slow. Thread-safe.
class LineWriter {
 public:
  // `descriptor` must stay open for the lifetime of this object.
  explicit LineWriter(int descriptor);
  // Writes the buffered lines for at most kFlushLimit, and discards the rest.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // Buffers `line` and appends a newline to it. Returns false and drops the
  // line if the buffer is full.
  bool Append(const std::string& line);

  // Maximum number of bytes that are buffered or being written. The buffer
  // holds about 500 log lines of requests.
  static constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
  // Flush time: maximum time that the destructor waits for a slow reader.
  static constexpr Millis kFlushLimit{300};

 private:
  void Run();
  // Writes `batch`. Discards the rest of it at the end of the flush time or on
  // a write error.
  void WriteBatch(const std::string& batch);
  // Waits until the descriptor is writable. Returns false if the flush time
  // ends first.
  bool WaitUntilWritable();
  bool IsFlushTimeOver();

  int descriptor_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::string buffered_;
  // Size of the batch that the thread is writing.
  std::size_t batch_bytes_ = 0;
  bool stopping_ = false;
  // End of the flush time; set when stopping.
  std::chrono::steady_clock::time_point flush_until_{};
  std::thread thread_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_LINE_WRITER_H_
