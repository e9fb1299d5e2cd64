#include "hibiscusnotch/core/cascade.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace hibiscusnotch::core {

namespace {

constexpr uint32_t kAnyOrganisation = 0xffffffff;
constexpr double kMinOrganisationRatings = 80;
constexpr double kPriorRatings = 2;
constexpr double kDefaultAnswerTokens = 200;

uint64_t
ClassKey(ClassId aClass, uint32_t aOrganisation, uint64_t aModel)
{
  return MixHash(MixHash(aClass.value, aOrganisation), aModel);
}

uint64_t
VersionKey(VersionId aVersion)
{
  return aVersion.value;
}

uint64_t
ModelKey(const Settings& aSettings, VersionId aVersion)
{
  return StableHash(aSettings.At(aVersion).model);
}

double
SumBins(const std::array<double, kConfidenceBins>& aBins)
{
  double sum = 0;
  for (const double value : aBins) {
    sum += value;
  }
  return sum;
}

/// The mean price of one of the version's answers.
double
AnswerPrice(const Settings& aSettings,
            VersionId aVersion,
            const AnswerStatistics& aStatistics)
{
  const double tokens = aStatistics.answers > 0
                          ? aStatistics.tokens / aStatistics.answers
                          : kDefaultAnswerTokens;
  return aSettings.At(aVersion).pricePerThousandTokens * tokens / 1000;
}

/// Asks the cheaper version but accepts only the answers in the highest bin;
/// the others are rated as well, so that its quality becomes known.
Plan
ExploringPlan(VersionId aVersion, VersionId aBestVersion)
{
  return { PlanStep{ aVersion, kConfidenceBins - 1 },
           PlanStep{ aBestVersion, 0 } };
}

} // namespace

uint8_t
ConfidenceBin(double aConfidence)
{
  const double scaled = std::clamp(aConfidence, 0.0, 1.0) * kConfidenceBins;
  return static_cast<uint8_t>(
    std::min<double>(kConfidenceBins - 1, std::floor(scaled)));
}

Cascade::Cascade(const Settings& aSettings,
                 CascadePolicy aPolicy,
                 uint64_t aSeed)
  : settings_(aSettings)
  , policy_(aPolicy)
  , random_(aSeed)
{
}

Plan
Cascade::MakePlan(ClassId aClass,
                  OrganisationId aOrganisation,
                  std::span<const VersionId> aAllowed,
                  bool aSingle)
{
  if (aAllowed.empty()) {
    return {};
  }
  Plan best{ PlanStep{ aAllowed.back(), 0 } };
  if (!settings_.At(aClass).repeatable || aAllowed.size() == 1) {
    return best;
  }
  if (const auto* fixed = std::get_if<FixedThreshold>(&policy_)) {
    if (aSingle) {
      return best;
    }
    return { PlanStep{ aAllowed.front(), fixed->acceptFromBin }, best.front() };
  }
  if (const auto* learnt = std::get_if<LearntCascade>(&policy_)) {
    return LearntPlan(*learnt, aClass, aOrganisation, aAllowed, aSingle);
  }
  return best;
}

bool
Cascade::DrawWithProbability(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(random_) < aShare;
}

std::vector<Cascade::Candidate>
Cascade::EvaluateCandidates(const LearntCascade& aPolicy,
                            const AnswerStatistics& aStatistics,
                            VersionId aVersion,
                            double aBestGoodShare,
                            double aBestPrice,
                            bool aSingle) const
{
  std::vector<Candidate> candidates;
  const double price = AnswerPrice(settings_, aVersion, aStatistics);
  const uint8_t bins = aSingle ? 1 : kConfidenceBins;
  for (uint8_t bin = 0; bin < bins; ++bin) {
    const Estimate step = EstimateStep(aStatistics, bin);
    const double escalated = 1 - step.acceptShare;
    const double quality = step.goodShare + escalated * aBestGoodShare;
    const double margin = aPolicy.confidenceDeviations * step.deviation;
    candidates.push_back(Candidate{ PlanStep{ aVersion, bin },
                                    price + escalated * aBestPrice,
                                    quality - margin,
                                    quality + margin });
  }
  return candidates;
}

Plan
Cascade::LearntPlan(const LearntCascade& aPolicy,
                    ClassId aClass,
                    OrganisationId aOrganisation,
                    std::span<const VersionId> aAllowed,
                    bool aSingle)
{
  const VersionId bestVersion = aAllowed.back();
  const AnswerStatistics& bestStatistics =
    StatisticsFor(aClass, aOrganisation, bestVersion);
  const Estimate bestEstimate = EstimateStep(bestStatistics, 0);
  const double bestGoodShare =
    bestEstimate.rated > 0 ? bestEstimate.goodShare : 1;
  const double bestVersionPrice =
    AnswerPrice(settings_, bestVersion, bestStatistics);
  // The best version's quality is an upper limit of what a plan can reach.
  const double target = std::min(
    settings_.At(aClass).qualityTarget + aPolicy.qualityMargin, bestGoodShare);

  Plan best{ PlanStep{ bestVersion, 0 } };
  double lowestCost = bestVersionPrice;
  std::optional<VersionId> uncertain;
  for (const VersionId version : aAllowed.first(aAllowed.size() - 1)) {
    const AnswerStatistics& statistics =
      StatisticsFor(aClass, aOrganisation, version);
    if (SumBins(statistics.ratedByBin) < aPolicy.minRatings) {
      if (!aSingle && DrawWithProbability(aPolicy.explorationShare)) {
        return ExploringPlan(version, bestVersion);
      }
      continue;
    }
    for (const Candidate& candidate : EvaluateCandidates(aPolicy,
                                                         statistics,
                                                         version,
                                                         bestGoodShare,
                                                         bestVersionPrice,
                                                         aSingle)) {
      if (candidate.cost >= lowestCost) {
        continue;
      }
      if (candidate.lowerBound < target) {
        const bool open = candidate.upperBound >= target;
        uncertain = open ? std::optional(version) : uncertain;
        continue;
      }
      lowestCost = candidate.cost;
      best = { candidate.step };
      if (candidate.step.acceptFromBin > 0) {
        best.push_back(PlanStep{ bestVersion, 0 });
      }
    }
  }
  const bool explore = uncertain && !aSingle &&
                       DrawWithProbability(aPolicy.uncertainExplorationShare);
  return explore ? ExploringPlan(*uncertain, bestVersion) : best;
}

