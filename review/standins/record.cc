#include "review/standins/record.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace harecrank::review {

Record::Record(const std::string& path, std::string who)
    : file_(::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                   0644)),
      who_(std::move(who)) {
  if (file_ < 0) {
    throw std::runtime_error("the record " + path + " cannot be opened");
  }
}

Record::~Record() { ::close(file_); }

void Record::Write(const std::string& text) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
  const std::string line =
      std::to_string(now.count()) + " " + who_ + " " + text + "\n";
  if (::write(file_, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    throw std::runtime_error("the record cannot be written");
  }
}

}  // namespace harecrank::review
