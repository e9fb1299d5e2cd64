/// @file
/// @brief Generates a trace with a decaying load peak, from a seed.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <iosfwd>

namespace hibiscusnotch::replay {

struct GeneratorOptions
{
  uint64_t seed = 1;
  double seconds = 20;
  double requestsPerSecond = 45; ///< Once the initial peak has decayed.
  double backlog = 1.0;          ///< Initial peak, relative to the rate.
  bool faults = true;            ///< Include faults and operator actions.
  double greedyFactor = 1;       ///< Multiplies the first organisation's load.
};

/// @brief Writes the trace as one JSON object per line.
void
GenerateTrace(const core::Settings& aSettings,
              const GeneratorOptions& aOptions,
              std::ostream& aStream);

} // namespace hibiscusnotch::replay
