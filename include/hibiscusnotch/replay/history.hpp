/// @file
/// @brief Randomized simulation tests with overlapping faults.
#pragma once

#include "hibiscusnotch/replay/report.hpp"
#include "hibiscusnotch/replay/simulation.hpp"

#include <cstdint>

namespace hibiscusnotch::replay {

/// @brief A deployment of 3 to 12 instances, its traffic and its faults.
struct History
{
  core::Settings settings;
  Trace trace;
  SimulationOptions options;
};

/// @brief The same seed gives the same history.
History
MakeHistory(uint64_t aSeed);

/// @brief Simulates a history and checks its guarantees.
RunStatistics
SimulateHistory(const History& aHistory);

} // namespace hibiscusnotch::replay
