/// @file
/// @brief A virtual replay beside its baseline policies, over several seeds.
#pragma once

#include "hibiscusnotch/replay/report.hpp"
#include "hibiscusnotch/replay/simulation.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusnotch::replay {

/// @brief A named set of policies.
struct NamedPolicy
{
  std::string name;
  SimulationOptions options;
};

/// @brief The baselines, each with one policy replaced.
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
  RunStatistics figures; ///< Of the first seed.
  nlohmann::ordered_json report;
};

/// @brief Runs the router and the baselines on the same trace and seeds.
VirtualReplayResult
ReplayVirtual(const core::Settings& aSettings,
              const Trace& aTrace,
              const VirtualReplayOptions& aOptions);

/// @brief The baselines' figures alone, for a report of another run.
nlohmann::ordered_json
BaselineReports(const core::Settings& aSettings,
                const Trace& aTrace,
                uint64_t aSeed);

} // namespace hibiscusnotch::replay
