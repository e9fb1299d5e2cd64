/// @file
/// @brief Times and durations of the decision core.
#pragma once

#include <chrono>

namespace hibiscusnotch::core {

using Duration = std::chrono::microseconds;

/// @brief Clock type of the core's time points; the core never reads a clock.
struct CoreClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;
};

using TimePoint = CoreClock::time_point;

/// @brief A duration in seconds, for rates.
inline double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// @brief A duration in milliseconds, for reports.
inline double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// @brief Converts seconds to the core's resolution of one microsecond.
inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace hibiscusnotch::core
