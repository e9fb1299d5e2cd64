#include "hibiscusnotch/entry/mirror_role.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace hibiscusnotch::entry;

namespace {

FleetState
MakeFleet(std::size_t aPerZone)
{
  FleetState fleet;
  for (std::size_t index = 0; index < aPerZone; ++index) {
    fleet.instances["east-" + std::to_string(index)] = { {}, "east" };
    fleet.instances["west-" + std::to_string(index)] = { {}, "west" };
  }
  return fleet;
}

} // namespace

TEST_CASE("an instance that is alone in its zone watches the store")
{
  const FleetState fleet = MakeFleet(1);
  CHECK_FALSE(ZoneUsesMirrors(fleet, "east"));
  for (const auto& [name, instance] : fleet.instances) {
    CHECK(MirrorPeers(fleet, name, instance.zone).empty());
  }
}

TEST_CASE("in a zone of two or three instances one watches the store")
{
  for (const std::size_t size : { 2, 3 }) {
    const FleetState fleet = MakeFleet(size);
    CHECK(ZoneUsesMirrors(fleet, "east"));
    const auto watching =
      std::ranges::count_if(fleet.instances, [&fleet](const auto& aInstance) {
        return MirrorPeers(fleet, aInstance.first, aInstance.second.zone)
          .empty();
      });
    CHECK(watching == 2); // one in each of the two zones
  }
}

TEST_CASE("in a large zone one watches the store, the others read from it")
{
  const FleetState fleet = MakeFleet(20);
  std::set<std::string> watching;
  std::set<std::string> firstChoice;
  std::set<std::string> read;
  for (const auto& [name, instance] : fleet.instances) {
    if (instance.zone != "east") {
      continue;
    }
    const auto peers = MirrorPeers(fleet, name, "east");
    if (peers.empty()) {
      watching.insert(name);
    } else {
      firstChoice.insert(peers.front().name);
    }
    for (const auto& peer : peers) {
      read.insert(peer.name);
      CHECK(peer.name.starts_with("east"));
      // Mirrors are only read from higher ranks, so there are no cycles.
      for (const auto& next : MirrorPeers(fleet, peer.name, "east")) {
        CHECK(next.name != name);
      }
    }
  }
  CHECK(watching.size() == 1);
  CHECK(firstChoice == watching);
  CHECK(read.size() == 4); // three are on standby
}

TEST_CASE("an instance that is not registered yet reads mirrors")
{
  CHECK(MirrorPeers(MakeFleet(20), "east-new", "east").size() == 4);
}
