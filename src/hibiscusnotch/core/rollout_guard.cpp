#include "hibiscusnotch/core/rollout_guard.hpp"

#include "hibiscusnotch/core/cascade.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::core {

namespace {

constexpr double kPriorRatings = 10;
/// Number of recent ratings that a rate reflects.
constexpr double kBadAnswerRateWindow = 500;
constexpr double kMinExpectedBadShare = 0.01;
constexpr double kMaxExpectedBadShare = 0.5;
constexpr double kMaxRaisedBadShare = 0.95;
constexpr double kLearnBelowThresholdShare = 0.5; ///< Of the halt threshold.

} // namespace

RolloutGuard::RolloutGuard(const Settings& aSettings, RolloutPolicy aPolicy)
  : settings_(aSettings)
  , policy_(aPolicy)
  , trials_(aSettings.versions.size())
{
}

BadAnswerRate&
RolloutGuard::BadAnswerRateFor(const Rating& aRating)
{
  const std::string& model = settings_.At(aRating.version).model;
  return badAnswerRates_[{
    model, aRating.requestClass, aRating.confidenceBin }];
}

double
RolloutGuard::ExpectedBadShare(const Rating& aRating)
{
  // Without enough ratings, assume that the engine's confidence is calibrated.
  const double targetBadShare =
    1 - settings_.At(aRating.requestClass).qualityTarget;
  const double statedBadShare =
    1 - (aRating.confidenceBin + 0.5) / kConfidenceBins;
  const double prior = std::max(targetBadShare, statedBadShare);
  const BadAnswerRate& rate = BadAnswerRateFor(aRating);
  const double share =
    (rate.bad + kPriorRatings * prior) / (rate.rated + kPriorRatings);
  return std::clamp(share, kMinExpectedBadShare, kMaxExpectedBadShare);
}

bool
RolloutGuard::RecordRating(const Rating& aRating)
{
  const auto* guarded = std::get_if<GuardedRollout>(&policy_);
  if (!guarded || halted_.contains(aRating.version)) {
    return false;
  }
  VersionTrial& trial = trials_[aRating.version.value];
  const double threshold = IsMature(aRating.version)
                             ? guarded->matureHaltThreshold
                             : guarded->haltThreshold;
  if (aRating.accepted) {
    const double expectedShare = ExpectedBadShare(aRating);
    const double raisedShare = std::min(
      kMaxRaisedBadShare, expectedShare + guarded->minBadShareIncrease);
    const double step = aRating.good
                          ? std::log((1 - raisedShare) / (1 - expectedShare))
                          : std::log(raisedShare / expectedShare);
    trial.cumulativeSum = std::max(0.0, trial.cumulativeSum + step);
    trial.good += aRating.good ? 1 : 0;
  }
  // A version that is on trial or close to being halted must not shift the rate
  // that it is compared with.
  if (HasPassedTrial(aRating.version) &&
      trial.cumulativeSum < threshold * kLearnBelowThresholdShare) {
    BadAnswerRate& rate = BadAnswerRateFor(aRating);
    const double kept = std::min(1.0, kBadAnswerRateWindow / (rate.rated + 1));
    rate.rated = rate.rated * kept + 1;
    rate.bad = rate.bad * kept + (aRating.good ? 0 : 1);
  }
  return trial.cumulativeSum >= threshold && Halt(aRating.version);
}

double
RolloutGuard::Exposure(const LiveConfiguration& aConfiguration,
                       VersionId aVersion) const
{
  const double allowed = aConfiguration.Exposure(settings_, aVersion);
  const auto* guarded = std::get_if<GuardedRollout>(&policy_);
  if (!guarded || settings_.At(aVersion).initialExposure >= 1) {
    return allowed;
  }
  const double doublings = static_cast<double>(trials_[aVersion.value].good) /
                           guarded->ratingsPerDoubling;
  return std::min(allowed,
                  guarded->trialStartExposure *
                    std::exp2(std::min(16.0, doublings)));
}

bool
RolloutGuard::HasPassedTrial(VersionId aVersion) const
{
  if (settings_.At(aVersion).initialExposure >= 1) {
    return true;
  }
  const auto* guarded = std::get_if<GuardedRollout>(&policy_);
  if (!guarded) {
    return true;
  }
  const double doublings = std::log2(1 / guarded->trialStartExposure);
  return trials_[aVersion.value].good >=
         doublings * guarded->ratingsPerDoubling;
}

bool
RolloutGuard::IsMature(VersionId aVersion) const
{
  const auto* guarded = std::get_if<GuardedRollout>(&policy_);
  return !guarded || settings_.At(aVersion).initialExposure >= 1 ||
         trials_[aVersion.value].good >= guarded->ratingsToMaturity;
}

bool
RolloutGuard::Halt(VersionId aVersion)
{
  return halted_.insert(aVersion).second;
}

void
RolloutGuard::Resume(VersionId aVersion)
{
  halted_.erase(aVersion);
  trials_[aVersion.value] = VersionTrial{};
}

std::vector<TrialRow>
RolloutGuard::ExportTrials() const
{
  std::vector<TrialRow> rows;
  for (uint32_t i = 0; i < trials_.size(); ++i) {
    const VersionTrial& trial = trials_[i];
    rows.push_back(TrialRow{ VersionId{ i }, trial.cumulativeSum, trial.good });
  }
  return rows;
}

std::vector<BadAnswerRateRow>
RolloutGuard::ExportBadAnswerRates() const
{
  std::vector<BadAnswerRateRow> rows;
  for (const auto& [key, rate] : badAnswerRates_) {
    rows.push_back(BadAnswerRateRow{
      key.model, key.requestClass, key.confidenceBin, rate.bad, rate.rated });
  }
  return rows;
}

void
RolloutGuard::Import(const StateTransfer& aTransfer)
{
  for (const TrialRow& row : aTransfer.trials) {
    const bool moreAdvanced = row.version.value < trials_.size() &&
                              row.good > trials_[row.version.value].good;
    if (moreAdvanced) {
      trials_[row.version.value] = VersionTrial{ row.cumulativeSum, row.good };
    }
  }
  for (const BadAnswerRateRow& row : aTransfer.badAnswerRates) {
    BadAnswerRate& known =
      badAnswerRates_[{ row.model, row.requestClass, row.confidenceBin }];
    if (row.rated > known.rated) {
      known = BadAnswerRate{ row.bad, row.rated };
    }
  }
}

} // namespace hibiscusnotch::core
