/// @file
/// @brief A rate-limited event log with one line per decision.
#pragma once

#include "hibiscusnotch/core/log_event.hpp"
#include "hibiscusnotch/relay/clock.hpp"

#include <cstdint>
#include <string>

namespace hibiscusnotch::entry {

struct EventLogOptions
{
  std::string source;
  double linesPerSecond = 300; ///< On average; further lines are only counted.
  double burstLines = 1000;    ///< Lines that may be written at once.
};

/// @brief A hash in hexadecimal digits, for details of events.
std::string
FormatHash(uint64_t aHash);

/// @brief A rate per second with three digits, for details of events.
std::string
FormatRate(double aPerSecond);

class EventLog
{
public:
  EventLog(relay::Timers& aTimers, EventLogOptions aOptions);

  /// @brief Writes one event, or counts it as dropped.
  void Write(core::EventNumber aNumber, std::string aDetail);

private:
  relay::Timers& timers_;
  EventLogOptions options_;
  double tokens_;
  core::TimePoint refilledAt_;
  uint64_t dropped_ = 0;
};

} // namespace hibiscusnotch::entry
