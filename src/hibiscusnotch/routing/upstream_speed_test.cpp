#include "hibiscusnotch/routing/upstream_speed.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;
using hibiscusnotch::core::FromSeconds;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };

SpeedSums
Sums(double aObserved, double aExpected)
{
  return { aObserved, aExpected, kNow };
}

} // namespace

TEST_CASE("factors are ratios against the median and bounded")
{
  // Guards against one mean for upstreams that differ, and against an upstream
  // that a malformed report excludes or makes the only choice.
  const std::vector<SpeedSums> sums = {
    Sums(55, 100), Sums(120, 100), Sums(100, 100), Sums(900, 100), Sums(1, 100)
  };
  const auto factors = SpeedFactors(sums, 0);
  CHECK(factors[0] == doctest::Approx(0.55));
  CHECK(factors[1] == doctest::Approx(1.2));
  CHECK(factors[2] == doctest::Approx(1));
  CHECK(factors[3] == 4);
  CHECK(factors[4] == 0.25);
}

TEST_CASE("a new upstream and one with little evidence are near the median")
{
  const std::vector<SpeedSums> sums = {
    Sums(10, 10), Sums(10, 10), Sums(0, 0), Sums(0.4, 0.1)
  };
  const auto factors = SpeedFactors(sums, 1);
  CHECK(factors[2] == 1);
  CHECK(factors[3] < 1.4);
  CHECK(SpeedFactors({}, 1).empty());
  const std::vector<SpeedSums> one = { Sums(30, 10) };
  CHECK(SpeedFactors(one, 0).front() == 1);
}

TEST_CASE("observations lose their weight within seconds")
{
  SpeedSums sums;
  sums.Add(3, 1, kNow);
  CHECK(sums.At(kNow + FromSeconds(60)).expected < 0.01);
  sums.Add(1, 1, kNow + FromSeconds(60));
  CHECK(sums.observed / sums.expected < 1.01);
}

TEST_CASE("one response with an absurd time counts within bounds")
{
  SpeedSums sums;
  sums.Add(1000, 1, kNow);
  CHECK(sums.observed == doctest::Approx(10));
  sums.Add(1, 0, kNow);
  CHECK(sums.expected == doctest::Approx(1));
}
