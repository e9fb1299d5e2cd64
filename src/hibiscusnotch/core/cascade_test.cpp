#include "hibiscusnotch/core/cascade.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::core;

namespace {

constexpr ClassId kClass{ 0 };
constexpr OrganisationId kOrganisation{ 0 };
constexpr VersionId kCheap{ 0 };
constexpr VersionId kBest{ 1 };
const std::vector<VersionId> kBoth{ kCheap, kBest };

Settings
MakeSettings()
{
  Settings settings;
  settings.versions = { { "cheap", "cheap", 0.2, 1 },
                        { "best", "best", 2, 1 } };
  RequestClass requestClass;
  requestClass.qualityTarget = 0.9;
  requestClass.versions = kBoth;
  settings.classes = { requestClass, requestClass };
  settings.classes[1].repeatable = false;
  return settings;
}

/// Records answers in one confidence bin with good and bad ratings.
void
RecordAnswers(Cascade& aCascade,
              VersionId aVersion,
              uint8_t aBin,
              int aGood,
              int aBad)
{
  for (int i = 0; i < aGood + aBad; ++i) {
    aCascade.RecordAnswer(kClass, kOrganisation, aVersion, aBin, 100);
    aCascade.RecordRating(
      { kClass, kOrganisation, aVersion, aBin, 0, true, i < aGood });
  }
}

} // namespace

TEST_CASE("the cheap version answers alone when it meets the quality target")
{
  const Settings settings = MakeSettings();
  Cascade cascade(settings, LearntCascade{}, 1);
  RecordAnswers(cascade, kBest, 7, 100, 0);
  RecordAnswers(cascade, kCheap, 7, 300, 3);
  const Plan plan = cascade.MakePlan(kClass, kOrganisation, kBoth, false);
  REQUIRE(plan.size() == 1);
  CHECK(plan[0].version == kCheap);
}

TEST_CASE("answers of low confidence escalate to the best version")
{
  const Settings settings = MakeSettings();
  Cascade cascade(settings, LearntCascade{}, 1);
  RecordAnswers(cascade, kBest, 7, 100, 0);
  RecordAnswers(cascade, kCheap, 7, 300, 3);
  RecordAnswers(cascade, kCheap, 1, 20, 180);
  const Plan plan = cascade.MakePlan(kClass, kOrganisation, kBoth, false);
  REQUIRE(plan.size() == 2);
  CHECK(plan[0].version == kCheap);
  CHECK(plan[0].acceptFromBin > 1);
  CHECK(plan[1].version == kBest);
}

TEST_CASE("a cheap version that mostly fails is skipped")
{
  const Settings settings = MakeSettings();
  Cascade cascade(settings, LearntCascade{}, 1);
  RecordAnswers(cascade, kBest, 7, 100, 0);
  RecordAnswers(cascade, kCheap, 4, 10, 290);
  const Plan plan = cascade.MakePlan(kClass, kOrganisation, kBoth, false);
  REQUIRE(plan.size() == 1);
  CHECK(plan[0].version == kBest);
}

TEST_CASE("sessions and non-repeatable requests get one version")
{
  const Settings settings = MakeSettings();
  Cascade cascade(settings, FixedThreshold{}, 1);
  CHECK(cascade.MakePlan(kClass, kOrganisation, kBoth, true).size() == 1);
  CHECK(cascade.MakePlan(ClassId{ 1 }, kOrganisation, kBoth, false).size() ==
        1);
  CHECK(cascade.MakePlan(kClass, kOrganisation, kBoth, false).size() == 2);
}

TEST_CASE("without an allowed version there is no plan")
{
  const Settings settings = MakeSettings();
  Cascade cascade(settings, AlwaysBest{}, 1);
  CHECK(cascade.MakePlan(kClass, kOrganisation, {}, false).empty());
}
