#include "hibiscusnotch/core/cold_start.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

uint32_t
ConcurrencyLimitAtAge(const Upstream& aUpstream, Duration aAge)
{
  if (aAge >= aUpstream.coldRamp) {
    return aUpstream.capacity;
  }
  const uint32_t floor = std::min(aUpstream.coldFloor, aUpstream.capacity);
  const double grown =
    static_cast<double>(std::max(aAge, Duration(0)).count()) /
    static_cast<double>(aUpstream.coldRamp.count());
  return floor + static_cast<uint32_t>((aUpstream.capacity - floor) * grown);
}

uint32_t
ColdStartShare(const Settings& aSettings,
               UpstreamId aUpstream,
               uint32_t aLimit,
               InstanceId aInstance)
{
  const ZoneId zone = aSettings.At(aUpstream).zone;
  const uint64_t key = StableHash(aSettings.At(aUpstream).name);
  const uint64_t ownWeight = MixHash(key, aInstance.value);
  uint32_t sharers = 0;
  uint32_t rank = 0;
  bool found = false;
  for (uint32_t i = 0; i < aSettings.instances.size(); ++i) {
    if (aSettings.instances[i].zone != zone) {
      continue;
    }
    ++sharers;
    found = found || i == aInstance.value;
    rank += MixHash(key, i) > ownWeight ? 1 : 0;
  }
  if (!found) {
    return 0;
  }
  const uint32_t rest = aLimit % sharers;
  return aLimit / sharers + (rank < rest ? 1 : 0);
}

} // namespace hibiscusnotch::core
