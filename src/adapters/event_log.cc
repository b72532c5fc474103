#include "src/adapters/event_log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <chrono>
#include <utility>

#include "src/adapters/system_sources.h"

namespace harecrank {
namespace {

constexpr char kLogger[] = "events";
// Lines that wait for standard output's reader.
constexpr int kBufferedLines = 512;

std::int64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

}  // namespace

EventLog::EventLog(std::string node, MonotonicClock clock)
    : node_(std::move(node)), clock_(std::move(clock)) {
  const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout("%m%n"));
  const log4cxx::AppenderPtr console(new log4cxx::ConsoleAppender(
      layout, log4cxx::ConsoleAppender::getSystemOut()));
  const log4cxx::AsyncAppenderPtr buffer(new log4cxx::AsyncAppender());
  buffer->setBlocking(false);
  buffer->setBufferSize(kBufferedLines);
  buffer->addAppender(console);
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(kLogger);
  logger->setAdditivity(false);
  logger->removeAllAppenders();
  logger->addAppender(buffer);
  logger->setLevel(log4cxx::Level::getInfo());
}

EventLog::~EventLog() {
  log4cxx::Logger::getLogger(kLogger)->removeAllAppenders();
}

void EventLog::Write(const char* kind, nlohmann::json fields,
                     LogWeight weight) {
  if (!Admit(kind, weight, &fields)) {
    ++dropped_;
    return;
  }
  static const log4cxx::LoggerPtr kLog = log4cxx::Logger::getLogger(kLogger);
  fields["event"] = kind;
  fields["node"] = node_;
  fields["steady_ms"] = ToMillis(clock_());
  fields["time_ms"] = WallMillis();
  LOG4CXX_INFO(kLog, fields.dump(-1, ' ', false,
                                 nlohmann::json::error_handler_t::replace));
}

bool EventLog::Admit(const char* kind, LogWeight weight,
                     nlohmann::json* fields) {
  Rate& rate = rates_[kind];
  const TimePoint now = clock_();
  if (now - rate.second >= std::chrono::seconds(1)) {
    rate.second = now;
    rate.lines = 0;
  }
  ++rate.lines;
  if (weight == LogWeight::kOrdinary && rate.lines > kLinesPerSecond) {
    ++rate.left_out;
    return false;
  }
  if (rate.left_out > 0) {
    (*fields)["left_out_before"] = rate.left_out;
    rate.left_out = 0;
  }
  return true;
}

}  // namespace harecrank
