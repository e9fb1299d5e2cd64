/// @file
/// @brief The true quality and content of every answer, fixed by hashes.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::standin {

/// @brief How one version behaves.
struct VersionBehaviour
{
  double skill = 1;              ///< Answers up to this difficulty are good.
  double secondsPerToken = 0.02; ///< Alone on an upstream.
  double badShare = 0.7;         ///< Bad answers once the version is bad.
};

/// @brief Behaviour by version, guessed from the prices.
std::vector<VersionBehaviour>
DefaultBehaviours(const core::Settings& aSettings);

/// @brief The text of some tokens of an answer.
std::string
AnswerText(std::string_view aRequestId,
           std::string_view aVersion,
           uint32_t aOffset,
           uint32_t aTokens);

/// @brief True when the version's answer meets the standard.
bool
AnswerIsGood(std::string_view aRequestId,
             std::string_view aVersion,
             const VersionBehaviour& aBehaviour,
             double aDifficulty,
             bool aTurnedBad);

/// @brief The engine's own confidence, right on average while not bad.
double
AnswerConfidence(std::string_view aRequestId,
                 std::string_view aVersion,
                 const VersionBehaviour& aBehaviour,
                 double aDifficulty);

} // namespace hibiscusnotch::standin
