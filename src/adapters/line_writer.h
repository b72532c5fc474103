// Writes lines to a descriptor on a thread of its own, and never waits for
// whoever reads there longer than it is told.
//
// log4cxx's asynchronous appender is not used for this: it ends only when its
// last line has been taken, so a process whose reader is stuck could not stop,
// and it does not tell its caller which lines it leaves out.

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

// Thread-safe.
class LineWriter {
 public:
  // `descriptor` stays open for as long as this lives.
  explicit LineWriter(int descriptor);
  // Gives the reader kFlushLimit to take what is buffered.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // Buffers `line`, to which it adds the line's end. Returns false if there is
  // no room, and leaves it out.
  bool Append(const std::string& line);

  // What waits for the reader, with what the thread is writing: about five
  // hundred lines of a request.
  static constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
  // What a process that stops still gives to a slow reader.
  static constexpr Millis kFlushLimit{300};

 private:
  void Run();
  // Writes all of `batch`, or as much as the reader takes in time.
  void WriteBatch(const std::string& batch);
  // Returns whether a piece can be written without waiting.
  bool AwaitRoom();
  bool IsPastEnd();

  int descriptor_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::string buffered_;
  // Bytes that the thread has taken and not yet written.
  std::size_t in_hand_ = 0;
  bool stopping_ = false;
  std::chrono::steady_clock::time_point flush_until_{};
  std::thread thread_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_LINE_WRITER_H_
