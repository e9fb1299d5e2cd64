#include "hibiscusnotch/core/rollout_guard.hpp"

#include "hibiscusnotch/core/cascade.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::core {

namespace {

constexpr double kPriorWeight = 10;
constexpr double kRemembered = 500; ///< Ratings that a norm looks back on.
constexpr double kLowestNorm = 0.01;
constexpr double kHighestNorm = 0.5;
constexpr double kHighestBad = 0.95;
constexpr double kCalmShare = 0.5; ///< Of the alarm level.

} // namespace

RolloutGuard::RolloutGuard(const Settings& aSettings, RolloutPolicy aPolicy)
  : settings_(aSettings)
  , policy_(aPolicy)
  , trials_(aSettings.versions.size())
{
}

BadAnswerRate&
RolloutGuard::NormOf(const Rating& aRating)
{
  const std::string& model = settings_.At(aRating.version).model;
  return norms_[{ model, aRating.requestClass, aRating.confidenceBin }];
}

double
RolloutGuard::ExpectedBad(const Rating& aRating)
{
  // Until more is known, an engine's confidence is taken at its word.
  const double stated = 1 - settings_.At(aRating.requestClass).qualityTarget;
  const double doubt = 1 - (aRating.confidenceBin + 0.5) / kConfidenceBins;
  const double prior = std::max(stated, doubt);
  const BadAnswerRate& norm = NormOf(aRating);
  const double share =
    (norm.bad + kPriorWeight * prior) / (norm.rated + kPriorWeight);
  return std::clamp(share, kLowestNorm, kHighestNorm);
}

bool
RolloutGuard::CountRating(const Rating& aRating)
{
  const auto* guarded = std::get_if<GuardedRollout>(&policy_);
  if (!guarded || halted_.contains(aRating.version)) {
    return false;
  }
  VersionTrial& trial = trials_[aRating.version.value];
  const double level =
    Settled(aRating.version) ? guarded->settledAlarmLevel : guarded->alarmLevel;
  if (aRating.accepted) {
    const double norm = ExpectedBad(aRating);
    const double bad = std::min(kHighestBad, norm + guarded->leastRise);
    const double step =
      aRating.good ? std::log((1 - bad) / (1 - norm)) : std::log(bad / norm);
    trial.evidence = std::max(0.0, trial.evidence + step);
    trial.good += aRating.good ? 1 : 0;
  }
  // A version that is on trial, or under suspicion, must not set the norm that
  // it is held against.
  if (Proven(aRating.version) && trial.evidence < level * kCalmShare) {
    BadAnswerRate& learnt = NormOf(aRating);
    const double kept = std::min(1.0, kRemembered / (learnt.rated + 1));
    learnt.rated = learnt.rated * kept + 1;
    learnt.bad = learnt.bad * kept + (aRating.good ? 0 : 1);
  }
  return trial.evidence >= level && Halt(aRating.version);
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
  return std::min(
    allowed, guarded->firstExposure * std::exp2(std::min(16.0, doublings)));
}

bool
RolloutGuard::Proven(VersionId aVersion) const
{
  if (settings_.At(aVersion).initialExposure >= 1) {
    return true;
  }
  const auto* guarded = std::get_if<GuardedRollout>(&policy_);
  if (!guarded) {
    return true;
  }
  const double doublings = std::log2(1 / guarded->firstExposure);
  return trials_[aVersion.value].good >=
         doublings * guarded->ratingsPerDoubling;
}

bool
RolloutGuard::Settled(VersionId aVersion) const
{
  const auto* guarded = std::get_if<GuardedRollout>(&policy_);
  return !guarded || settings_.At(aVersion).initialExposure >= 1 ||
         trials_[aVersion.value].good >= guarded->ratingsToSettle;
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
    rows.push_back(TrialRow{ VersionId{ i }, trial.evidence, trial.good });
  }
  return rows;
}

std::vector<BadAnswerRateRow>
RolloutGuard::ExportNorms() const
{
  std::vector<BadAnswerRateRow> rows;
  for (const auto& [key, norm] : norms_) {
    rows.push_back(BadAnswerRateRow{
      key.model, key.requestClass, key.confidenceBin, norm.bad, norm.rated });
  }
  return rows;
}

void
RolloutGuard::Import(const StateTransfer& aHandover)
{
  for (const TrialRow& row : aHandover.trials) {
    const bool further = row.version.value < trials_.size() &&
                         row.good > trials_[row.version.value].good;
    if (further) {
      trials_[row.version.value] = VersionTrial{ row.evidence, row.good };
    }
  }
  for (const BadAnswerRateRow& row : aHandover.badAnswerRates) {
    BadAnswerRate& known =
      norms_[{ row.model, row.requestClass, row.confidenceBin }];
    if (row.rated > known.rated) {
      known = BadAnswerRate{ row.bad, row.rated };
    }
  }
}

} // namespace hibiscusnotch::core
