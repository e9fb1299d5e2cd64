#include "hibiscusnotch/entry/mirror_role.hpp"

#include "hibiscusnotch/entry/load_aggregator.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <vector>

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

TEST_CASE("the third instance of a zone can read the second one")
{
  // Guards against more calls to the store when the first one is lost: all
  // others read the store themselves.
  const FleetState fleet = MakeFleet(3);
  std::map<std::size_t, std::size_t> sizes;
  for (const auto& [name, instance] : fleet.instances) {
    ++sizes[MirrorPeers(fleet, name, instance.zone).size()];
  }
  CHECK(sizes ==
        std::map<std::size_t, std::size_t>{ { 0, 2 }, { 1, 2 }, { 2, 2 } });
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
  CHECK(firstChoice.contains(*watching.begin()));
  CHECK(firstChoice.size() <= 6); // the store's reader and the inner mirrors
  CHECK(read.size() <= 6);
}

TEST_CASE("an instance that is not registered yet reads mirrors")
{
  const auto peers = MirrorPeers(MakeFleet(20), "east-new", "east");
  CHECK(peers.size() >= 2);
  CHECK(peers.size() <= 4);
}

TEST_CASE("sixty readers of a zone: no mirror serves more than its capacity")
{
  // Three of sixty machines have four times the capacity of the others.
  FleetState fleet;
  for (std::size_t index = 0; index < 60; ++index) {
    fleet.instances["i" + std::to_string(index)] = {
      {}, "east", index % 20 == 7 ? 500U : 120U
    };
  }
  std::map<std::string, std::size_t> readers;
  std::map<std::string, std::string> parents;
  for (const auto& [name, instance] : fleet.instances) {
    const auto peers = MirrorPeers(fleet, name, "east");
    if (!peers.empty()) {
      ++readers[peers.front().name];
      parents[name] = peers.front().name;
      std::set<std::string> different;
      for (const auto& peer : peers) {
        different.insert(peer.name);
      }
      CHECK(different.size() == peers.size());
      CHECK(peers.size() <= 4);
    }
  }
  CHECK(parents.size() == 59);
  for (const auto& [name, count] : readers) {
    CHECK(fleet.instances.at(name).capacity == 500); // the large ones lead
    CHECK(count <= 24);
  }
  // Every copy is at most three hops from the store.
  for (const auto& [name, parent] : parents) {
    std::size_t hops = 1;
    for (std::string at = name; parents.contains(at); at = parents[at]) {
      ++hops;
    }
    CHECK(hops <= 3);
  }
  // The aggregator of the reports is another machine than the store's reader.
  CHECK(AggregatorRanking(fleet, "east").front() !=
        MirrorRanking(fleet, "east").front());
  CHECK(fleet.instances.at(AggregatorRanking(fleet, "east").front()).capacity ==
        500);
}

TEST_CASE("a large configuration reaches all of a zone's instances in time")
{
  // Guards against copies that all pass through one small machine: 2,850 routes
  // were in force 4.9 s after they were confirmed.
  constexpr double kConfigurationBytes = 600e3;
  constexpr double kMaxSeconds = 3;
  constexpr std::size_t kInstances = 22;
  constexpr uint32_t kSmallCapacity = 120;
  constexpr uint32_t kLargeCapacity = 500;
  constexpr double kSmallBytesPerSecond = 10e6 / 8;
  constexpr double kLargeBytesPerSecond = 200e6 / 8;
  for (int day = 0; day < 20; ++day) {
    FleetState fleet;
    std::map<std::string, double> bytesPerSecond;
    for (std::size_t index = 0; index < kInstances; ++index) {
      const std::string name =
        "day-" + std::to_string(day) + "-" + std::to_string(index);
      const bool large = index % 7 == 3;
      InstanceInfo& instance = fleet.instances[name];
      instance.zone = "east";
      instance.capacity = large ? kLargeCapacity : kSmallCapacity;
      bytesPerSecond[name] =
        large ? kLargeBytesPerSecond : kSmallBytesPerSecond;
    }
    // Each mirror sends its copy to one reader after the other.
    std::map<std::string, std::vector<std::string>> readers;
    std::vector<std::pair<std::string, double>> reached;
    for (const auto& [name, instance] : fleet.instances) {
      const auto peers = MirrorPeers(fleet, name, "east");
      if (peers.empty()) {
        reached.emplace_back(name, kConfigurationBytes / bytesPerSecond[name]);
      } else {
        readers[peers.front().name].push_back(name);
      }
    }
    double last = 0;
    for (std::size_t at = 0; at < reached.size(); ++at) {
      const auto [mirror, since] = reached[at];
      double sent = since;
      for (const std::string& reader : readers[mirror]) {
        sent += kConfigurationBytes / bytesPerSecond[mirror];
        reached.emplace_back(
          reader, sent + kConfigurationBytes / bytesPerSecond[reader]);
      }
      last = std::max(last, since);
    }
    CHECK(reached.size() == kInstances);
    CHECK(last <= kMaxSeconds);
  }
}

TEST_CASE("the readers of a lost mirror spread over several others")
{
  FleetState fleet;
  for (std::size_t index = 0; index < 60; ++index) {
    fleet.instances["i" + std::to_string(index)] = { {}, "east", 120 };
  }
  std::map<std::string, std::map<std::string, std::size_t>> nextByParent;
  for (const auto& [name, instance] : fleet.instances) {
    const auto peers = MirrorPeers(fleet, name, "east");
    if (peers.size() > 1) {
      ++nextByParent[peers[0].name][peers[1].name];
    }
  }
  const std::string root = MirrorRanking(fleet, "east").front();
  for (const auto& [parent, next] : nextByParent) {
    for (const auto& [name, count] : next) {
      if (parent != root) {
        CHECK(count <= 3);
      }
    }
  }
}

TEST_CASE("an instance that starts asks a seed first, seeds ask the store")
{
  const std::vector<hibiscusnotch::core::Endpoint> seeds{
    { "10.0.0.1", 7000 }, { "10.0.0.2", 7000 }
  };
  CHECK_FALSE(SeedPeer(seeds, { "10.0.0.2", 7000 }, "b", 0));
  CHECK_FALSE(SeedPeer({}, { "10.0.0.9", 7000 }, "x", 0));
  const auto first = SeedPeer(seeds, { "10.0.0.9", 7000 }, "x", 0);
  const auto second = SeedPeer(seeds, { "10.0.0.9", 7000 }, "x", 1);
  REQUIRE(first);
  REQUIRE(second);
  CHECK(first->name != second->name); // the first one may be down
}
