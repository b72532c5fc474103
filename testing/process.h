// Child processes for tests and benchmarks.

#ifndef HARECRANK_TESTING_PROCESS_H_
#define HARECRANK_TESTING_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace harecrank::testing {

// One child. It dies with its parent, however the parent ends.
class Process {
 public:
  // Starts `command`, whose first word is the program's path. Its output goes
  // to the file `log`. `environment` is added to this process's own: NAME=TEXT.
  Process(const std::vector<std::string>& command, const std::string& log,
          const std::vector<std::string>& environment = {});
  // Kills the child if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Sends a signal, such as SIGSTOP.
  void Signal(int signal) const;

  // Kills the child at once and waits for its end.
  void Kill();

  // Waits for the child's end and returns its exit code, or -1 if a signal
  // ended it.
  int Wait();

  bool IsRunning();

  // Waits for the child's end and says how it ended: an exit code or a signal.
  std::string DescribeExit();
  pid_t Pid() const { return pid_; }

 private:
  void RecordExit(int status);

  pid_t pid_;
  bool exited_ = false;
  int exit_code_ = -1;
  // Zero if it ended by itself.
  int exit_signal_ = 0;
};

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_PROCESS_H_
