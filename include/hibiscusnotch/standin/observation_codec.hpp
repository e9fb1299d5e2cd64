/// @file
/// @brief Serializes the observations of stand-ins as JSON lines.
#pragma once

#include "hibiscusnotch/standin/observation.hpp"

#include <string>
#include <string_view>

namespace hibiscusnotch::standin {

/// @brief One JSON object per line; observations of callers are left out.
std::string
EncodeObservations(const core::Settings& aSettings,
                   const Observations& aObservations);

/// @brief Parses the lines; invalid or unknown lines are skipped.
Observations
DecodeObservations(const core::Settings& aSettings, std::string_view aText);

} // namespace hibiscusnotch::standin
