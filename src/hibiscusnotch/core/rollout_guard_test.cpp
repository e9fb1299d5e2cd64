#include "hibiscusnotch/core/rollout_guard.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace hibiscusnotch::core;

namespace {

constexpr VersionId kOld{ 0 };
constexpr VersionId kNew{ 1 };

Settings
MakeSettings()
{
  Settings settings;
  settings.versions = { { "old", "model", 1, 1 }, { "new", "model", 1, 0 } };
  RequestClass requestClass;
  requestClass.qualityTarget = 0.9;
  settings.classes = { requestClass };
  return settings;
}

Rating
MakeRating(VersionId aVersion, bool aGood)
{
  return { ClassId{ 0 }, OrganisationId{ 0 }, aVersion, 7, 0, true, aGood };
}

/// Rates 70 in 100 answers bad until the version halts; returns the number of
/// ratings.
uint32_t
RatingsUntilHalt(RolloutGuard& aGuard, VersionId aVersion, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  for (uint32_t i = 1; i < 10'000; ++i) {
    const bool good = random() % 10 < 3;
    if (aGuard.RecordRating(MakeRating(aVersion, good))) {
      return i;
    }
  }
  return 10'000;
}

} // namespace

TEST_CASE("a bad new version halts within a few ratings")
{
  const Settings settings = MakeSettings();
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    RolloutGuard guard(settings, GuardedRollout{});
    CHECK(RatingsUntilHalt(guard, kNew, seed) <= 25);
    CHECK(guard.Halted().contains(kNew));
  }
}

TEST_CASE("a mature version that becomes bad halts too")
{
  const Settings settings = MakeSettings();
  RolloutGuard guard(settings, GuardedRollout{});
  std::mt19937_64 random(3);
  for (int i = 0; i < 2000; ++i) {
    CHECK_FALSE(guard.RecordRating(MakeRating(kOld, random() % 100 >= 5)));
  }
  CHECK(RatingsUntilHalt(guard, kOld, 9) <= 40);
}

TEST_CASE("a version that meets its quality target is rarely halted")
{
  const Settings settings = MakeSettings();
  uint32_t halts = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    RolloutGuard guard(settings, GuardedRollout{});
    std::mt19937_64 random(seed);
    for (int i = 0; i < 1000; ++i) {
      halts +=
        guard.RecordRating(MakeRating(kOld, random() % 100 >= 8)) ? 1 : 0;
    }
  }
  CHECK(halts <= 2);
}

TEST_CASE("exposure grows with good ratings and never past the operator's")
{
  const Settings settings = MakeSettings();
  RolloutGuard guard(settings, GuardedRollout{});
  LiveConfiguration live;
  live.exposure[kNew] = 0.5;
  const double first = guard.Exposure(live, kNew);
  CHECK(first < 0.1);
  CHECK_FALSE(guard.HasPassedTrial(kNew));
  for (int i = 0; i < 200; ++i) {
    guard.RecordRating(MakeRating(kNew, true));
  }
  CHECK(guard.Exposure(live, kNew) == doctest::Approx(0.5));
  CHECK(guard.HasPassedTrial(kNew));
  CHECK(guard.Exposure(live, kOld) == doctest::Approx(1));
}

TEST_CASE("ratings of answers that no caller received do not count")
{
  const Settings settings = MakeSettings();
  RolloutGuard guard(settings, GuardedRollout{});
  Rating rejected = MakeRating(kOld, false);
  rejected.accepted = false;
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(guard.RecordRating(rejected));
  }
}
