/// @file
/// @brief Limits and stops versions whose answers are worse than expected.
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

/// @brief Exposure grows with good ratings; a sequential test stops a version.
struct GuardedRollout
{
  double firstExposure = 0.05;
  uint32_t ratingsPerDoubling = 12;
  uint32_t ratingsToSettle = 1000; ///< Good ones, until a version is old.
  double leastRise = 0.4;          ///< Of the bad share, worth an alarm.
  double alarmLevel = 6;           ///< Log-likelihood ratio that stops it.
  double settledAlarmLevel = 9;    ///< The same for a version that is old.
};

/// @brief Baseline: what the operator set, without a test.
struct FixedStepRollout
{};

using RolloutPolicy = std::variant<GuardedRollout, FixedStepRollout>;

/// @brief The test's state for one version.
struct VersionTrial
{
  double evidence = 0; ///< Cumulative sum, never below zero.
  uint32_t good = 0;   ///< Good ratings so far.
};

/// @brief Which answers are alike: of one model, class and confidence.
struct BadAnswerRateKey
{
  std::string model;
  ClassId requestClass;
  uint8_t confidenceBin = 0;

  auto operator<=>(const BadAnswerRateKey&) const = default;
};

/// @brief The usual share of bad answers among such.
struct BadAnswerRate
{
  double bad = 0;
  double rated = 0;
};

/// @brief One row per version.
class RolloutGuard
{
public:
  RolloutGuard(const Settings& aSettings, RolloutPolicy aPolicy);

  /// @brief Takes in one rating; true when it stops the version.
  bool CountRating(const Rating& aRating);

  /// @brief The share of new work, at most what operators allow.
  double Exposure(const LiveConfiguration& aConfiguration,
                  VersionId aVersion) const;

  /// @brief True once the version has passed its whole trial.
  bool Proven(VersionId aVersion) const;

  /// @brief True once the version is old enough for critical classes.
  bool Settled(VersionId aVersion) const;

  /// @brief Stops a version on a peer's word; true when that is news.
  bool Halt(VersionId aVersion);

  /// @brief An operator rolls the version out anew.
  void Resume(VersionId aVersion);

  const std::set<VersionId>& Halted() const { return halted_; }

  /// @brief All trials and norms, for an instance that joins.
  std::vector<TrialRow> ExportTrials() const;
  std::vector<BadAnswerRateRow> ExportNorms() const;

  /// @brief Takes in what goes further than what is known here.
  void Import(const StateTransfer& aHandover);

private:
  BadAnswerRate& NormOf(const Rating& aRating);
  double ExpectedBad(const Rating& aRating);

  const Settings& settings_;
  RolloutPolicy policy_;
  std::vector<VersionTrial> trials_;
  std::map<BadAnswerRateKey, BadAnswerRate> norms_;
  std::set<VersionId> halted_;
};

} // namespace hibiscusnotch::core
