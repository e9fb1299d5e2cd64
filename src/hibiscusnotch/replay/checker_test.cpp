#include "hibiscusnotch/replay/checker.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch;
using namespace hibiscusnotch::replay;
using namespace hibiscusnotch::standin;

namespace {

constexpr core::VersionId kOld{ 0 };
constexpr core::VersionId kNew{ 1 };
constexpr core::VersionId kForbidden{ 2 };
constexpr core::UpstreamId kUpstream{ 0 };
constexpr core::ClassId kRepeatable{ 0 };
constexpr core::ClassId kOnce{ 1 };

core::Settings
MakeSettings()
{
  core::Settings settings;
  settings.zones = { { "zone", "region" } };
  settings.services = { { "service", core::ServiceKind::Engine } };
  settings.versions = { { "old", "m", 1, 1 },
                        { "new", "m", 1, 1 },
                        { "forbidden", "m", 1, 1 } };
  core::RequestClass repeatable;
  repeatable.name = "repeatable";
  repeatable.service = core::ServiceId{ 0 };
  core::RequestClass once = repeatable;
  once.repeatable = false;
  settings.classes = { repeatable, once };
  core::Organisation organisation;
  organisation.name = "o";
  organisation.versions = { kOld, kNew };
  settings.organisations = { organisation };
  core::Upstream upstream;
  upstream.name = "u";
  upstream.zone = core::ZoneId{ 0 };
  settings.upstreams = { upstream };
  settings.instances = { { "i", core::ZoneId{ 0 }, {}, {} } };
  return settings;
}

TimePoint
At(double aSeconds)
{
  return TimePoint(core::FromSeconds(1000 + aSeconds));
}

ExecutionStarted
Started(double aSeconds,
        const std::string& aId,
        core::VersionId aVersion = kOld)
{
  return { At(aSeconds), kUpstream, aVersion, core::OrganisationId{ 0 },
           aId,          1,         4,        false };
}

SubmissionRecord
Saw(double aSeconds,
    const std::string& aId,
    CallerOutcome aOutcome = CallerOutcome::Answered)
{
  SubmissionRecord record;
  record.sent = At(aSeconds);
  record.firstToken = At(aSeconds + 0.5);
  record.ended = At(aSeconds + 1);
  record.requestId = aId;
  record.organisation = core::OrganisationId{ 0 };
  record.requestClass = kRepeatable;
  record.outcome = aOutcome;
  record.version = kOld;
  return record;
}

ConfigurationStored
Stored(double aSeconds, uint64_t aRevision)
{
  ConfigurationStored stored{ At(aSeconds), {} };
  stored.state.revision = aRevision;
  return stored;
}

Violations
Check(const Observations& aSeen)
{
  return CheckGuarantees(MakeSettings(), aSeen);
}

} // namespace

TEST_CASE("a good history has no violation")
{
  const Violations violations =
    Check({ Started(0.1, "r"), Saw(0, "r"), BillStored{ "o/r", 1 } });
  CHECK(violations.Total() == 0);
}

TEST_CASE("each broken promise is counted")
{
  SUBCASE("forbidden version")
  {
    CHECK(Check({ Started(0.1, "r", kForbidden) }).forbiddenVersion == 1);
  }
  SUBCASE("withdrawn version, zone out and leaving upstream")
  {
    ConfigurationStored stored = Stored(0, 1);
    stored.state.withdrawn.insert(kOld);
    stored.state.zonesOut.insert(core::ZoneId{ 0 });
    const Violations late = Check(
      { stored, UpstreamLeaveOrdered{ At(0), kUpstream }, Started(9, "r") });
    CHECK(late.withdrawnNewWork == 1);
    CHECK(late.zoneOutNewWork == 1);
    CHECK(late.leavingNewWork == 1);
    const Violations inTime = Check({ stored, Started(1, "r") });
    CHECK(inTime.withdrawnNewWork == 0);
    CHECK(inTime.zoneOutNewWork == 0);
  }
  SUBCASE("a zone that is back may get work")
  {
    ConfigurationStored out = Stored(0, 1);
    out.state.zonesOut.insert(core::ZoneId{ 0 });
    CHECK(Check({ out, Stored(5, 2), Started(9, "r") }).zoneOutNewWork == 0);
  }
  SUBCASE("a session changes its version")
  {
    SubmissionRecord first = Saw(0, "r1");
    SubmissionRecord second = Saw(5, "r2");
    first.session = second.session = "s";
    second.version = kNew;
    Observations seen{
      first, second, BillStored{ "o/r1", 1 }, BillStored{ "o/r2", 1 }
    };
    CHECK(Check(seen).sessionVersionChanged == 1);
    ConfigurationStored withdrawn = Stored(1, 1);
    withdrawn.state.withdrawn.insert(kOld);
    seen.push_back(withdrawn);
    CHECK(Check(seen).sessionVersionChanged == 0);
  }
  SUBCASE("bills")
  {
    CHECK(Check({ Saw(0, "r") }).billedNotOnce == 1);
    CHECK(Check({ Saw(0, "r"), BillStored{ "o/r", 1 }, BillStored{ "o/r", 1 } })
            .billedNotOnce == 1);
    CHECK(Check({ Saw(0, "r", CallerOutcome::NotRun), BillStored{ "o/r", 1 } })
            .billedNotOnce == 1);
    CHECK(Check({ BillStored{ "o/ghost", 1 } }).billedNotOnce == 1);
  }
  SUBCASE("cold start")
  {
    ExecutionStarted start = Started(0.1, "r");
    start.cold = true;
    start.running = 5;
    CHECK(Check({ start }).coldStartOverrun == 1);
  }
  SUBCASE("wrong answer")
  {
    SubmissionRecord record = Saw(0, "r");
    record.contentCorrect = false;
    CHECK(Check({ record }).answerMismatch == 1);
  }
  SUBCASE("false not run")
  {
    CHECK(Check({ Started(0.5, "r"), Saw(0, "r", CallerOutcome::NotRun) })
            .falseNotRun == 1);
    CHECK(Check({ Started(5, "r"), Saw(0, "r", CallerOutcome::NotRun) })
            .falseNotRun == 0);
  }
  SUBCASE("ran twice")
  {
    SubmissionRecord record = Saw(0, "r");
    CHECK(Check({ record, Started(0.1, "r"), Started(0.2, "r") }).ranTwice ==
          0);
    record.requestClass = kOnce;
    CHECK(Check({ record, Started(0.1, "r"), Started(0.2, "r") }).ranTwice ==
          1);
  }
  SUBCASE("cut by shutdown")
  {
    CHECK(Check({ CutByShutdown{ At(1), core::InstanceId{ 0 }, 3 } })
            .cutByShutdown == 3);
  }
  SUBCASE("configuration late or reverted")
  {
    const core::InstanceId instance{ 0 };
    CHECK(Check({ Stored(0, 2),
                  RevisionObserved{ At(-1), instance, 1, 1 },
                  RevisionObserved{ At(6), instance, 1, 1 } })
            .configLateOrReverted == 1);
    CHECK(Check({ RevisionObserved{ At(1), instance, 1, 4 },
                  RevisionObserved{ At(2), instance, 1, 3 } })
            .configLateOrReverted == 1);
  }
}
