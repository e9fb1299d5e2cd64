/// @file
/// @brief Canary analysis: limits new versions and halts bad ones.
#pragma once

#include "hibiscusnotch/core/live_configuration.hpp"
#include "hibiscusnotch/core/peer_message.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusnotch::core {

/// @brief Exposure grows with good ratings; a sequential test halts a version
/// whose answers are worse than expected.
struct GuardedRollout
{
  double trialStartExposure = 0.05;
  uint32_t ratingsPerDoubling = 12;
  uint32_t ratingsToMaturity = 1000; ///< Good ratings of a mature version.
  double minBadShareIncrease = 0.4;  ///< Increase that the test detects.
  double haltThreshold = 6;          ///< Log-likelihood ratio that halts it.
  double matureHaltThreshold = 9;    ///< The same for a mature version.
};

/// @brief Baseline policy: the exposure that the operator set, without a test.
struct FixedStepRollout
{};

using RolloutPolicy = std::variant<GuardedRollout, FixedStepRollout>;

/// @brief The state of the sequential test (CUSUM) for one version.
struct VersionTrial
{
  double cumulativeSum = 0; ///< Of log-likelihood ratios, never negative.
  uint32_t good = 0;        ///< Good ratings so far.
};

/// @brief Groups comparable answers: same model, class and confidence bin.
struct BadAnswerRateKey
{
  std::string model;
  ClassId requestClass;
  uint8_t confidenceBin = 0;

  auto operator<=>(const BadAnswerRateKey&) const = default;
};

/// @brief The usual share of bad answers in such a group.
struct BadAnswerRate
{
  double bad = 0;
  double rated = 0;
};

/// @brief Tracks the trial of every version.
class RolloutGuard
{
public:
  RolloutGuard(const Settings& aSettings, RolloutPolicy aPolicy);

  /// @brief Counts one rating; true when it halts the version.
  bool RecordRating(const Rating& aRating);

  /// @brief The version's share of new work, at most what operators allow.
  double Exposure(const LiveConfiguration& aConfiguration,
                  VersionId aVersion) const;

  /// @brief True once the trial has raised the exposure to 1.
  bool HasPassedTrial(VersionId aVersion) const;

  /// @brief True once the version has enough good ratings for critical classes.
  bool IsMature(VersionId aVersion) const;

  /// @brief Halts a version; true when it was not halted before.
  bool Halt(VersionId aVersion);

  /// @brief Restarts the trial of a halted version.
  void Resume(VersionId aVersion);

  const std::set<VersionId>& Halted() const { return halted_; }

  /// @brief All trials and bad-answer rates, for a joining instance.
  std::vector<TrialRow> ExportTrials() const;
  std::vector<BadAnswerRateRow> ExportBadAnswerRates() const;

  /// @brief Adopts trials and rates that rest on more ratings than the local
  /// ones.
  void Import(const StateTransfer& aTransfer);

private:
  BadAnswerRate& BadAnswerRateFor(const Rating& aRating);
  double ExpectedBadShare(const Rating& aRating);

  const Settings& settings_;
  RolloutPolicy policy_;
  std::vector<VersionTrial> trials_;
  std::map<BadAnswerRateKey, BadAnswerRate> badAnswerRates_;
  std::set<VersionId> halted_;
};

} // namespace hibiscusnotch::core
