/// @file
/// @brief Small seeded worlds in which several things go wrong at once.
#pragma once

#include "hibiscusnotch/replay/report.hpp"
#include "hibiscusnotch/replay/simulation.hpp"

#include <cstdint>

namespace hibiscusnotch::replay {

/// @brief A world of 3 to 12 instances, its traffic and its faults.
struct History
{
  core::Settings settings;
  Trace trace;
  SimulationOptions options;
};

/// @brief The same seed gives the same history.
History
MakeHistory(uint64_t aSeed);

/// @brief Plays a history and judges it.
RunStatistics
SimulateHistory(const History& aHistory);

} // namespace hibiscusnotch::replay
