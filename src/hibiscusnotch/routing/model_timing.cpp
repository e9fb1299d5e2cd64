#include "hibiscusnotch/routing/model_timing.hpp"

#include <algorithm>

namespace hibiscusnotch::routing {

namespace {

constexpr double kMinObservations = 4; // fewer say little about a rate
// Weights that remain after one more observation.
constexpr double kRecentDecay = 0.85;  // averages about seven observations
constexpr double kLastingDecay = 0.98; // averages about fifty
constexpr double kShareWeight = 0.04;  // averages about 25 answers
constexpr double kRecoveryWeight = 0.004;

} // namespace

void
ModelTiming::Rate::Add(double aTokens, double aSeconds, double aKeep)
{
  seconds = seconds * aKeep + aSeconds;
  tokens = tokens * aKeep + aTokens;
  count = count * aKeep + 1;
}

std::optional<double>
ModelTiming::Rate::SecondsPerToken() const
{
  if (count < kMinObservations || tokens <= 0) {
    return std::nullopt;
  }
  return seconds / tokens;
}

void
ModelTiming::RecordHead(std::size_t aModel,
                        std::size_t aModelCount,
                        double aPromptTokens,
                        Duration aTook)
{
  models_.resize(aModelCount);
  if (aModel >= aModelCount || aPromptTokens <= 0) {
    return;
  }
  Model& model = models_[aModel];
  model.recent.Add(aPromptTokens, core::Seconds(aTook), kRecentDecay);
  model.lasting.Add(aPromptTokens, core::Seconds(aTook), kLastingDecay);
}

void
ModelTiming::RecordFirstAnswer(bool aEscalated)
{
  escalatedShare_ += kShareWeight * ((aEscalated ? 1 : 0) - escalatedShare_);
  if (!aEscalated) {
    // Without escalations nothing more would be learnt of the largest model.
    largestSufficiency_ += kRecoveryWeight * (1 - largestSufficiency_);
  }
}

void
ModelTiming::RecordEscalatedAnswer(double aSufficiency)
{
  largestSufficiency_ += kShareWeight * (aSufficiency - largestSufficiency_);
}

std::optional<Duration>
ModelTiming::ExpectedHead(std::size_t aModel, double aPromptTokens) const
{
  if (aModel >= models_.size()) {
    return std::nullopt;
  }
  const Model& model = models_[aModel];
  auto rate = model.lasting.SecondsPerToken();
  // Larger models run seldom: the load of now shows in the smallest one's
  // times.
  const auto recent = models_.front().recent.SecondsPerToken();
  const auto lasting = models_.front().lasting.SecondsPerToken();
  if (rate && recent && lasting && *lasting > 0) {
    *rate *= *recent / *lasting;
  }
  if (!rate) {
    return std::nullopt;
  }
  return core::FromSeconds(*rate * aPromptTokens);
}

Duration
ModelTiming::MeanFirstHead() const
{
  if (models_.empty() || models_.front().recent.count < kMinObservations) {
    return Duration::zero();
  }
  const Rate& recent = models_.front().recent;
  return core::FromSeconds(recent.seconds / recent.count);
}

} // namespace hibiscusnotch::routing
