#include "hibiscusnotch/relay/descriptor_reserve.hpp"

#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>
#include <sys/resource.h>
#include <vector>

using namespace hibiscusnotch::relay;
using hibiscusnotch::testing::ManualTimers;

namespace {

constexpr Duration kSecond{ 1'000'000 };

struct Fixture
{
  ManualTimers timers;
  int begun = 0;
  std::vector<Shortage> ended;
  DescriptorReserve reserve{ timers,
                             { [this] { ++begun; },
                               [this](const Shortage& aShortage) {
                                 ended.push_back(aShortage);
                               } } };
};

} // namespace

// Guards against a line of the log for each connection that cannot be accepted.
TEST_CASE("a shortage is reported once when it begins and once when it ends")
{
  Fixture fixture;
  for (int count = 0; count < 50; ++count) {
    CHECK_FALSE(fixture.reserve.MakeRoom());
    fixture.timers.Advance(kSecond / 10);
  }
  CHECK(fixture.begun == 1);
  CHECK(fixture.ended.empty());
  fixture.timers.Advance(5 * kSecond);
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].lasted == 49 * kSecond / 10);
  fixture.timers.Advance(60 * kSecond);
  CHECK(fixture.ended.size() == 1);
  fixture.reserve.MakeRoom();
  CHECK(fixture.begun == 2);
  CHECK(fixture.reserve.ShortageCount() == 2);
}

TEST_CASE("idle connections of any server make room")
{
  Fixture fixture;
  int idle = 2;
  fixture.reserve.AddSource([] { return false; });
  const auto source =
    fixture.reserve.AddSource([&idle] { return idle > 0 && idle-- > 0; });
  CHECK(fixture.reserve.MakeRoom());
  CHECK(fixture.reserve.MakeRoom());
  CHECK_FALSE(fixture.reserve.MakeRoom());
  idle = 1;
  fixture.reserve.RemoveSource(source);
  CHECK_FALSE(fixture.reserve.MakeRoom());
  fixture.timers.Advance(5 * kSecond);
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].closedIdle == 2);
}

// Guards against a line that states an end, as nobody tried for a while.
TEST_CASE("a shortage lasts while no descriptor is free")
{
  Fixture fixture;
  fixture.reserve.Refill();
  fixture.reserve.MakeRoom();
  rlimit former{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &former) == 0);
  const rlimit none{ 0, former.rlim_max };
  setrlimit(RLIMIT_NOFILE, &none);
  fixture.timers.Advance(10 * kSecond);
  setrlimit(RLIMIT_NOFILE, &former);
  CHECK(fixture.ended.empty());
  fixture.timers.Advance(5 * kSecond);
  CHECK(fixture.ended.size() == 1);
}

// Guards against readiness checks that take what refusals need.
TEST_CASE("the last held descriptor is kept for refusals")
{
  Fixture fixture;
  CHECK_FALSE(fixture.reserve.TakeHeld(true));
  fixture.reserve.Refill();
  int served = 0;
  while (fixture.reserve.TakeHeld(false)) {
    ++served;
  }
  CHECK(served > 0);
  CHECK(fixture.reserve.TakeHeld(true));
  CHECK_FALSE(fixture.reserve.TakeHeld(true));
  fixture.reserve.Refill();
  CHECK(fixture.reserve.TakeHeld(false));
}
