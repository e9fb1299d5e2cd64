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
constexpr core::ClassId kNotRepeatable{ 1 };

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
  core::RequestClass notRepeatable = repeatable;
  notRepeatable.repeatable = false;
  settings.classes = { repeatable, notRepeatable };
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
ExecutionAt(double aSeconds,
            const std::string& aId,
            core::VersionId aVersion = kOld)
{
  return { At(aSeconds), kUpstream, aVersion, core::OrganisationId{ 0 },
           aId,          1,         4,        false };
}

SubmissionRecord
SubmissionAt(double aSeconds,
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
ConfigurationAt(double aSeconds, uint64_t aRevision)
{
  ConfigurationStored stored{ At(aSeconds), {} };
  stored.state.revision = aRevision;
  return stored;
}

Violations
Check(const Observations& aObservations)
{
  return CheckGuarantees(MakeSettings(), aObservations);
}

} // namespace

TEST_CASE("a correct run has no violations")
{
  const Violations violations = Check(
    { ExecutionAt(0.1, "r"), SubmissionAt(0, "r"), BillStored{ "o/r", 1 } });
  CHECK(violations.Total() == 0);
}

TEST_CASE("each violated guarantee is counted")
{
  SUBCASE("forbidden version")
  {
    CHECK(Check({ ExecutionAt(0.1, "r", kForbidden) }).forbiddenVersion == 1);
  }
  SUBCASE("withdrawn version, zone out and leaving upstream")
  {
    ConfigurationStored stored = ConfigurationAt(0, 1);
    stored.state.withdrawn.insert(kOld);
    stored.state.zonesOut.insert(core::ZoneId{ 0 });
    const Violations late = Check({ stored,
                                    UpstreamLeaveOrdered{ At(0), kUpstream },
                                    ExecutionAt(9, "r") });
    CHECK(late.withdrawnNewWork == 1);
    CHECK(late.zoneOutNewWork == 1);
    CHECK(late.leavingNewWork == 1);
    const Violations inTime = Check({ stored, ExecutionAt(1, "r") });
    CHECK(inTime.withdrawnNewWork == 0);
    CHECK(inTime.zoneOutNewWork == 0);
  }
  SUBCASE("a zone taken back into service may get new work")
  {
    ConfigurationStored out = ConfigurationAt(0, 1);
    out.state.zonesOut.insert(core::ZoneId{ 0 });
    CHECK(Check({ out, ConfigurationAt(5, 2), ExecutionAt(9, "r") })
            .zoneOutNewWork == 0);
  }
  SUBCASE("a session changes its version")
  {
    SubmissionRecord first = SubmissionAt(0, "r1");
    SubmissionRecord second = SubmissionAt(5, "r2");
    first.session = second.session = "s";
    second.version = kNew;
    Observations observations{
      first, second, BillStored{ "o/r1", 1 }, BillStored{ "o/r2", 1 }
    };
    CHECK(Check(observations).sessionVersionChanged == 1);
    ConfigurationStored withdrawn = ConfigurationAt(1, 1);
    withdrawn.state.withdrawn.insert(kOld);
    observations.push_back(withdrawn);
    CHECK(Check(observations).sessionVersionChanged == 0);
  }
  SUBCASE("bills")
  {
    CHECK(Check({ SubmissionAt(0, "r") }).billedNotOnce == 1);
    CHECK(Check({ SubmissionAt(0, "r"),
                  BillStored{ "o/r", 1 },
                  BillStored{ "o/r", 1 } })
            .billedNotOnce == 1);
    CHECK(Check({ SubmissionAt(0, "r", CallerOutcome::NotRun),
                  BillStored{ "o/r", 1 } })
            .billedNotOnce == 1);
    CHECK(Check({ BillStored{ "o/ghost", 1 } }).billedNotOnce == 1);
  }
  SUBCASE("cold start")
  {
    ExecutionStarted execution = ExecutionAt(0.1, "r");
    execution.cold = true;
    execution.running = 5;
    CHECK(Check({ execution }).coldStartOverrun == 1);
  }
  SUBCASE("wrong answer")
  {
    SubmissionRecord record = SubmissionAt(0, "r");
    record.contentCorrect = false;
    CHECK(Check({ record }).answerMismatch == 1);
  }
  SUBCASE("false not run")
  {
    CHECK(Check({ ExecutionAt(0.5, "r"),
                  SubmissionAt(0, "r", CallerOutcome::NotRun) })
            .falseNotRun == 1);
    CHECK(Check({ ExecutionAt(5, "r"),
                  SubmissionAt(0, "r", CallerOutcome::NotRun) })
            .falseNotRun == 0);
  }
  SUBCASE("ran twice")
  {
    SubmissionRecord record = SubmissionAt(0, "r");
    CHECK(Check({ record, ExecutionAt(0.1, "r"), ExecutionAt(0.2, "r") })
            .ranTwice == 0);
    record.requestClass = kNotRepeatable;
    CHECK(Check({ record, ExecutionAt(0.1, "r"), ExecutionAt(0.2, "r") })
            .ranTwice == 1);
  }
  SUBCASE("cut by shutdown")
  {
    CHECK(Check({ CutByShutdown{ At(1), core::InstanceId{ 0 }, 3 } })
            .cutByShutdown == 3);
  }
  SUBCASE("configuration late or reverted")
  {
    const core::InstanceId instance{ 0 };
    CHECK(Check({ ConfigurationAt(0, 2),
                  RevisionObserved{ At(-1), instance, 1, 1 },
                  RevisionObserved{ At(6), instance, 1, 1 } })
            .configLateOrReverted == 1);
    CHECK(Check({ RevisionObserved{ At(1), instance, 1, 4 },
                  RevisionObserved{ At(2), instance, 1, 3 } })
            .configLateOrReverted == 1);
  }
}
