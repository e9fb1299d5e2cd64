/// @file
/// @brief Which version answers first, and when a better one answers instead.
#pragma once

#include "hibiscusnotch/core/peer_message.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <array>
#include <cstdint>
#include <random>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace hibiscusnotch::core {

/// @brief Number of equal parts that an engine's confidence is sorted into.
inline constexpr std::size_t kConfidenceBins = 8;

/// @brief The part that a confidence between 0 and 1 falls into.
uint8_t
ConfidenceBin(double aConfidence);

/// @brief One step of a plan.
struct PlanStep
{
  VersionId version;
  uint8_t acceptFromBin = 0; ///< Less confident answers go to the next step.
};

/// @brief The versions to ask, in order; the last one's answer stands.
using Plan = std::vector<PlanStep>;

/// @brief Learns from ratings where a cheaper version is good enough.
struct LearntCascade
{
  double margin = 0.005;       ///< Kept above the quality target.
  double deviations = 0.7;     ///< Of the confidence bound.
  double exploreShare = 0.5;   ///< Of requests while nothing is known.
  double uncertainShare = 0.2; ///< While a cheaper plan may yet be good enough.
  uint32_t fewestRatings = 30; ///< Per class and version, for any plan.
};

/// @brief Baseline: the best version for everything.
struct AlwaysBest
{};

/// @brief Baseline: the cheapest first, one threshold for all classes.
struct FixedThreshold
{
  uint8_t acceptFromBin = 4;
};

using CascadePolicy = std::variant<LearntCascade, AlwaysBest, FixedThreshold>;

/// @brief What is known of one version's answers to one class of request.
struct AnswerStatistics
{
  std::array<double, kConfidenceBins> seen{};
  std::array<double, kConfidenceBins> rated{};
  std::array<double, kConfidenceBins> good{};
  double tokens = 0;
  double answers = 0;
};

/// @brief Plans requests and learns from their answers.
class Cascade
{
public:
  Cascade(const Settings& aSettings, CascadePolicy aPolicy, uint64_t aSeed);

  /// @brief The plan of least expected cost that meets the quality target.
  /// @param aAllowed Versions that may be used now, cheapest first.
  /// @param aSingle True when only one version may answer (a session).
  Plan MakePlan(ClassId aClass,
                OrganisationId aOrganisation,
                std::span<const VersionId> aAllowed,
                bool aSingle);

  /// @brief Counts a finished answer.
  void CountAnswer(ClassId aClass,
                   OrganisationId aOrganisation,
                   VersionId aVersion,
                   uint8_t aBin,
                   uint32_t aTokens);

  /// @brief Takes in one rating, own or a peer's.
  void CountRating(const Rating& aRating);

  /// @brief All rows, for an instance that joins.
  std::vector<AnswerStatisticsRow> Export() const;

  /// @brief Takes in the rows that are not known here.
  void Import(std::span<const AnswerStatisticsRow> aRows);

private:
  struct Estimate
  {
    double acceptShare = 1;
    double goodShare = 0; ///< Of all requests: accepted and good.
    double deviation = 0; ///< Of the good share.
    double rated = 0;
  };

  Plan LearntPlan(const LearntCascade& aPolicy,
                  ClassId aClass,
                  OrganisationId aOrganisation,
                  std::span<const VersionId> aAllowed,
                  bool aSingle);
  /// @brief A version with the least confidence that is accepted from it.
  struct Candidate
  {
    PlanStep step;
    double cost = 0;
    double lowerBound = 0; ///< Of the whole plan's quality.
    double upperBound = 0;
  };

  std::vector<Candidate> Candidates(const LearntCascade& aPolicy,
                                    const AnswerStatistics& aSeen,
                                    VersionId aVersion,
                                    double aStrongGood,
                                    double aStrongPrice,
                                    bool aSingle) const;
  bool Draw(double aShare);
  Estimate EstimateStep(const AnswerStatistics& aStatistics,
                        uint8_t aFromBin) const;
  const AnswerStatistics& Best(ClassId aClass,
                               OrganisationId aOrganisation,
                               VersionId aVersion) const;

  const Settings& settings_;
  CascadePolicy policy_;
  std::mt19937_64 random_;
  std::unordered_map<uint64_t, AnswerStatistics> table_;
};

} // namespace hibiscusnotch::core
