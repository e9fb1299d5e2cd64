/// @file
/// @brief Model cascade: which version answers first, and when to escalate.
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

/// @brief Number of equal bins of the confidence range from 0 to 1.
inline constexpr std::size_t kConfidenceBins = 8;

/// @brief The bin of a confidence between 0 and 1.
uint8_t
ConfidenceBin(double aConfidence);

/// @brief One step of a plan.
struct PlanStep
{
  VersionId version;
  uint8_t acceptFromBin = 0; ///< Answers in lower bins escalate.
};

/// @brief The versions to ask, in order; the last one's answer is final.
using Plan = std::vector<PlanStep>;

/// @brief Learns from ratings which cheaper versions meet the quality target.
struct LearntCascade
{
  double qualityMargin = 0.005;      ///< Added to the quality target.
  double confidenceDeviations = 0.7; ///< Standard deviations in a bound.
  double explorationShare = 0.5;     ///< Of requests while ratings are too few.
  /// Of requests while a cheaper plan's quality bounds span the target.
  double uncertainExplorationShare = 0.2;
  uint32_t minRatings = 30; ///< Per class and version, to plan with it.
};

/// @brief Baseline policy: always asks the best version.
struct AlwaysBest
{};

/// @brief Baseline policy: the cheapest version first, with one confidence
/// threshold for all classes.
struct FixedThreshold
{
  uint8_t acceptFromBin = 4;
};

using CascadePolicy = std::variant<LearntCascade, AlwaysBest, FixedThreshold>;

/// @brief Statistics of one version's answers to one class of request.
struct AnswerStatistics
{
  std::array<double, kConfidenceBins> answersByBin{};
  std::array<double, kConfidenceBins> ratedByBin{};
  std::array<double, kConfidenceBins> goodByBin{};
  double tokens = 0;
  double answers = 0;
};

/// @brief Makes plans and learns from answers and ratings.
class Cascade
{
public:
  Cascade(const Settings& aSettings, CascadePolicy aPolicy, uint64_t aSeed);

  /// @brief The plan with the lowest expected cost that meets the quality
  /// target.
  /// @param aAllowed Versions that may be used now, cheapest first.
  /// @param aSingle True when only one version may answer, as in a session.
  Plan MakePlan(ClassId aClass,
                OrganisationId aOrganisation,
                std::span<const VersionId> aAllowed,
                bool aSingle);

  /// @brief Counts a finished answer and its tokens.
  void RecordAnswer(ClassId aClass,
                    OrganisationId aOrganisation,
                    VersionId aVersion,
                    uint8_t aBin,
                    uint32_t aTokens);

  /// @brief Counts one rating, made here or received from a peer.
  void RecordRating(const Rating& aRating);

  /// @brief All statistics, for a joining instance.
  std::vector<AnswerStatisticsRow> Export() const;

  /// @brief Adopts rows that count more answers than the local ones.
  void Import(std::span<const AnswerStatisticsRow> aRows);

private:
  struct Estimate
  {
    double acceptShare = 1;
    double goodShare = 0; ///< Accepted and good, as a share of all requests.
    double deviation = 0; ///< Standard deviation of goodShare.
    double rated = 0;
  };

  Plan LearntPlan(const LearntCascade& aPolicy,
                  ClassId aClass,
                  OrganisationId aOrganisation,
                  std::span<const VersionId> aAllowed,
                  bool aSingle);
  /// @brief A version with its minimum accepted confidence.
  struct Candidate
  {
    PlanStep step;
    double cost = 0;
    double lowerBound = 0; ///< Of the quality of the whole plan.
    double upperBound = 0;
  };

  std::vector<Candidate> EvaluateCandidates(const LearntCascade& aPolicy,
                                            const AnswerStatistics& aStatistics,
                                            VersionId aVersion,
                                            double aBestGoodShare,
                                            double aBestPrice,
                                            bool aSingle) const;
  bool DrawWithProbability(double aShare);
  Estimate EstimateStep(const AnswerStatistics& aStatistics,
                        uint8_t aFromBin) const;
  const AnswerStatistics& StatisticsFor(ClassId aClass,
                                        OrganisationId aOrganisation,
                                        VersionId aVersion) const;

  const Settings& settings_;
  CascadePolicy policy_;
  std::mt19937_64 random_;
  std::unordered_map<uint64_t, AnswerStatistics> table_;
};

} // namespace hibiscusnotch::core
