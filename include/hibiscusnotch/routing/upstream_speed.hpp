/// @file
/// @brief How fast upstreams are in the long run, compared with each other.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <span>
#include <vector>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;

/// @brief Observed and expected times to the response head, in seconds. Both
/// sums decay alike, so that sums of several instances can be added.
struct SpeedSums
{
  double observed = 0;
  double expected = 0;
  TimePoint at{};

  /// @brief Adds a response. Its ratio is bounded: one that waited behind the
  /// unknown prompts of others says little about the upstream.
  void Add(double aObserved, double aExpected, TimePoint aNow);
  /// @brief The sums as they count at a later time.
  SpeedSums At(TimePoint aNow) const;
};

/// @brief The upstreams' times as multiples of the service's median, 0.25 to 4.
/// Those without observations are at the median.
/// @param aPrior Expected seconds at the median that are added to each
/// upstream's observations, so that a few of them do not decide.
std::vector<double>
SpeedFactors(std::span<const SpeedSums> aSums, double aPrior);

} // namespace hibiscusnotch::routing
