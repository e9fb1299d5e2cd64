/// @file
/// @brief Simulates a rating service that rates late and only some answers.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <optional>
#include <random>

namespace hibiscusnotch::standin {

struct RaterOptions
{
  double ratedShare = 0.6;
  core::Duration minDelay{ 300'000 };
  core::Duration maxDelay{ 1'500'000 };
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

  /// @brief A random delay of the rating; none if the answer stays unrated.
  std::optional<core::Duration> DrawDelay()
  {
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(random_) >= options_.ratedShare) {
      return std::nullopt;
    }
    const double spread =
      unit(random_) * core::Seconds(options_.maxDelay - options_.minDelay);
    return options_.minDelay + core::FromSeconds(spread);
  }

private:
  RaterOptions options_;
  std::mt19937_64 random_;
};

} // namespace hibiscusnotch::standin
