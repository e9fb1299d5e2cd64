#include "hibiscusnotch/routing/head_waits.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace hibiscusnotch::routing;
using namespace std::chrono_literals;
using hibiscusnotch::core::UpstreamId;

namespace {

constexpr Duration kTarget = 3s;
const UpstreamId kSound{ 1 };
const UpstreamId kHung{ 2 };

/// One instance's sends, on a clock that the test advances.
struct Fixture
{
  struct Pending
  {
    HeadWaitId id = 0;
    TimePoint headAt{};
  };

  HeadWaits waits;
  TimePoint now{ 1000s };
  std::vector<Pending> pending;

  /// Without a time, no head ever comes.
  void Send(std::optional<Duration> aHeadAfter, UpstreamId aUpstream = kSound)
  {
    const HeadWaitId id = waits.Add(aUpstream, now, now + kTarget);
    if (aHeadAfter) {
      pending.push_back({ id, now + *aHeadAfter });
    }
  }

  void Advance(Duration aTime)
  {
    now += aTime;
    std::erase_if(pending, [this](const Pending& aPending) {
      if (aPending.headAt > now) {
        return false;
      }
      waits.RecordHead(aPending.id, aPending.headAt);
      return true;
    });
  }

  /// Sends at a rate whose heads take that long.
  void Run(Duration aTime,
           double aPerSecond,
           std::optional<Duration> aHeadAfter)
  {
    const Duration gap = hibiscusnotch::core::FromSeconds(1 / aPerSecond);
    for (Duration passed{ 0 }; passed < aTime; passed += gap) {
      Send(aHeadAfter);
      Advance(gap);
    }
  }

  Duration Median(std::optional<UpstreamId> aIgnored = {}) const
  {
    return waits.Median(
      now, [&](UpstreamId aId) { return aIgnored && aId == *aIgnored; });
  }
};

} // namespace

// Guards against a few dead attempts that pass for a shortage.
TEST_CASE("five hung sends among fifty quick ones leave the wait as it is")
{
  Fixture fixture;
  for (int round = 0; round < 5; ++round) {
    fixture.Send(std::nullopt);
    fixture.Run(1s, 10, 40ms);
    CHECK(fixture.Median() <= 50ms);
  }
  // All at once, and the newest.
  for (int hung = 0; hung < 5; ++hung) {
    fixture.Send(std::nullopt);
  }
  for (int step = 0; step < 20; ++step) {
    fixture.Run(100ms, 10, 40ms);
    CHECK(fixture.Median() <= 50ms);
  }
}

// Guards against a shortage that shows only once late heads have come.
TEST_CASE("a burst at 1.7 times what the engines can do shows within a second")
{
  for (const double perSecond : { 8.0, 40.0 }) {
    CAPTURE(perSecond);
    Fixture fixture;
    fixture.Run(4s, perSecond, 40ms);
    REQUIRE(fixture.Median() <= 50ms);
    fixture.Run(1s, 1.7 * perSecond, 2s);
    CHECK(fixture.Median() >= 300ms);
    fixture.Run(2s, 1.7 * perSecond, 2s);
    CHECK(fixture.Median() >= 900ms);
    fixture.Run(3s, perSecond, 40ms);
    CHECK(fixture.Median() <= 50ms);
  }
}

// Guards against an estimate that the silence of half of the upstreams raises.
TEST_CASE("while half of the upstreams are gone, the others' waits count")
{
  Fixture fixture;
  fixture.Run(2s, 20, 40ms);
  for (int send = 0; send < 30; ++send) {
    fixture.Send(std::nullopt, kHung);
    fixture.Send(40ms);
    fixture.Advance(100ms);
  }
  CHECK(fixture.Median(kHung) <= 100ms);
  fixture.Run(2s, 20, 40ms);
  CHECK(fixture.Median() <= 50ms);
}

// Guards against attempts that wait for their callers' deadlines.
TEST_CASE("sends past their target count as lost, not as slow")
{
  Fixture fixture;
  for (int send = 0; send < 8; ++send) {
    fixture.Send(std::nullopt);
  }
  fixture.Advance(2s);
  CHECK(fixture.Median() == 2s);
  fixture.Advance(kTarget);
  CHECK(fixture.Median() == 0s);
}

TEST_CASE("an attempt that ends without a head counts for as long as it lasted")
{
  Fixture fixture;
  std::vector<HeadWaitId> ended;
  ended.reserve(6);
  for (int send = 0; send < 6; ++send) {
    ended.push_back(
      fixture.waits.Add(kSound, fixture.now, fixture.now + kTarget));
  }
  fixture.Advance(1ms);
  for (const HeadWaitId id : ended) {
    fixture.waits.RecordEnd(id, fixture.now); // refused connections
  }
  CHECK(fixture.Median() == 1ms);
  fixture.Run(500ms, 10, 40ms);
  CHECK(fixture.Median() <= 50ms);
}

TEST_CASE("too few sends, or old ones, say nothing")
{
  Fixture fixture;
  CHECK(fixture.Median() == 0s);
  for (int send = 0; send < 3; ++send) {
    fixture.Send(std::nullopt);
  }
  fixture.Advance(1s);
  CHECK(fixture.Median() == 0s);
  fixture.Run(1s, 100, 2s);
  fixture.Advance(10s);
  CHECK(fixture.Median() == 0s);
}
