#include "hibiscusnotch/entry/event_log.hpp"

#include "hibiscusnotch/observe/logger.hpp"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace hibiscusnotch::entry {

std::string
FormatHash(uint64_t aHash)
{
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016" PRIx64, aHash);
  return digits.data();
}

std::string
FormatRate(double aPerSecond)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3g", aPerSecond);
  return text.data();
}

EventLog::EventLog(relay::Timers& aTimers, EventLogOptions aOptions)
  : timers_(aTimers)
  , options_(std::move(aOptions))
  , tokens_(options_.burstLines)
  , refilledAt_(aTimers.Now())
{
}

void
EventLog::Write(core::EventNumber aNumber, std::string aDetail)
{
  const core::TimePoint now = timers_.Now();
  tokens_ = std::min(options_.burstLines,
                     tokens_ + core::Seconds(now - refilledAt_) *
                                 options_.linesPerSecond);
  refilledAt_ = now;
  if (tokens_ < 1) {
    ++dropped_;
    return;
  }
  tokens_ -= 1;
  if (dropped_ > 0 && tokens_ >= 1) {
    tokens_ -= 1;
    observe::WriteEvent(
      options_.source,
      { core::EventNumber::LinesDropped, "count=" + std::to_string(dropped_) });
    dropped_ = 0;
  }
  observe::WriteEvent(options_.source, { aNumber, std::move(aDetail) });
}

} // namespace hibiscusnotch::entry
