/// @file
/// @brief Content and ground-truth quality of simulated answers.
///
/// Both are derived from hashes of the request id and the version, so that
/// upstreams, the rating service and callers agree without communicating.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::standin {

/// @brief Simulation parameters of one model version.
struct VersionBehaviour
{
  double skill = 1;              ///< Highest difficulty that it answers well.
  double secondsPerToken = 0.02; ///< Without concurrent requests.
  double badAnswerShare = 0.7;   ///< Share of bad answers of a bad version.
};

/// @brief Parameters by version; dearer versions are slower and more skilled.
std::vector<VersionBehaviour>
DefaultBehaviours(const core::Settings& aSettings);

/// @brief The text of a range of tokens of an answer.
std::string
AnswerText(std::string_view aRequestId,
           std::string_view aVersion,
           uint32_t aOffset,
           uint32_t aTokens);

/// @brief The ground truth that ratings and reports are based on.
bool
AnswerIsGood(std::string_view aRequestId,
             std::string_view aVersion,
             const VersionBehaviour& aBehaviour,
             double aDifficulty,
             bool aVersionIsBad);

/// @brief The engine's confidence, calibrated unless the version is bad.
double
AnswerConfidence(std::string_view aRequestId,
                 std::string_view aVersion,
                 const VersionBehaviour& aBehaviour,
                 double aDifficulty);

} // namespace hibiscusnotch::standin
