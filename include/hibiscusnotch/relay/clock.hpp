/// @file
/// @brief The monotonic clock and the timers of an event loop.
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

/// @brief A monotonic clock that also advances while the machine is suspended.
Clock
BootClock();

using TimerId = uint64_t;

/// @brief Runs callbacks at given times.
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
  /// @brief Cancels a timer; does nothing if it is unknown or has fired.
  virtual void Cancel(TimerId aTimer) = 0;
};

/// @brief Timers on one event loop that share one operating system timer.
std::unique_ptr<Timers>
MakeTimers(boost::asio::io_context& aContext, Clock aClock);

} // namespace hibiscusnotch::relay
