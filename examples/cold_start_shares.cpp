// Shows how instances share the concurrency limit of a cold upstream.

#include "hibiscusnotch/core/cold_start.hpp"

#include <iostream>

using namespace hibiscusnotch::core;

int
main()
{
  Settings settings;
  settings.zones = { { "zone", "region" } };
  Upstream upstream;
  upstream.name = "engine";
  upstream.zone = ZoneId{ 0 };
  upstream.capacity = 8;
  upstream.coldFloor = 2;
  upstream.coldRamp = Duration(4'000'000);
  settings.upstreams = { upstream };
  for (const char* name : { "one", "two", "three" }) {
    settings.instances.push_back({ name, ZoneId{ 0 }, {}, {} });
  }
  for (int64_t seconds = 0; seconds <= 4; ++seconds) {
    const uint32_t limit =
      ConcurrencyLimitAtAge(upstream, Duration(seconds * 1'000'000));
    std::cout << "after " << seconds << " s the limit is " << limit << ":";
    for (uint32_t i = 0; i < settings.instances.size(); ++i) {
      const uint32_t share =
        ColdStartShare(settings, UpstreamId{ 0 }, limit, InstanceId{ i });
      std::cout << " " << settings.instances[i].name << " " << share;
    }
    std::cout << '\n';
  }
  return 0;
}
