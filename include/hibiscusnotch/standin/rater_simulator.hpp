/// @file
/// @brief The rating service without I/O: late and partial.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <optional>
#include <random>

namespace hibiscusnotch::standin {

struct RaterOptions
{
  double ratedShare = 0.6;
  core::Duration leastDelay{ 300'000 };
  core::Duration mostDelay{ 1'500'000 };
};

/// @brief Decides which answers are rated, and when.
class RaterSimulator
{
public:
  RaterSimulator(RaterOptions aOptions, uint64_t aSeed)
    : options_(aOptions)
    , random_(aSeed)
  {
  }

  /// @brief The delay of the rating; nothing when the answer stays unrated.
  std::optional<core::Duration> Delay()
  {
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(random_) >= options_.ratedShare) {
      return std::nullopt;
    }
    const double spread =
      unit(random_) * core::Seconds(options_.mostDelay - options_.leastDelay);
    return options_.leastDelay + core::FromSeconds(spread);
  }

private:
  RaterOptions options_;
  std::mt19937_64 random_;
};

} // namespace hibiscusnotch::standin
