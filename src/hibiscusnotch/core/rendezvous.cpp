#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <xxhash.h>

namespace hibiscusnotch::core {

uint64_t
StableHash(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

uint64_t
MixHash(uint64_t aLeft, uint64_t aRight)
{
  return XXH3_64bits_withSeed(&aLeft, sizeof(aLeft), aRight);
}

std::vector<InstanceId>
RankInstances(uint64_t aKey, std::span<const InstanceId> aInstances)
{
  std::vector<InstanceId> ranked(aInstances.begin(), aInstances.end());
  std::sort(
    ranked.begin(), ranked.end(), [aKey](InstanceId aLeft, InstanceId aRight) {
      return MixHash(aKey, aLeft.value) > MixHash(aKey, aRight.value);
    });
  return ranked;
}

InstanceId
HomeOf(uint64_t aKey, std::span<const InstanceId> aInstances)
{
  InstanceId home;
  uint64_t best = 0;
  for (const InstanceId instance : aInstances) {
    const uint64_t weight = MixHash(aKey, instance.value);
    if (!home.Valid() || weight > best) {
      home = instance;
      best = weight;
    }
  }
  return home;
}

} // namespace hibiscusnotch::core
