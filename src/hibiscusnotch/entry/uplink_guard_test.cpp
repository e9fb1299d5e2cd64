#include "hibiscusnotch/entry/uplink_guard.hpp"

#include "hibiscusnotch/testing/fake_outbound_client.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <set>
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
  std::set<std::string> accepting; ///< Zones that accept in any case.

  /// Upstreams are spread over the zones z0, z1 and so on in turn.
  explicit Fixture(std::size_t aUpstreams = 12, std::size_t aZones = 1)
  {
    for (std::size_t index = 0; index < aUpstreams; ++index) {
      routing::UpstreamEntry entry;
      entry.name = "u" + std::to_string(index);
      entry.endpoint = { entry.name, 1 };
      entry.service = "app";
      entry.zone = "z" + std::to_string(index % aZones);
      upstreams.push_back(fleet.upstreams.Apply(entry, timers.Now()));
    }
    client.probeResult = [this, aZones](const core::Endpoint& aTo) {
      const auto zone = std::stoul(aTo.address.substr(1)) % aZones;
      return accepting.contains("z" + std::to_string(zone))
               ? Reachability::Accepts
               : reachability;
    };
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
  fixture.guard.RecordReached(fixture.upstreams[2], before);
  fixture.Fail(1);
  CHECK(fixture.guard.IsCutOff());
  fixture.guard.RecordReached(fixture.upstreams[2], before);
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
    fixture.guard.RecordReached(fixture.upstreams[2], fixture.timers.Now());
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
  fixture.guard.ExplainFailure(fixture.upstreams[0],
                               [&](bool aCutOff) { cutOff = aCutOff; });
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
  fixture.guard.ExplainFailure(fixture.upstreams[0], report);
  fixture.guard.RecordReached(fixture.upstreams[2],
                              fixture.timers.Now() - kSecond / 2);
  CHECK_FALSE(cutOff); // that connection is older than the failure
  fixture.guard.RecordReached(fixture.upstreams[2], fixture.timers.Now());
  CHECK(cutOff == false);
  cutOff.reset();
  fixture.reachability = Reachability::Unreachable;
  fixture.guard.ExplainFailure(fixture.upstreams[0], report);
  fixture.timers.Advance(kSecond);
  CHECK(cutOff == true);
  CHECK(fixture.guard.IsCutOff());
  cutOff.reset();
  fixture.guard.ExplainFailure(fixture.upstreams[0], report);
  CHECK(cutOff == true); // at once while it is cut off
}

// Guards against an instance that takes the loss of some zones for the loss of
// all.
TEST_CASE("the zones that are not reached are told from those that are")
{
  Fixture fixture(12, 3);
  fixture.reachability = Reachability::Refuses;
  fixture.accepting = { "z0" };
  fixture.Fail(1);
  fixture.Fail(2);
  CHECK(fixture.fleet.unreachableZones ==
        std::set<std::string, std::less<>>{ "z1", "z2" });
  CHECK_FALSE(fixture.guard.IsCutOff());
  CHECK(fixture.guard.IsUnreachable(fixture.upstreams[4]));
  // Successes in the own zone do not hide failures in others, nor end them.
  fixture.guard.RecordReached(fixture.upstreams[0], fixture.timers.Now());
  fixture.timers.Advance(kSecond);
  CHECK(fixture.fleet.unreachableZones.size() == 2);
  fixture.accepting = { "z0", "z1" };
  fixture.timers.Advance(kSecond / 2);
  CHECK(fixture.fleet.unreachableZones ==
        std::set<std::string, std::less<>>{ "z2" });
  fixture.accepting.clear();
  fixture.Fail(0);
  fixture.Fail(1);
  CHECK(fixture.guard.IsCutOff());
}

// Guards against upstreams that crash together unnoticed, where each zone has
// but one, and against a cut that passes for that.
TEST_CASE("zones of one upstream each are judged together")
{
  Fixture fixture(3, 3);
  fixture.reachability = Reachability::Refuses;
  SUBCASE("one zone is reached: the others' upstreams are to blame")
  {
    fixture.accepting = { "z0" };
    fixture.Fail(1);
    fixture.Fail(2);
    CHECK(fixture.fleet.unreachableZones.empty());
  }
  SUBCASE("no zone is reached")
  {
    fixture.Fail(1);
    fixture.Fail(2);
    CHECK(fixture.guard.IsCutOff());
  }
}

// Guards against a zone that is never used again since most of its upstreams
// are gone for good.
TEST_CASE("a zone is reached again while some of its upstreams stay away")
{
  Fixture fixture(12, 2);
  fixture.reachability = Reachability::Unreachable;
  fixture.accepting = { "z0" };
  fixture.Fail(1);
  fixture.Fail(3);
  REQUIRE(fixture.fleet.unreachableZones.contains("z1"));
  SUBCASE("half of them accept")
  {
    fixture.client.probeResult = [](const core::Endpoint& aTo) {
      return std::stoul(aTo.address.substr(1)) > 6 ? Reachability::Accepts
                                                   : Reachability::Refuses;
    };
  }
  SUBCASE("a single one is left")
  {
    for (const std::size_t index : { 1, 3, 5, 7, 9 }) {
      fixture.fleet.upstreams.Remove("u" + std::to_string(index),
                                     fixture.timers.Now());
    }
    fixture.reachability = Reachability::Accepts;
  }
  SUBCASE("none is left")
  {
    for (const std::size_t index : { 1, 3, 5, 7, 9, 11 }) {
      fixture.fleet.upstreams.Remove("u" + std::to_string(index),
                                     fixture.timers.Now());
    }
  }
  fixture.timers.Advance(2 * kSecond);
  CHECK(fixture.fleet.unreachableZones.empty());
}

// Guards against a zone that is given up although it answered meanwhile.
TEST_CASE("a response during a check counts more than its probes")
{
  Fixture fixture(12, 2);
  fixture.Fail(1);
  fixture.client.probeResult = [&](const core::Endpoint&) {
    fixture.guard.RecordReached(fixture.upstreams[5], fixture.timers.Now());
    return Reachability::Unreachable;
  };
  fixture.Fail(3);
  CHECK(fixture.fleet.unreachableZones.empty());
}

// Guards against a cut, or a blame, that this instance's own lack of
// descriptors brings about.
TEST_CASE("upstreams that could not be tried are neither cut off nor blamed")
{
  Fixture fixture;
  fixture.reachability = Reachability::Untried;
  std::optional<bool> unreachable;
  fixture.Fail(0);
  fixture.guard.ExplainFailure(fixture.upstreams[0],
                               [&](bool aSeen) { unreachable = aSeen; });
  fixture.Fail(1);
  CHECK_FALSE(fixture.guard.IsCutOff());
  fixture.timers.Advance(kSecond);
  CHECK_FALSE(fixture.guard.IsCutOff());
  CHECK(unreachable == true);
  // Nor do they end a cut.
  fixture.reachability = Reachability::Refuses;
  fixture.Fail(0);
  fixture.Fail(1);
  CHECK(fixture.guard.IsCutOff());
  fixture.reachability = Reachability::Untried;
  fixture.timers.Advance(kSecond);
  CHECK(fixture.guard.IsCutOff());
  fixture.reachability = Reachability::Accepts;
  fixture.timers.Advance(kSecond);
  CHECK_FALSE(fixture.guard.IsCutOff());
}
