#include "hibiscusnotch/core/cold_start.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace hibiscusnotch::core;

namespace {

Settings
MakeSettings(uint32_t aInstances)
{
  Settings settings;
  settings.zones = { { "a", "r" }, { "b", "r" } };
  Upstream upstream;
  upstream.name = "engine";
  upstream.zone = ZoneId{ 0 };
  upstream.capacity = 8;
  upstream.coldFloor = 2;
  upstream.coldRamp = Duration(4'000'000);
  settings.upstreams = { upstream };
  for (uint32_t i = 0; i < aInstances; ++i) {
    settings.instances.push_back(
      { "i" + std::to_string(i), ZoneId{ i % 2 }, {}, {} });
  }
  return settings;
}

} // namespace

TEST_CASE("the limit grows from the cold floor to the capacity")
{
  const Settings settings = MakeSettings(1);
  const Upstream& upstream = settings.upstreams.front();
  CHECK(ConcurrencyLimitAtAge(upstream, Duration(0)) == 2);
  CHECK(ConcurrencyLimitAtAge(upstream, Duration(2'000'000)) == 5);
  CHECK(ConcurrencyLimitAtAge(upstream, Duration(4'000'000)) == 8);
}

TEST_CASE("shares never exceed the limit when instances underestimate the age")
{
  std::mt19937_64 random(5);
  for (uint32_t instances = 1; instances <= 12; ++instances) {
    const Settings settings = MakeSettings(instances);
    const Upstream& upstream = settings.upstreams.front();
    for (int round = 0; round < 200; ++round) {
      const Duration age(static_cast<int64_t>(random() % 4'000'000));
      uint32_t sum = 0;
      for (uint32_t i = 0; i < instances; ++i) {
        const Duration believed(static_cast<int64_t>(
          random() % static_cast<uint64_t>(age.count() + 1)));
        sum += ColdStartShare(settings,
                              UpstreamId{ 0 },
                              ConcurrencyLimitAtAge(upstream, believed),
                              InstanceId{ i });
      }
      CHECK(sum <= ConcurrencyLimitAtAge(upstream, age));
    }
  }
}

TEST_CASE("instances of other zones get no share")
{
  const Settings settings = MakeSettings(4);
  CHECK(ColdStartShare(settings, UpstreamId{ 0 }, 8, InstanceId{ 1 }) == 0);
  const uint32_t sum =
    ColdStartShare(settings, UpstreamId{ 0 }, 5, InstanceId{ 0 }) +
    ColdStartShare(settings, UpstreamId{ 0 }, 5, InstanceId{ 2 });
  CHECK(sum == 5);
}
