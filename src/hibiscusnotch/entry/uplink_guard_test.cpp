#include "hibiscusnotch/entry/uplink_guard.hpp"

#include "hibiscusnotch/testing/fake_outbound_client.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <string>

using namespace hibiscusnotch;
using namespace hibiscusnotch::entry;
using hibiscusnotch::relay::Reachability;
using hibiscusnotch::testing::FakeOutboundClient;
using hibiscusnotch::testing::ManualTimers;

namespace {

constexpr Duration kSecond{ 1'000'000 };

struct Fixture
{
  ManualTimers timers;
  FakeOutboundClient client;
  FleetState fleet;
  EventLog log{ timers, { "test", 0, 0 } };
  UplinkGuard guard{ timers, client, fleet, log };
  std::vector<core::UpstreamId> upstreams;
  Reachability reachability = Reachability::Accepts;

  explicit Fixture(std::size_t aUpstreams = 12)
  {
    for (std::size_t index = 0; index < aUpstreams; ++index) {
      routing::UpstreamEntry entry;
      entry.name = "u" + std::to_string(index);
      entry.endpoint = { entry.name, 1 };
      entry.service = "app";
      upstreams.push_back(fleet.upstreams.Apply(entry, timers.Now()));
    }
    client.probeResult = [this](const core::Endpoint&) { return reachability; };
  }

  void Fail(std::size_t aIndex)
  {
    guard.RecordFailure(upstreams[aIndex], timers.Now());
  }
};

} // namespace

// Guards against a cut that is not seen since old connections live on.
TEST_CASE("a response on a connection from before a cut does not end it")
{
  Fixture fixture;
  const TimePoint before = fixture.timers.Now();
  fixture.timers.Advance(kSecond);
  fixture.reachability = Reachability::Refuses;
  fixture.Fail(0);
  fixture.guard.RecordReached(before);
  fixture.Fail(1);
  CHECK(fixture.guard.IsCutOff());
  fixture.guard.RecordReached(before);
  CHECK(fixture.guard.IsCutOff());
  fixture.timers.Advance(kSecond);
  CHECK(fixture.guard.IsCutOff());
  fixture.reachability = Reachability::Accepts;
  fixture.timers.Advance(kSecond / 2);
  CHECK_FALSE(fixture.guard.IsCutOff());
}

// Guards against a healthy instance that sends all its traffic over the hop.
TEST_CASE("failures beside reached upstreams are no cut")
{
  Fixture fixture;
  for (std::size_t round = 0; round < 10; ++round) {
    fixture.Fail(round % 2);
    fixture.timers.Advance(kSecond / 100);
    fixture.guard.RecordReached(fixture.timers.Now());
  }
  CHECK(fixture.client.probes == 0);
  // Two in a row are checked, and the others accept.
  fixture.Fail(0);
  fixture.Fail(1);
  CHECK(fixture.client.probes > 0);
  CHECK_FALSE(fixture.guard.IsCutOff());
}

// Guards against a lone upstream's crash that is taken for a cut, as there is
// nothing to compare it with.
TEST_CASE("the failure of an only upstream is its own")
{
  Fixture fixture(1);
  fixture.reachability = Reachability::Refuses;
  std::optional<bool> cutOff;
  fixture.Fail(0);
  fixture.guard.ExplainFailure([&](bool aCutOff) { cutOff = aCutOff; });
  fixture.timers.Advance(kSecond);
  CHECK(cutOff == false);
  CHECK_FALSE(fixture.guard.IsCutOff());
}

// Guards against failures that are never counted, or counted too early.
TEST_CASE(
  "a failure is explained once an upstream is reached or a sample fails")
{
  Fixture fixture;
  std::optional<bool> cutOff;
  const auto report = [&](bool aCutOff) { cutOff = aCutOff; };
  fixture.timers.Advance(kSecond);
  fixture.guard.ExplainFailure(report);
  fixture.guard.RecordReached(fixture.timers.Now() - kSecond / 2);
  CHECK_FALSE(cutOff); // that connection is older than the failure
  fixture.guard.RecordReached(fixture.timers.Now());
  CHECK(cutOff == false);
  cutOff.reset();
  fixture.reachability = Reachability::Unreachable;
  fixture.guard.ExplainFailure(report);
  fixture.timers.Advance(kSecond);
  CHECK(cutOff == true);
  CHECK(fixture.guard.IsCutOff());
  cutOff.reset();
  fixture.guard.ExplainFailure(report);
  CHECK(cutOff == true); // at once while it is cut off
}
