#include "src/adapters/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/patternlayout.h>

namespace harecrank {

void ConfigureLogging(const std::string& level) {
  const log4cxx::LayoutPtr layout(
      new log4cxx::PatternLayout("%d{ISO8601} %-5p %c: %m%n"));
  const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(
      layout, log4cxx::ConsoleAppender::getSystemErr()));
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

log4cxx::LoggerPtr GetLog(const std::string& module) {
  return log4cxx::Logger::getLogger(module);
}

}  // namespace harecrank
