#include "hibiscusnotch/routing/retry_budget.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace hibiscusnotch::routing;
using hibiscusnotch::core::Duration;
using hibiscusnotch::core::TimePoint;

namespace {

const TimePoint kStart{ Duration{ 100'000'000 } };

RetryBudgetLimits
MakeLimits(double aRatio, double aFloor)
{
  RetryBudgetLimits limits;
  limits.ratio = aRatio;
  limits.minRetries = aFloor;
  return limits;
}

} // namespace

TEST_CASE("retries stay within the budget in every window, fleet-wide")
{
  constexpr std::size_t kInstances = 8;
  const RetryBudgetLimits limits = MakeLimits(0.5, 40);
  std::vector<RetryBudget> fleet(kInstances);
  std::vector<std::pair<TimePoint, bool>> sends; // time, is a retry
  for (int step = 0; step < 6000; ++step) {
    const TimePoint now = kStart + Duration{ step * 10'000 };
    RetryBudget& instance = fleet[static_cast<std::size_t>(step) % 8];
    // Bursts of load, with twice as many failures as requests.
    if ((step / 1500) % 2 == 0) {
      instance.RecordRequest(now);
      sends.emplace_back(now, false);
    }
    for (int failure = 0; failure < 2; ++failure) {
      if (instance.TryAcquire(limits, kInstances, 1, now)) {
        sends.emplace_back(now, true);
      }
    }
  }
  for (std::size_t first = 0; first < sends.size(); first += 7) {
    double requests = 0;
    double retries = 0;
    const TimePoint begin = sends[first].first;
    for (const auto& [time, retry] : sends) {
      const bool here = time >= begin && time < begin + limits.window;
      const bool before = time >= begin - limits.window && time < begin;
      retries += here && retry ? 1 : 0;
      // Requests of this window and of the one before count.
      requests += (here || before) && !retry ? 1 : 0;
    }
    CHECK(retries <= limits.ratio * requests + limits.minRetries);
  }
}

TEST_CASE("an instance without traffic keeps its share of the minimum")
{
  RetryBudget budget;
  const RetryBudgetLimits limits = MakeLimits(0.5, 40);
  int taken = 0;
  while (budget.TryAcquire(limits, 4, 1, kStart)) {
    ++taken;
  }
  CHECK(taken >= 1);
  CHECK(taken <= 10);
  CHECK(budget.TryAcquire(limits, 4, 1, kStart + limits.window * 2));
}

TEST_CASE("a use with a smaller share of the budget leaves the rest free")
{
  RetryBudget budget;
  const RetryBudgetLimits limits = MakeLimits(0.5, 100);
  while (budget.TryAcquire(limits, 1, 0.5, kStart)) {
  }
  CHECK(budget.TryAcquire(limits, 1, 1, kStart));
}
