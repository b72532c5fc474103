// Text logs, meant for rare events such as changes of state. Frequent events
// are counted by metrics instead.

#ifndef HARECRANK_SRC_ADAPTERS_LOGGING_H_
#define HARECRANK_SRC_ADAPTERS_LOGGING_H_

#include <log4cxx/logger.h>

#include <string>

namespace harecrank {

// Writes log lines of `level` ("debug", "info", "warn" or "error") and above to
// standard error. Must be called once, before other threads are started.
void ConfigureLogging(const std::string& level);

// Returns the logger of the module called `module`.
log4cxx::LoggerPtr GetLog(const std::string& module);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_LOGGING_H_
