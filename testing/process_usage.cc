#include "testing/process_usage.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace harecrank::testing {
namespace {

std::filesystem::path ProcFolder(pid_t process) {
  return std::filesystem::path("/proc") / std::to_string(process);
}

}  // namespace

std::size_t PeakMemory(pid_t process) {
  constexpr std::size_t kBytesPerKib = 1024;
  std::ifstream status(ProcFolder(process) / "status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      std::size_t kib = 0;
      status >> kib;
      return kib * kBytesPerKib;
    }
  }
  return 0;
}

std::size_t OpenDescriptors(pid_t process) {
  std::error_code error;
  std::size_t count = 0;
  const std::filesystem::directory_iterator end;
  for (std::filesystem::directory_iterator entry(ProcFolder(process) / "fd",
                                                 error);
       !error && entry != end; entry.increment(error)) {
    ++count;
  }
  return count;
}

}  // namespace harecrank::testing
