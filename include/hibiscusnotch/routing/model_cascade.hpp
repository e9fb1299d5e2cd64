/// @file
/// @brief Chooses between a route's models by the expected value of an answer.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace hibiscusnotch::routing {

using core::Duration;

/// @brief Thresholds of the cascade; docs/design/model-cascade.md explains the
/// defaults. Values of answers are fractions of a sufficient one's value.
struct ModelCascadeOptions
{
  /// @brief Minimum confidence, 0 to 100, to keep a smaller model's answer
  /// while load is low; only for models without prices.
  int minConfidence = 50;
  /// @brief The same at full load, where one run of the largest model displaces
  /// many runs of the smallest.
  int minConfidenceAtFullLoad = 0;
  /// @brief Running and waiting requests per engine slot up to which load is
  /// low.
  double lowLoad = 0.1;
  /// @brief Requests per slot at which load is full.
  double fullLoad = 0.6;

  /// @brief Value of a sufficient answer to the most urgent requests, in prices
  /// of one run of the largest model.
  double valuePerLargestRun = 8;
  /// @brief Value of an insufficient answer.
  double insufficientValue = 0.05;
  /// @brief Value of a sufficient answer after the latency target.
  double lateValue = 0.25;
  /// @brief Confidence of answers of which half are sufficient.
  double evenConfidence = 50;
  /// @brief Change of confidence that multiplies the odds of a sufficient
  /// answer by e.
  double confidenceScale = 4;
  /// @brief Fraction of the retry budget from which on escalations are
  /// rationed, and that at which none is made: the rest is for failed attempts.
  double rationedFrom = 0.6;
  double rationedTo = 0.85;
};

/// @brief What is known when a model is chosen for a request.
struct CascadeView
{
  /// @brief Prices of the route's models per token, smallest model first. Empty
  /// if the configuration does not state them all.
  std::span<const double> prices;
  int priority = 0; ///< Zero is the most urgent.
  Duration elapsed{ 0 };
  Duration latencyTarget{ 0 };
  /// @brief Expected times from sending to the response head at the load of
  /// now; nothing while unknown.
  std::optional<Duration> smallestRun;
  std::optional<Duration> largestRun;
  double escalatedShare = 0; ///< Of the route's first answers.
  /// @brief Probability that the largest model's answer is sufficient where the
  /// smallest one's is not.
  double largestSufficiency = 1;
  /// @brief Share of the latency target that a typical first run needs now.
  double crowding = 0;
  double retryBudgetUsed = 0; ///< Fraction, 0 to 1.
  double load =
    0; ///< Requests per engine slot; only for models without prices.
};

/// @brief Probability that an answer of the confidence is sufficient.
double
SufficientProbability(const ModelCascadeOptions& aOptions, double aConfidence);

/// @brief Index of the model to run first.
std::size_t
FirstModel(const ModelCascadeOptions& aOptions,
           std::size_t aModelCount,
           const CascadeView& aView);

/// @brief Minimum confidence to keep an answer: 0 keeps every answer, more than
/// 100 none.
int
MinConfidence(const ModelCascadeOptions& aOptions, const CascadeView& aView);

/// @brief What can lower the minimum confidence.
enum class ThresholdCause
{
  None, ///< It is as high as without load.
  Time, ///< A larger model's answer would be late.
  Crowding,
  RetryBudget,
};

/// @brief The name in log lines.
std::string_view
ToString(ThresholdCause aCause);

/// @brief Minimum confidence to keep an answer without load: a larger model's
/// answer would be in time, and no retry budget is used.
int
BaselineMinConfidence(const ModelCascadeOptions& aOptions,
                      const CascadeView& aView);

/// @brief What lowers the minimum confidence most now.
ThresholdCause
CauseOfLowThreshold(const ModelCascadeOptions& aOptions,
                    const CascadeView& aView);

/// @brief Index of the model to run next; nothing if the answer is kept.
/// @param aModelCount Number of models, smallest first.
/// @param aConfidence Confidence that the engine reports for its answer, if
/// any.
std::optional<std::size_t>
NextModel(const ModelCascadeOptions& aOptions,
          std::size_t aModelCount,
          std::size_t aCurrent,
          std::optional<int> aConfidence,
          const CascadeView& aView);

} // namespace hibiscusnotch::routing
