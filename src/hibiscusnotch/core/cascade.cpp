#include "hibiscusnotch/core/cascade.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace hibiscusnotch::core {

namespace {

constexpr uint32_t kAnyOrganisation = 0xffffffff;
constexpr double kEnoughForOrganisation = 80;
constexpr double kPriorAnswers = 2;
constexpr double kDefaultTokens = 200;

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
Sum(const std::array<double, kConfidenceBins>& aBins)
{
  double sum = 0;
  for (const double value : aBins) {
    sum += value;
  }
  return sum;
}

/// The price of one answer of the class by that version.
double
AnswerPrice(const Settings& aSettings,
            VersionId aVersion,
            const AnswerStatistics& aStatistics)
{
  const double tokens = aStatistics.answers > 0
                          ? aStatistics.tokens / aStatistics.answers
                          : kDefaultTokens;
  return aSettings.At(aVersion).pricePerThousandTokens * tokens / 1000;
}

/// Asks the cheaper version, and accepts only its surest answers; the others
/// are rated all the same.
Plan
ExploringPlan(VersionId aVersion, VersionId aStrong)
{
  return { PlanStep{ aVersion, kConfidenceBins - 1 }, PlanStep{ aStrong, 0 } };
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
Cascade::Draw(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(random_) < aShare;
}

std::vector<Cascade::Candidate>
Cascade::Candidates(const LearntCascade& aPolicy,
                    const AnswerStatistics& aSeen,
                    VersionId aVersion,
                    double aStrongGood,
                    double aStrongPrice,
                    bool aSingle) const
{
  std::vector<Candidate> candidates;
  const double price = AnswerPrice(settings_, aVersion, aSeen);
  const uint8_t bins = aSingle ? 1 : kConfidenceBins;
  for (uint8_t bin = 0; bin < bins; ++bin) {
    const Estimate step = EstimateStep(aSeen, bin);
    const double escalated = 1 - step.acceptShare;
    const double quality = step.goodShare + escalated * aStrongGood;
    const double doubt = aPolicy.deviations * step.deviation;
    candidates.push_back(Candidate{ PlanStep{ aVersion, bin },
                                    price + escalated * aStrongPrice,
                                    quality - doubt,
                                    quality + doubt });
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
  const VersionId strong = aAllowed.back();
  const AnswerStatistics& strongSeen = Best(aClass, aOrganisation, strong);
  const Estimate strongEstimate = EstimateStep(strongSeen, 0);
  const double strongGood =
    strongEstimate.rated > 0 ? strongEstimate.goodShare : 1;
  const double strongPrice = AnswerPrice(settings_, strong, strongSeen);
  // No plan can ask for more than the best version gives.
  const double wanted =
    std::min(settings_.At(aClass).qualityTarget + aPolicy.margin, strongGood);

  Plan best{ PlanStep{ strong, 0 } };
  double bestPrice = strongPrice;
  std::optional<VersionId> promising;
  for (const VersionId version : aAllowed.first(aAllowed.size() - 1)) {
    const AnswerStatistics& seen = Best(aClass, aOrganisation, version);
    if (Sum(seen.rated) < aPolicy.fewestRatings) {
      if (!aSingle && Draw(aPolicy.exploreShare)) {
        return ExploringPlan(version, strong);
      }
      continue;
    }
    for (const Candidate& candidate :
         Candidates(aPolicy, seen, version, strongGood, strongPrice, aSingle)) {
      if (candidate.cost >= bestPrice) {
        continue;
      }
      if (candidate.lowerBound < wanted) {
        const bool open = candidate.upperBound >= wanted;
        promising = open ? std::optional(version) : promising;
        continue;
      }
      bestPrice = candidate.cost;
      best = { candidate.step };
      if (candidate.step.acceptFromBin > 0) {
        best.push_back(PlanStep{ strong, 0 });
      }
    }
  }
  const bool explore = promising && !aSingle && Draw(aPolicy.uncertainShare);
  return explore ? ExploringPlan(*promising, strong) : best;
}

Cascade::Estimate
Cascade::EstimateStep(const AnswerStatistics& aStatistics,
                      uint8_t aFromBin) const
{
  Estimate estimate;
  const double seen = Sum(aStatistics.seen);
  if (seen <= 0) {
    return estimate;
  }
  estimate.acceptShare = 0;
  double variance = 0;
  for (std::size_t bin = 0; bin < kConfidenceBins; ++bin) {
    estimate.rated += aStatistics.rated[bin];
    if (bin < aFromBin) {
      continue;
    }
    const double share = aStatistics.seen[bin] / seen;
    const double rated = aStatistics.rated[bin] + kPriorAnswers;
    const double good = (aStatistics.good[bin] + kPriorAnswers / 2) / rated;
    estimate.acceptShare += share;
    estimate.goodShare += share * good;
    variance += share * share * good * (1 - good) / rated;
  }
  estimate.deviation = std::sqrt(variance);
  return estimate;
}

const AnswerStatistics&
Cascade::Best(ClassId aClass,
              OrganisationId aOrganisation,
              VersionId aVersion) const
{
  static const AnswerStatistics kNothing{};
  const uint64_t version = VersionKey(aVersion);
  const auto own = table_.find(ClassKey(aClass, aOrganisation.value, version));
  if (own != table_.end() && Sum(own->second.rated) >= kEnoughForOrganisation) {
    return own->second;
  }
  const auto all = table_.find(ClassKey(aClass, kAnyOrganisation, version));
  if (all != table_.end() &&
      Sum(all->second.rated) >= kEnoughForOrganisation / 2) {
    return all->second;
  }
  const auto model = table_.find(
    ClassKey(aClass, kAnyOrganisation, ModelKey(settings_, aVersion)));
  return model == table_.end() ? kNothing : model->second;
}

void
Cascade::CountAnswer(ClassId aClass,
                     OrganisationId aOrganisation,
                     VersionId aVersion,
                     uint8_t aBin,
                     uint32_t aTokens)
{
  const auto count = [&](uint32_t aOwner, uint64_t aKey) {
    AnswerStatistics& row = table_[ClassKey(aClass, aOwner, aKey)];
    row.seen[aBin] += 1;
    row.answers += 1;
    row.tokens += aTokens;
  };
  count(aOrganisation.value, VersionKey(aVersion));
  count(kAnyOrganisation, VersionKey(aVersion));
  count(kAnyOrganisation, ModelKey(settings_, aVersion));
}

void
Cascade::CountRating(const Rating& aRating)
{
  const auto count = [&](uint32_t aOwner, uint64_t aKey) {
    AnswerStatistics& row =
      table_[ClassKey(aRating.requestClass, aOwner, aKey)];
    row.rated[aRating.confidenceBin] += 1;
    row.good[aRating.confidenceBin] += aRating.good ? 1 : 0;
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
    rows.push_back(AnswerStatisticsRow{ key,
                                        row.answers,
                                        row.tokens,
                                        { row.seen.begin(), row.seen.end() },
                                        { row.rated.begin(), row.rated.end() },
                                        { row.good.begin(), row.good.end() } });
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
    const bool whole = row.seen.size() == kConfidenceBins &&
                       row.rated.size() == kConfidenceBins &&
                       row.good.size() == kConfidenceBins;
    AnswerStatistics& known = table_[row.key];
    if (!whole || known.answers >= row.answers) {
      continue;
    }
    known.answers = row.answers;
    known.tokens = row.tokens;
    std::copy(row.seen.begin(), row.seen.end(), known.seen.begin());
    std::copy(row.rated.begin(), row.rated.end(), known.rated.begin());
    std::copy(row.good.begin(), row.good.end(), known.good.begin());
  }
}

} // namespace hibiscusnotch::core
