/// @file
/// @brief The runtime's clock and the one timer that all waits share.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace hibiscusnotch::relay {

using core::Duration;
using core::TimePoint;

/// @brief Reads the current time; tests pass a clock that they advance.
using Clock = std::function<TimePoint()>;

/// @brief The clock that also counts the time while a machine is suspended.
Clock
BootClock();

using TimerId = uint64_t;

/// @brief Calls back at given times.
class Timers
{
public:
  virtual ~Timers() = default;

  /// @brief The time now, by the clock that drives the timers.
  virtual TimePoint Now() const = 0;
  virtual TimerId At(TimePoint aTime, std::function<void()> aCall) = 0;
  TimerId After(Duration aDelay, std::function<void()> aCall)
  {
    return At(Now() + aDelay, std::move(aCall));
  }
  /// @brief Takes a timer back; nothing happens when it is unknown or done.
  virtual void Cancel(TimerId aTimer) = 0;
};

/// @brief Timers on one event loop, with a single operating system timer.
std::unique_ptr<Timers>
MakeTimers(boost::asio::io_context& aContext, Clock aClock);

} // namespace hibiscusnotch::relay
