#include "hibiscusnotch/routing/upstream_speed.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::routing {

namespace {

// An instance with two requests in a second sees each of twenty upstreams about
// once in this time, and its zone sees each some thirty times.
constexpr double kMemorySeconds = 10;
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10;
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4;
// Of one response at the least; less than this is what decay has left.
constexpr double kMinExpectedSeconds = 1e-5;

} // namespace

void
SpeedSums::Add(double aObserved, double aExpected, TimePoint aNow)
{
  if (aExpected <= 0) {
    return;
  }
  *this = At(aNow);
  observed +=
    std::clamp(aObserved, kMinRatio * aExpected, kMaxRatio * aExpected);
  expected += aExpected;
}

SpeedSums
SpeedSums::At(TimePoint aNow) const
{
  const double decay =
    aNow > at ? std::exp(-core::Seconds(aNow - at) / kMemorySeconds) : 1;
  return { observed * decay, expected * decay, std::max(at, aNow) };
}

std::vector<double>
SpeedFactors(std::span<const SpeedSums> aSums, double aPrior)
{
  std::vector<double> factors(aSums.size(), 1);
  std::vector<double> ratios;
  ratios.reserve(aSums.size());
  for (const SpeedSums& sums : aSums) {
    if (sums.expected >= kMinExpectedSeconds) {
      ratios.push_back(sums.observed / sums.expected);
    }
  }
  if (ratios.size() < 2) {
    return factors; // nothing to compare with
  }
  const auto middle =
    ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
  std::ranges::nth_element(ratios, middle);
  const double median = *middle;
  if (median <= 0) {
    return factors;
  }
  for (std::size_t index = 0; index < aSums.size(); ++index) {
    const SpeedSums& sums = aSums[index];
    if (sums.expected >= kMinExpectedSeconds) {
      const double ratio =
        (sums.observed + aPrior * median) / (sums.expected + aPrior);
      factors[index] = std::clamp(ratio / median, kMinFactor, kMaxFactor);
    }
  }
  return factors;
}

} // namespace hibiscusnotch::routing
