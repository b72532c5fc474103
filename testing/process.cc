#include "testing/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>

namespace harecrank::testing {
namespace {

constexpr int kExecFailed = 127;
constexpr mode_t kLogMode = 0644;

void WriteToStderr(const char* text) {
  const ssize_t ignored = write(STDERR_FILENO, text, std::strlen(text));
  static_cast<void>(ignored);
}

// Writes the reason why a program could not be started to its log. A fleet
// cannot distinguish a process that is missing from one that is slow to start.
void ReportStartFailure(const char* program, int error) {
  WriteToStderr("cannot start ");
  WriteToStderr(program);
  WriteToStderr(": ");
  WriteToStderr(strerrordesc_np(error));
  WriteToStderr("\n");
}

// Replaces the forked child by the program of `command`. The system kills it
// when its parent ends.
[[noreturn]] void ExecProgram(const std::vector<std::string>& command,
                              const std::string& log,
                              const std::vector<std::string>& environment) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t no_signals;
  sigemptyset(&no_signals);
  sigprocmask(SIG_SETMASK, &no_signals, nullptr);
  const int file =
      open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, kLogMode);
  if (file >= 0) {
    dup2(file, STDERR_FILENO);
    dup2(file, STDOUT_FILENO);
  }
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  for (const std::string& variable : environment) {
    putenv(const_cast<char*>(variable.c_str()));
  }
  execv(arguments.front(), arguments.data());
  ReportStartFailure(arguments.front(), errno);
  _exit(kExecFailed);
}

}  // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::string& log,
                 const std::vector<std::string>& environment)
    : pid_(fork()) {
  if (pid_ == 0) {
    ExecProgram(command, log, environment);
  }
}

Process::~Process() { Kill(); }

void Process::Signal(int signal) const {
  if (!exited_ && pid_ > 0) {
    kill(pid_, signal);
  }
}

void Process::Kill() {
  Signal(SIGKILL);
  Wait();
}

int Process::Wait() {
  if (exited_ || pid_ <= 0) {
    return exit_code_;
  }
  int status = 0;
  waitpid(pid_, &status, 0);
  RecordExit(status);
  return exit_code_;
}

void Process::RecordExit(int status) {
  exited_ = true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  exit_signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
}

std::string Process::DescribeExit() {
  Wait();
  if (exit_signal_ == 0) {
    return "exit code " + std::to_string(exit_code_);
  }
  return "signal " + std::to_string(exit_signal_) + ", " +
         sigdescr_np(exit_signal_);
}

bool Process::IsRunning() {
  int status = 0;
  if (!exited_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    RecordExit(status);
  }
  return !exited_;
}

}  // namespace harecrank::testing
