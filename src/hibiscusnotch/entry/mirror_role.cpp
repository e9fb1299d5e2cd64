#include "hibiscusnotch/entry/mirror_role.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

constexpr std::size_t kMirrors = 2;    // one may fail without extra calls
constexpr std::size_t kDirectUpTo = 3; // instances of a zone

std::size_t
InstancesIn(const FleetState& aFleet, std::string_view aZone)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aFleet.instances, [aZone](const auto& aRow) {
      return aRow.second.zone == aZone;
    }));
}

} // namespace

bool
ZoneHasMirrors(const FleetState& aFleet, std::string_view aZone)
{
  return InstancesIn(aFleet, aZone) > kDirectUpTo;
}

std::vector<store::MirrorPeer>
MirrorPeers(const FleetState& aFleet,
            std::string_view aSelf,
            std::string_view aZone)
{
  if (!ZoneHasMirrors(aFleet, aZone)) {
    return {};
  }
  std::vector<std::pair<uint64_t, store::MirrorPeer>> ranked;
  for (const auto& [name, row] : aFleet.instances) {
    if (row.zone == aZone) {
      ranked.push_back({ core::StableHash(name), { name, row.endpoint } });
    }
  }
  std::ranges::sort(ranked, [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  std::vector<store::MirrorPeer> peers;
  for (std::size_t rank = 0; rank < kMirrors; ++rank) {
    if (ranked[rank].second.name == aSelf) {
      return {};
    }
    peers.push_back(ranked[rank].second);
  }
  // Readers are spread over the mirrors.
  if (core::StableHash(aSelf) % kMirrors != 0) {
    std::ranges::reverse(peers);
  }
  return peers;
}

} // namespace hibiscusnotch::entry
