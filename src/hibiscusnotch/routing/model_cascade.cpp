#include "hibiscusnotch/routing/model_cascade.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscusnotch::routing {

namespace {

constexpr int kMaxConfidence = 100;
// Runs take between two thirds and four thirds of the expected time, by the
// upstream's speed and queue. Of the expected time, as factors:
constexpr double kSurelyLateFactor = 0.75;
constexpr double kSurelyInTimeFactor = 1.5;

/// By thresholds between two loads, for models without prices.
int
MinConfidenceByLoad(const ModelCascadeOptions& aOptions, double aLoad)
{
  const double full =
    std::clamp((aLoad - aOptions.lowLoad) /
                 std::max(0.01, aOptions.fullLoad - aOptions.lowLoad),
               0.0,
               1.0);
  return static_cast<int>(std::lround(
    std::lerp(aOptions.minConfidence, aOptions.minConfidenceAtFullLoad, full)));
}

/// Price of one run of the largest model, as a fraction of the value of a
/// sufficient answer. Answers to less urgent requests are worth less.
double
LargestRunPrice(const ModelCascadeOptions& aOptions, const CascadeView& aView)
{
  return (1 + std::max(0, aView.priority) / 2.0) / aOptions.valuePerLargestRun;
}

/// Value of a sufficient answer by the time at which it is expected.
double
TimelyValue(const ModelCascadeOptions& aOptions,
            const CascadeView& aView,
            std::optional<Duration> aRun,
            Duration aBefore)
{
  if (!aRun || *aRun <= Duration::zero()) {
    return 1;
  }
  const double timeToRun =
    core::Seconds(aView.latencyTarget - aBefore) / core::Seconds(*aRun);
  const double inTime = std::clamp((timeToRun - kSurelyLateFactor) /
                                     (kSurelyInTimeFactor - kSurelyLateFactor),
                                   0.0,
                                   1.0);
  return std::lerp(aOptions.lateValue, 1.0, inTime);
}

/// Value of the largest model's answer where the smallest one's is
/// insufficient, before its price.
double
LargestAnswerValue(const ModelCascadeOptions& aOptions,
                   const CascadeView& aView,
                   Duration aBefore)
{
  return std::lerp(aOptions.insufficientValue,
                   TimelyValue(aOptions, aView, aView.largestRun, aBefore),
                   aView.largestSufficiency);
}

/// What an escalation takes from others as the retry budget runs out. Less
/// urgent requests give way earlier.
double
ScarcityOfRetries(const ModelCascadeOptions& aOptions, const CascadeView& aView)
{
  const double used =
    std::clamp((aView.retryBudgetUsed - aOptions.rationedFrom) /
                 (aOptions.rationedTo - aOptions.rationedFrom),
               0.0,
               1.0);
  return used * (1 + std::max(0, aView.priority) / 2.0);
}

} // namespace

double
SufficientProbability(const ModelCascadeOptions& aOptions, double aConfidence)
{
  return 1 / (1 + std::exp((aOptions.evenConfidence - aConfidence) /
                           aOptions.confidenceScale));
}

std::size_t
FirstModel(const ModelCascadeOptions& aOptions,
           std::size_t aModelCount,
           const CascadeView& aView)
{
  if (aModelCount < 2 || aView.prices.size() != aModelCount ||
      aView.prices.back() <= 0) {
    return 0;
  }
  const double largestPrice = LargestRunPrice(aOptions, aView);
  const double smallestPrice =
    largestPrice * aView.prices.front() / aView.prices.back();
  const double firstAnswer =
    TimelyValue(aOptions, aView, aView.smallestRun, aView.elapsed);
  const double second = LargestAnswerValue(
    aOptions,
    aView,
    aView.elapsed + aView.smallestRun.value_or(Duration::zero()));
  const double fromSmallest =
    std::lerp(firstAnswer,
              std::max(second - largestPrice, aOptions.insufficientValue),
              aView.escalatedShare) -
    smallestPrice;
  // A run for each request takes more room than one for the escalated share.
  const double fromLargest =
    TimelyValue(aOptions, aView, aView.largestRun, aView.elapsed) -
    largestPrice - aView.crowding;
  return fromLargest > fromSmallest ? aModelCount - 1 : 0;
}

int
MinConfidence(const ModelCascadeOptions& aOptions, const CascadeView& aView)
{
  if (aView.prices.empty()) {
    return MinConfidenceByLoad(aOptions, aView.load);
  }
  const double escalated = LargestAnswerValue(aOptions, aView, aView.elapsed) -
                           LargestRunPrice(aOptions, aView) - aView.crowding -
                           ScarcityOfRetries(aOptions, aView);
  // The probability at which keeping the answer is worth as much.
  const double even =
    (escalated - aOptions.insufficientValue) / (1 - aOptions.insufficientValue);
  if (even <= 0) {
    return 0;
  }
  if (even >= 1) {
    return kMaxConfidence + 1;
  }
  const double confidence =
    aOptions.evenConfidence +
    aOptions.confidenceScale * std::log(even / (1 - even));
  return std::clamp(
    static_cast<int>(std::lround(confidence)), 0, kMaxConfidence + 1);
}

namespace {

CascadeView
WithoutTime(CascadeView aView)
{
  aView.largestRun.reset();
  return aView;
}

CascadeView
WithoutCrowding(CascadeView aView)
{
  aView.crowding = 0;
  aView.load = 0;
  return aView;
}

CascadeView
WithoutRationing(CascadeView aView)
{
  aView.retryBudgetUsed = 0;
  return aView;
}

} // namespace

std::string_view
ToString(ThresholdCause aCause)
{
  switch (aCause) {
    case ThresholdCause::Time:
      return "late";
    case ThresholdCause::Crowding:
      return "crowding";
    case ThresholdCause::RetryBudget:
      return "retry_budget";
    case ThresholdCause::None:
      break;
  }
  return "none";
}

int
BaselineMinConfidence(const ModelCascadeOptions& aOptions,
                      const CascadeView& aView)
{
  return MinConfidence(aOptions,
                       WithoutTime(WithoutCrowding(WithoutRationing(aView))));
}

ThresholdCause
CauseOfLowThreshold(const ModelCascadeOptions& aOptions,
                    const CascadeView& aView)
{
  ThresholdCause cause = ThresholdCause::None;
  int highest = MinConfidence(aOptions, aView);
  for (const auto& [candidate, view] :
       { std::pair(ThresholdCause::Time, WithoutTime(aView)),
         std::pair(ThresholdCause::Crowding, WithoutCrowding(aView)),
         std::pair(ThresholdCause::RetryBudget, WithoutRationing(aView)) }) {
    const int without = MinConfidence(aOptions, view);
    if (without > highest) {
      highest = without;
      cause = candidate;
    }
  }
  return cause;
}

std::optional<std::size_t>
NextModel(const ModelCascadeOptions& aOptions,
          std::size_t aModelCount,
          std::size_t aCurrent,
          std::optional<int> aConfidence,
          const CascadeView& aView)
{
  if (!aConfidence || *aConfidence >= MinConfidence(aOptions, aView) ||
      aCurrent + 1 >= aModelCount) {
    return std::nullopt;
  }
  // Escalates to the largest model at once: a middle one's answer would often
  // be discarded too, and each run counts as an attempt.
  return aModelCount - 1;
}

} // namespace hibiscusnotch::routing
