#include "hibiscusnotch/testing/router_fleet.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch;
using hibiscusnotch::testing::RouterFleet;
using hibiscusnotch::testing::RouterFleetOptions;

namespace {

constexpr core::Duration kSecond{ 1'000'000 };
// The operators' bound on an upstream that has stated a limit.
constexpr core::Duration kLimitWindow = 4 * kSecond;
constexpr core::Duration kStableWindow = 3 * kSecond;

double
MostAllowed(double aLimit)
{
  return 1.5 * aLimit * core::Seconds(kLimitWindow) + 5;
}

struct LoadCase
{
  RouterFleetOptions fleet;
  std::size_t limited = 0; ///< The first upstreams.
  double limit = 1;
  double requestsPerSecond = 0; ///< Of all instances.
};

/// Runs the load for the time, spread evenly over the instances.
void
RunLoad(RouterFleet& aFleet, double aRequestsPerSecond, core::Duration aTime)
{
  const char* const routes[] = { "stream", "safe", "unsafe" };
  const core::TimePoint start = aFleet.timers.Now();
  std::size_t sent = 0;
  while (aFleet.timers.Now() - start < aTime) {
    const double due =
      core::Seconds(aFleet.timers.Now() - start) * aRequestsPerSecond;
    for (; static_cast<double>(sent) < due; ++sent) {
      aFleet.Request(sent % aFleet.instances.size(), routes[sent % 3]);
    }
    aFleet.Step();
  }
}

} // namespace

// Guards against N instances that each keep to the limit alone: together they
// send N times as many requests as the upstream takes.
TEST_CASE("an upstream's limit holds over all instances together")
{
  for (const LoadCase& load : {
         LoadCase{ { 8, 12, 3 }, 12, 1, 41 },
         LoadCase{ { 8, 12, 3 }, 2, 1.3, 41 },
         LoadCase{ { 65, 80, 4 }, 80, 0.4, 160 },
         LoadCase{ { 65, 80, 4 }, 26, 6, 300 },
         LoadCase{ { 295, 320, 5 }, 107, 1, 900 },
       }) {
    CAPTURE(load.fleet.instances);
    CAPTURE(load.limit);
    RouterFleet fleet(load.fleet);
    RunLoad(fleet, load.requestsPerSecond, kSecond);
    const core::TimePoint named = fleet.timers.Now();
    for (std::size_t index = 0; index < load.limited; ++index) {
      fleet.upstreams[index].limit = load.limit;
    }
    RunLoad(fleet, load.requestsPerSecond, 12 * kSecond);
    std::size_t most = 0;
    for (std::size_t index = 0; index < load.limited; ++index) {
      most = std::max(most,
                      fleet.MostFromToldWithin(fleet.upstreams[index],
                                               kLimitWindow,
                                               named + kStableWindow));
    }
    CHECK(static_cast<double>(most) <= MostAllowed(load.limit));
  }
}
