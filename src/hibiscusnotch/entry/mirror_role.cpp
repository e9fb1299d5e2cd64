#include "hibiscusnotch/entry/mirror_role.hpp"

#include "hibiscusnotch/entry/load_aggregator.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

// The first one watches the store; the others are its successors, in order.
constexpr std::size_t kMaxMirrorPeers = 4;
constexpr std::size_t kMaxDirectInstances = 1; // instances per zone

std::size_t
InstanceCountIn(const FleetState& aFleet, std::string_view aZone)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aFleet.instances, [aZone](const auto& aInstance) {
      return aInstance.second.zone == aZone;
    }));
}

} // namespace

bool
ZoneUsesMirrors(const FleetState& aFleet, std::string_view aZone)
{
  return InstanceCountIn(aFleet, aZone) > kMaxDirectInstances;
}

std::vector<store::MirrorPeer>
MirrorPeers(const FleetState& aFleet,
            std::string_view aSelf,
            std::string_view aZone)
{
  if (!ZoneUsesMirrors(aFleet, aZone)) {
    return {};
  }
  std::vector<store::MirrorPeer> peers;
  for (const std::string& name : AggregatorRanking(aFleet, aZone)) {
    if (name == aSelf || peers.size() == kMaxMirrorPeers) {
      break; // only higher ranks are read, so there are no cycles
    }
    peers.push_back({ name, aFleet.instances.at(name).endpoint });
  }
  return peers;
}

} // namespace hibiscusnotch::entry
