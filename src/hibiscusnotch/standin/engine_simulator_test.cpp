#include "hibiscusnotch/standin/engine_simulator.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch;
using namespace hibiscusnotch::standin;

namespace {

core::Settings
MakeSettings()
{
  core::Settings settings;
  settings.services = { { "chat", core::ServiceKind::Engine } };
  settings.versions = { { "v", "m", 1, 1 } };
  core::Upstream upstream;
  upstream.name = "u";
  upstream.service = core::ServiceId{ 0 };
  upstream.capacity = 4;
  upstream.coldFloor = 1;
  upstream.coldRamp = core::Duration(1'000'000);
  settings.upstreams = { upstream };
  return settings;
}

constexpr TimePoint kNow{ core::Duration(100'000'000) };

EngineRequest
MakeRequest(core::AttemptId aAttempt)
{
  EngineRequest request;
  request.attempt = aAttempt;
  request.requestId = "r" + std::to_string(aAttempt);
  request.organisation = core::OrganisationId{ 0 };
  request.version = core::VersionId{ 0 };
  request.outputTokens = 20;
  return request;
}

EngineSimulator
MakeEngine(const core::Settings& aSettings, bool aWarm)
{
  return { aSettings,
           core::UpstreamId{ 0 },
           DefaultBehaviours(aSettings),
           aWarm ? kNow - core::Duration(60'000'000) : kNow };
}

} // namespace

TEST_CASE("an answer is complete, ordered and resumable at an offset")
{
  const core::Settings settings = MakeSettings();
  EngineSimulator engine = MakeEngine(settings, true);
  Observations observations;
  engine.Submit(kNow, MakeRequest(1), observations);
  EngineRequest resumed = MakeRequest(2);
  resumed.requestId = "r1";
  resumed.resumeOffset = 8;
  engine.Submit(kNow, resumed, observations);
  std::map<core::AttemptId, std::string> texts;
  for (const EngineOutput& output :
       engine.Advance(kNow + core::Duration(60'000'000))) {
    texts[output.attempt] += output.chunk.payload;
  }
  CHECK(texts[1] == AnswerText("r1", "v", 0, 20));
  CHECK(texts[2] == AnswerText("r1", "v", 8, 12));
}

TEST_CASE("an overloaded cold process crashes and records its capacity")
{
  const core::Settings settings = MakeSettings();
  EngineSimulator engine = MakeEngine(settings, false);
  Observations observations;
  engine.Submit(kNow, MakeRequest(1), observations);
  CHECK(engine.Incarnation() == 1);
  engine.Submit(kNow, MakeRequest(2), observations);
  CHECK(engine.Incarnation() == 2);
  const auto& start = std::get<ExecutionStarted>(observations.back());
  CHECK(start.cold);
  CHECK(start.running == 2);
  CHECK(start.effectiveCapacity == 1);
  CHECK(engine.Advance(kNow).size() == 2);
}

TEST_CASE("a leaving or full engine refuses without executing anything")
{
  const core::Settings settings = MakeSettings();
  EngineSimulator engine = MakeEngine(settings, true);
  Observations observations;
  core::AttemptId attempt = 1;
  while (engine.Submit(kNow, MakeRequest(attempt), observations) ==
         SubmitResult::Accepted) {
    ++attempt;
  }
  CHECK(observations.size() == attempt - 1);
  engine.SetLeaving(true);
  CHECK(engine.Submit(kNow, MakeRequest(999), observations) ==
        SubmitResult::Leaving);
  CHECK(observations.size() == attempt - 1);
}

TEST_CASE("silenced connections produce no further output")
{
  const core::Settings settings = MakeSettings();
  EngineSimulator engine = MakeEngine(settings, true);
  Observations observations;
  engine.Submit(kNow, MakeRequest(1), observations);
  engine.SilenceOpenConnections();
  engine.Submit(kNow, MakeRequest(2), observations);
  for (const EngineOutput& output :
       engine.Advance(kNow + core::Duration(60'000'000))) {
    CHECK(output.attempt == 2);
  }
}
