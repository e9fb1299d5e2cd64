#include "hibiscusnotch/entry/mirror_role.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/entry/load_aggregator.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

// The parent, and others to turn to when it fails.
constexpr std::size_t kMaxMirrorPeers = 4;
// Thousandths of a core that an instance needs for each reader of its mirror.
constexpr uint32_t kCapacityPerReader = 20;
constexpr std::size_t kMinReaders = 4;
constexpr std::size_t kMaxReaders = 24;
constexpr std::size_t kMaxDirectInstances = 1; // instances per zone
constexpr std::size_t kMinInnerRanks = 2;

std::size_t
InstanceCountIn(const FleetState& aFleet, std::string_view aZone)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aFleet.instances, [aZone](const auto& aInstance) {
      return aInstance.second.zone == aZone;
    }));
}

std::size_t
ReaderLimit(const InstanceInfo& aInstance)
{
  return std::clamp<std::size_t>(
    aInstance.capacity / kCapacityPerReader, kMinReaders, kMaxReaders);
}

/// The rank whose mirror an instance of the given rank reads: the first one
/// with room for it.
std::size_t
ParentRank(const FleetState& aFleet,
           std::span<const std::string> aRanking,
           std::size_t aRank)
{
  std::size_t served = 1; // the first rank reads the store
  std::size_t parent = 0;
  for (; parent + 1 < aRank && parent < aRanking.size(); ++parent) {
    served += ReaderLimit(aFleet.instances.at(aRanking[parent]));
    if (served > aRank) {
      break;
    }
  }
  return parent;
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
  const std::vector<std::string> ranking = MirrorRanking(aFleet, aZone);
  const auto self = static_cast<std::size_t>(std::ranges::find(ranking, aSelf) -
                                             ranking.begin());
  if (self == 0) {
    return {};
  }
  // Only higher ranks are read, so there are no cycles.
  const std::size_t parent = ParentRank(aFleet, ranking, self);
  std::vector<std::size_t> ranks{ parent };
  // The readers of a lost mirror spread over the others, which read from the
  // same ones or are their parents. Where the first rank serves all, the second
  // one reads the store for the others if that is lost.
  const std::size_t inner = std::min(
    self,
    std::max(ParentRank(aFleet, ranking, ranking.size()) + 1, kMinInnerRanks));
  std::vector<std::size_t> others;
  others.reserve(inner);
  for (std::size_t rank = 1; rank < inner; ++rank) {
    if (rank != parent) {
      others.push_back(rank);
    }
  }
  for (std::size_t step = 0;
       step < others.size() && ranks.size() + 1 < kMaxMirrorPeers;
       ++step) {
    ranks.push_back(others[others.size() - 1 - (self + step) % others.size()]);
  }
  if (parent != 0) {
    ranks.push_back(0);
  }
  std::vector<store::MirrorPeer> peers;
  peers.reserve(ranks.size());
  for (const std::size_t rank : ranks) {
    peers.push_back(
      { ranking[rank], aFleet.instances.at(ranking[rank]).endpoint });
  }
  return peers;
}

std::optional<store::MirrorPeer>
SeedPeer(std::span<const core::Endpoint> aSeeds,
         const core::Endpoint& aSelf,
         std::string_view aSelfName,
         std::size_t aAttempt)
{
  const bool isSeed =
    std::ranges::any_of(aSeeds, [&aSelf](const core::Endpoint& aSeed) {
      return aSeed.address == aSelf.address;
    });
  if (aSeeds.empty() || isSeed) {
    return std::nullopt;
  }
  const core::Endpoint& seed =
    aSeeds[(core::StableHash(aSelfName) + aAttempt) % aSeeds.size()];
  return store::MirrorPeer{ seed.address, seed };
}

} // namespace hibiscusnotch::entry
