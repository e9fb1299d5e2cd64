/// @file
/// @brief Checks the router's guarantees against the observations of a run.
#pragma once

#include "hibiscusnotch/standin/observation.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace hibiscusnotch::replay {

/// @brief The number of violations of each guarantee.
struct Violations
{
  uint64_t forbiddenVersion = 0;
  uint64_t withdrawnNewWork = 0;
  uint64_t sessionVersionChanged = 0;
  uint64_t billedNotOnce = 0;
  uint64_t coldStartOverrun = 0;
  uint64_t zoneOutNewWork = 0;
  uint64_t answerMismatch = 0;
  uint64_t falseNotRun = 0;
  uint64_t ranTwice = 0;
  uint64_t leavingNewWork = 0;
  uint64_t cutByShutdown = 0;
  uint64_t configLateOrReverted = 0;
  std::vector<std::string> details; ///< Descriptions of the first few.

  uint64_t Total() const;
};

/// @brief Name and value of each count, in the order of the report.
std::vector<std::pair<std::string, uint64_t>>
ViolationCounts(const Violations& aViolations);

/// @brief Counts the violations in the observations of one run.
Violations
CheckGuarantees(const core::Settings& aSettings,
                std::span<const standin::Observation> aObservations);

} // namespace hibiscusnotch::replay
