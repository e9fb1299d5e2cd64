#include "hibiscusnotch/observe/logger.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <cstdint>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace hibiscusnotch::observe {

namespace {

constexpr const char* kLoggerName = "hibiscusnotch";
constexpr const char* kPattern = "%d{ISO8601} %-5p %m%n";
// With the layout's fields less than the 4,096 bytes that a pipe which accepts
// anything accepts at once.
constexpr std::size_t kMaxLineBytes = 3500;

/// The stream that lines go to, and the lines that it did not accept.
struct Output
{
  int handle = STDERR_FILENO;
  uint64_t dropped = 0;
};

Output&
SharedOutput()
{
  static Output sOutput;
  return sOutput;
}

/// False if a write would wait for a reader, or if there is none.
bool
AcceptsLine(int aHandle)
{
  pollfd entry{ aHandle, POLLOUT, 0 };
  constexpr int kUnwritable = POLLERR | POLLHUP | POLLNVAL;
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0 &&
         (entry.revents & kUnwritable) == 0;
}

log4cxx::LevelPtr
ToLog4cxxLevel(const std::string& aName)
{
  if (aName == "debug") {
    return log4cxx::Level::getDebug();
  }
  if (aName == "warning") {
    return log4cxx::Level::getWarn();
  }
  if (aName == "error") {
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::LevelPtr
ToLog4cxxLevel(core::LogLevel aLevel)
{
  switch (aLevel) {
    case core::LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case core::LogLevel::Info:
      return log4cxx::Level::getInfo();
    case core::LogLevel::Warning:
      return log4cxx::Level::getWarn();
    case core::LogLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::LayoutPtr
MakeLayout(core::LogLayout aLayout)
{
  if (aLayout == core::LogLayout::Json) {
    return log4cxx::LayoutPtr(new log4cxx::JSONLayout());
  }
  return log4cxx::LayoutPtr(new log4cxx::PatternLayout(kPattern));
}

} // namespace

void
StartLogging(const core::LogSettings& aSettings, LogStream aStream)
{
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(kLoggerName);
  logger->removeAllAppenders();
  logger->setAdditivity(false);
  logger->addAppender(log4cxx::AppenderPtr(new log4cxx::ConsoleAppender(
    MakeLayout(aSettings.layout),
    aStream == LogStream::StandardOutput
      ? log4cxx::ConsoleAppender::getSystemOut()
      : log4cxx::ConsoleAppender::getSystemErr())));
  logger->setLevel(ToLog4cxxLevel(aSettings.level));
  SharedOutput().handle =
    aStream == LogStream::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
}

void
WriteEvent(const std::string& aSource, const core::LogEvent& aEvent)
{
  static const log4cxx::LoggerPtr kLogger =
    log4cxx::Logger::getLogger(kLoggerName);
  const core::EventDescription& description = core::Describe(aEvent.number);
  const log4cxx::LevelPtr level = ToLog4cxxLevel(description.level);
  if (!kLogger->isEnabledFor(level)) {
    return;
  }
  Output& output = SharedOutput();
  if (!AcceptsLine(output.handle)) {
    ++output.dropped;
    return;
  }
  if (output.dropped > 0) {
    const uint64_t count = std::exchange(output.dropped, 0);
    WriteEvent(aSource,
               { core::EventNumber::LinesDropped,
                 "count=" + std::to_string(count) + " why=unread" });
    WriteEvent(aSource, aEvent);
    return;
  }
  std::string line = "E" + std::to_string(static_cast<int>(aEvent.number)) +
                     " " + std::string(description.name) + " source=" + aSource;
  if (!aEvent.detail.empty()) {
    line += " " + aEvent.detail;
  }
  line.resize(std::min(line.size(), kMaxLineBytes));
  kLogger->forcedLog(level, line);
}

} // namespace hibiscusnotch::observe
