#include "hibiscusnotch/standin/simulated_answer.hpp"

#include <algorithm>
#include <xxhash.h>

namespace hibiscusnotch::standin {

namespace {

constexpr double kSkillNoise = 0.12;
constexpr double kConfidenceSlope = 1.5;

/// A uniform number in [0, 1), hashed from the request, version and salt.
double
UniformHash(std::string_view aRequestId,
            std::string_view aVersion,
            uint64_t aSalt)
{
  const uint64_t version =
    XXH3_64bits_withSeed(aVersion.data(), aVersion.size(), aSalt);
  const uint64_t mixed =
    XXH3_64bits_withSeed(aRequestId.data(), aRequestId.size(), version);
  return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

} // namespace

std::vector<VersionBehaviour>
DefaultBehaviours(const core::Settings& aSettings)
{
  double maxPrice = 0;
  for (const core::Version& version : aSettings.versions) {
    maxPrice = std::max(maxPrice, version.pricePerThousandTokens);
  }
  std::vector<VersionBehaviour> behaviours;
  for (const core::Version& version : aSettings.versions) {
    const double relativePrice =
      maxPrice > 0 ? version.pricePerThousandTokens / maxPrice : 1;
    VersionBehaviour behaviour;
    behaviour.skill = 0.55 + 0.55 * std::min(1.0, relativePrice * 1.2);
    behaviour.secondsPerToken = 0.008 + 0.014 * relativePrice;
    behaviours.push_back(behaviour);
  }
  return behaviours;
}

std::string
AnswerText(std::string_view aRequestId,
           std::string_view aVersion,
           uint32_t aOffset,
           uint32_t aTokens)
{
  static constexpr std::string_view kLetters = "abcdefghijklmnop";
  const uint64_t version = XXH3_64bits(aVersion.data(), aVersion.size());
  const uint64_t answer =
    XXH3_64bits_withSeed(aRequestId.data(), aRequestId.size(), version);
  std::string text;
  text.reserve(aTokens * 4);
  for (uint32_t i = aOffset; i < aOffset + aTokens; ++i) {
    const uint64_t word = XXH3_64bits_withSeed(&i, sizeof(i), answer);
    text += kLetters[word % kLetters.size()];
    text += kLetters[(word >> 8) % kLetters.size()];
    text += kLetters[(word >> 16) % kLetters.size()];
    text += ' ';
  }
  return text;
}

bool
AnswerIsGood(std::string_view aRequestId,
             std::string_view aVersion,
             const VersionBehaviour& aBehaviour,
             double aDifficulty,
             bool aVersionIsBad)
{
  if (aVersionIsBad &&
      UniformHash(aRequestId, aVersion, 1) < aBehaviour.badAnswerShare) {
    return false;
  }
  const double noise =
    (UniformHash(aRequestId, aVersion, 2) - 0.5) * 2 * kSkillNoise;
  return aDifficulty <= aBehaviour.skill + noise;
}

double
AnswerConfidence(std::string_view aRequestId,
                 std::string_view aVersion,
                 const VersionBehaviour& aBehaviour,
                 double aDifficulty)
{
  const double noise =
    (UniformHash(aRequestId, aVersion, 3) - 0.5) * 2 * kSkillNoise;
  const double margin = aBehaviour.skill + noise - aDifficulty;
  return std::clamp(0.5 + margin * kConfidenceSlope, 0.0, 1.0);
}

} // namespace hibiscusnotch::standin