Cascade::Estimate
Cascade::EstimateStep(const AnswerStatistics& aStatistics,
                      uint8_t aFromBin) const
{
  Estimate estimate;
  const double answers = SumBins(aStatistics.answersByBin);
  if (answers <= 0) {
    return estimate;
  }
  estimate.acceptShare = 0;
  double variance = 0;
  for (std::size_t bin = 0; bin < kConfidenceBins; ++bin) {
    estimate.rated += aStatistics.ratedByBin[bin];
    if (bin < aFromBin) {
      continue;
    }
    const double share = aStatistics.answersByBin[bin] / answers;
    const double rated = aStatistics.ratedByBin[bin] + kPriorRatings;
    const double good =
      (aStatistics.goodByBin[bin] + kPriorRatings / 2) / rated;
    estimate.acceptShare += share;
    estimate.goodShare += share * good;
    variance += share * share * good * (1 - good) / rated;
  }
  estimate.deviation = std::sqrt(variance);
  return estimate;
}

const AnswerStatistics&
Cascade::StatisticsFor(ClassId aClass,
                       OrganisationId aOrganisation,
                       VersionId aVersion) const
{
  static const AnswerStatistics kEmpty{};
  const uint64_t version = VersionKey(aVersion);
  const auto ofOrganisation =
    table_.find(ClassKey(aClass, aOrganisation.value, version));
  if (ofOrganisation != table_.end() &&
      SumBins(ofOrganisation->second.ratedByBin) >= kMinOrganisationRatings) {
    return ofOrganisation->second;
  }
  const auto all = table_.find(ClassKey(aClass, kAnyOrganisation, version));
  if (all != table_.end() &&
      SumBins(all->second.ratedByBin) >= kMinOrganisationRatings / 2) {
    return all->second;
  }
  const auto model = table_.find(
    ClassKey(aClass, kAnyOrganisation, ModelKey(settings_, aVersion)));
  return model == table_.end() ? kEmpty : model->second;
}

void
Cascade::RecordAnswer(ClassId aClass,
                      OrganisationId aOrganisation,
                      VersionId aVersion,
                      uint8_t aBin,
                      uint32_t aTokens)
{
  const auto count = [&](uint32_t aOwner, uint64_t aKey) {
    AnswerStatistics& row = table_[ClassKey(aClass, aOwner, aKey)];
    row.answersByBin[aBin] += 1;
    row.answers += 1;
    row.tokens += aTokens;
  };
  count(aOrganisation.value, VersionKey(aVersion));
  count(kAnyOrganisation, VersionKey(aVersion));
  count(kAnyOrganisation, ModelKey(settings_, aVersion));
}

void
Cascade::RecordRating(const Rating& aRating)
{
  const auto count = [&](uint32_t aOwner, uint64_t aKey) {
    AnswerStatistics& row =
      table_[ClassKey(aRating.requestClass, aOwner, aKey)];
    row.ratedByBin[aRating.confidenceBin] += 1;
    row.goodByBin[aRating.confidenceBin] += aRating.good ? 1 : 0;
  };
  count(aRating.organisation.value, VersionKey(aRating.version));
  count(kAnyOrganisation, VersionKey(aRating.version));
  count(kAnyOrganisation, ModelKey(settings_, aRating.version));
}

std::vector<AnswerStatisticsRow>
Cascade::Export() const
{
  std::vector<AnswerStatisticsRow> rows;
  rows.reserve(table_.size());
  for (const auto& [key, row] : table_) {
    rows.push_back(
      AnswerStatisticsRow{ key,
                           row.answers,
                           row.tokens,
                           { row.answersByBin.begin(), row.answersByBin.end() },
                           { row.ratedByBin.begin(), row.ratedByBin.end() },
                           { row.goodByBin.begin(), row.goodByBin.end() } });
  }
  std::sort(
    rows.begin(), rows.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.key < aRight.key;
    });
  return rows;
}

void
Cascade::Import(std::span<const AnswerStatisticsRow> aRows)
{
  for (const AnswerStatisticsRow& row : aRows) {
    const bool whole = row.answersByBin.size() == kConfidenceBins &&
                       row.ratedByBin.size() == kConfidenceBins &&
                       row.goodByBin.size() == kConfidenceBins;
    AnswerStatistics& known = table_[row.key];
    if (!whole || known.answers >= row.answers) {
      continue;
    }
    known.answers = row.answers;
    known.tokens = row.tokens;
    std::copy(row.answersByBin.begin(),
              row.answersByBin.end(),
              known.answersByBin.begin());
    std::copy(
      row.ratedByBin.begin(), row.ratedByBin.end(), known.ratedByBin.begin());
    std::copy(
      row.goodByBin.begin(), row.goodByBin.end(), known.goodByBin.begin());
  }
}

} // namespace hibiscusnotch::core
