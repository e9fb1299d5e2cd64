/// @file
/// @brief One line for each decision, within a bounded volume.
#pragma once

#include "hibiscusnotch/core/log_event.hpp"
#include "hibiscusnotch/relay/clock.hpp"

#include <cstdint>
#include <string>

namespace hibiscusnotch::entry {

struct EventLogOptions
{
  std::string source;
  double linesPerSecond = 300; ///< On average; above it lines are counted.
  double burstLines = 1000;    ///< Lines that may come at once.
};

class EventLog
{
public:
  EventLog(relay::Timers& aTimers, EventLogOptions aOptions);

  /// @brief Writes one event, or counts it as left out.
  void Write(core::EventNumber aNumber, std::string aDetail);

private:
  relay::Timers& timers_;
  EventLogOptions options_;
  double tokens_;
  core::TimePoint refilledAt_;
  uint64_t dropped_ = 0;
};

} // namespace hibiscusnotch::entry
