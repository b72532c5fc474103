// Child processes for tests and benchmarks.

#ifndef HARECRANK_TESTING_PROCESS_H_
#define HARECRANK_TESTING_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace harecrank::testing {

// A child process. The system kills it when its parent ends for any reason.
class Process {
 public:
  // Starts `command`, whose first element is the path of the program. Appends
  // its standard output and error to the file `log`. Adds the variables of
  // `environment`, as NAME=TEXT, to the environment of this process.
  Process(const std::vector<std::string>& command, const std::string& log,
          const std::vector<std::string>& environment = {});
  // Kills the child if it is still running.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Sends a signal, such as SIGSTOP. Has no effect once the child's exit has
  // been recorded.
  void Signal(int signal) const;

  // Sends SIGKILL and waits for the child's exit.
  void Kill();

  // Waits for the child's exit and returns its exit code, or -1 if a signal
  // terminated it.
  int Wait();

  bool IsRunning();

  // Waits for the child's exit and returns its exit code or signal as text.
  std::string DescribeExit();
  pid_t Pid() const { return pid_; }

 private:
  void RecordExit(int status);

  pid_t pid_;
  bool exited_ = false;
  int exit_code_ = -1;
  // The signal that terminated the child, or 0 if it exited by itself.
  int exit_signal_ = 0;
};

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_PROCESS_H_
