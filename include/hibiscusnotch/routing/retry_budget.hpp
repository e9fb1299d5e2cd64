/// @file
/// @brief This instance's part of the fleet's bound on repeated sends.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hibiscusnotch::routing {

struct RetryBudgetLimits
{
  double ratio = 0.5;     ///< Repeats for each request, over the window.
  double minRetries = 10; ///< Repeats that are always allowed, fleet-wide.
  core::Duration window{ 10'000'000 };
};

/// @brief Counts first sends and repeats to one service over a sliding window.
///
/// The floor is divided among the instances and both parts are kept below the
/// bound, so that the sum holds in every window without a message.
class RetryBudget
{
public:
  void RecordRequest(core::TimePoint aNow);
  /// @brief Takes one repeat; false when the window's part is used up.
  /// @param aShare Part of the allowance that may be used, 0 to 1.
  bool TryAcquire(const RetryBudgetLimits& aLimits,
                  std::size_t aInstances,
                  double aShare,
                  core::TimePoint aNow);

private:
  static constexpr std::size_t kBuckets = 20;
  struct Bucket
  {
    int64_t number = -1; ///< Which stretch of time it counts.
    uint32_t requests = 0;
    uint32_t retries = 0;
  };

  Bucket& BucketAt(core::TimePoint aNow);

  std::array<Bucket, kBuckets> buckets_{};
};

} // namespace hibiscusnotch::routing
