/// @file
/// @brief The wall clock as a core::TimePoint, for the stand-in servers.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <chrono>

namespace hibiscusnotch::standin {

/// @brief The time since 1970, comparable across processes on a machine.
inline core::TimePoint
WallTime()
{
  return core::TimePoint(std::chrono::duration_cast<core::Duration>(
    std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace hibiscusnotch::standin
