// Logs: lines for changes of state only. What happens often is counted.

#ifndef HARECRANK_SRC_ADAPTERS_LOGGING_H_
#define HARECRANK_SRC_ADAPTERS_LOGGING_H_

#include <log4cxx/logger.h>

#include <string>

namespace harecrank {

// Sends log lines to standard error from `level` ("debug", "info", "warn" or
// "error") on. Called once, before other threads begin.
void ConfigureLogging(const std::string& level);

// Returns the logger of one module.
log4cxx::LoggerPtr GetLog(const std::string& module);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_LOGGING_H_
