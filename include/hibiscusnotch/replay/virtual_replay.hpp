/// @file
/// @brief Simulates a trace with the router's and with baseline policies.
#pragma once

#include "hibiscusnotch/replay/report.hpp"
#include "hibiscusnotch/replay/simulation.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusnotch::replay {

/// @brief A named combination of routing policies.
struct NamedPolicy
{
  std::string name;
  SimulationOptions options;
};

/// @brief Baselines for comparison; each replaces one of the default policies.
std::vector<NamedPolicy>
Baselines();

struct VirtualReplayOptions
{
  uint64_t seed = 1;
  uint64_t seeds = 1;
  bool baselines = true;
};

struct VirtualReplayResult
{
  RunStatistics statistics; ///< Of the first seed.
  nlohmann::ordered_json report;
};

/// @brief Simulates the trace with every policy for the same seeds.
VirtualReplayResult
ReplayVirtual(const core::Settings& aSettings,
              const Trace& aTrace,
              const VirtualReplayOptions& aOptions);

/// @brief The reports of the baselines only, to accompany a live replay.
nlohmann::ordered_json
BaselineReports(const core::Settings& aSettings,
                const Trace& aTrace,
                uint64_t aSeed);

} // namespace hibiscusnotch::replay
