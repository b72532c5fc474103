// The record of a case: what clients sent and were answered, and what servers
// ran. The processes of a case append their lines to one file.

#ifndef HARECRANK_REVIEW_STANDINS_RECORD_H_
#define HARECRANK_REVIEW_STANDINS_RECORD_H_

#include <string>

namespace harecrank::review {

// Appends lines to a file. Each line is one write at the end of the file, so
// that lines of several processes do not mix and a process that is killed has
// written all of its lines. Thread-safe.
class Record {
 public:
  // `who` begins each line, after the time.
  Record(const std::string& path, std::string who);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  // Writes "TIME_MS WHO TEXT", with the time on the monotonic clock.
  void Write(const std::string& text);

 private:
  int file_;
  std::string who_;
};

}  // namespace harecrank::review

#endif  // HARECRANK_REVIEW_STANDINS_RECORD_H_
