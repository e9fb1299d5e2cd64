/// @file
/// @brief This instance's share of the fleet-wide retry budget.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hibiscusnotch::routing {

struct RetryBudgetLimits
{
  double ratio = 0.5;     ///< Retries per request in the window.
  double minRetries = 10; ///< Allowed without traffic, fleet-wide.
  core::Duration window{ 10'000'000 };
};

/// @brief Counts requests and retries of one service over a sliding window.
///
/// The minimum is divided among the instances. Each instance stays below its
/// own limit, so the fleet keeps the bound in every window without
/// coordination.
class RetryBudget
{
public:
  void RecordRequest(core::TimePoint aNow);
  /// @brief Takes one retry from the budget; false if it is used up.
  /// @param aShare Fraction of the budget that this use may exhaust, 0 to 1.
  bool TryAcquire(const RetryBudgetLimits& aLimits,
                  std::size_t aInstances,
                  double aShare,
                  core::TimePoint aNow);
  /// @brief Fraction of the budget that is used, 0 to 1.
  double Used(const RetryBudgetLimits& aLimits,
              std::size_t aInstances,
              core::TimePoint aNow) const;

private:
  static constexpr std::size_t kBuckets = 20;
  struct Bucket
  {
    int64_t number = -1; ///< Time since the epoch, in bucket lengths.
    uint32_t requests = 0;
    uint32_t retries = 0;
  };

  /// Retries so far in the window, and how many are allowed in it.
  struct Usage
  {
    double retries = 0;
    double allowed = 0;
  };

  Bucket& BucketAt(core::TimePoint aNow);
  Usage UsageAt(const RetryBudgetLimits& aLimits,
                std::size_t aInstances,
                core::TimePoint aNow) const;

  std::array<Bucket, kBuckets> buckets_{};
};

} // namespace hibiscusnotch::routing
