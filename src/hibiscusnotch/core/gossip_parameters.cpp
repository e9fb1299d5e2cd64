#include "hibiscusnotch/core/gossip_parameters.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr std::size_t kLargeFleetMinInstances = 33;
constexpr std::size_t kPolledUpstreamsPerInstance = 24;
constexpr std::size_t kMinPollersPerUpstream = 2;

std::vector<InstanceId>
InstancesOf(const Settings& aSettings, ZoneId aZone)
{
  std::vector<InstanceId> instances;
  for (uint32_t i = 0; i < aSettings.instances.size(); ++i) {
    if (aSettings.instances[i].zone == aZone) {
      instances.push_back(InstanceId{ i });
    }
  }
  return instances;
}

} // namespace

GossipParameters
GossipParametersFor(const Settings& aSettings)
{
  GossipParameters gossip;
  gossip.largeFleet = aSettings.instances.size() >= kLargeFleetMinInstances;
  if (!gossip.largeFleet) {
    gossip.heartbeatInterval = aSettings.mesh.heartbeatInterval;
    gossip.fanOut = aSettings.mesh.fanOut;
    gossip.suspectAfter = aSettings.mesh.suspectAfter;
    gossip.confirmAfter = aSettings.mesh.confirmAfter;
    gossip.membersPerHeartbeat = 32;
    gossip.upstreamsPerHeartbeat = 64;
    gossip.ratingsPerHeartbeat = 64;
    gossip.pollInterval = Duration(250'000);
    gossip.upstreamStatusLifetime = Duration(1'500'000);
    return gossip;
  }
  gossip.heartbeatInterval = Duration(1'000'000);
  gossip.fanOut = 3;
  gossip.suspectAfter = Duration(30'000'000);
  gossip.confirmAfter = Duration(45'000'000);
  gossip.membersPerHeartbeat = 24;
  gossip.upstreamsPerHeartbeat = 12;
  gossip.ratingsPerHeartbeat = 12;
  gossip.pollInterval = Duration(12'000'000);
  // Between polls the open connection proves that the process did not restart,
  // since a restart would reset it.
  gossip.upstreamStatusLifetime = Duration(30'000'000);
  return gossip;
}

std::vector<bool>
PolledUpstreams(const Settings& aSettings, InstanceId aSelf)
{
  std::vector<bool> polled(aSettings.upstreams.size(), true);
  if (!GossipParametersFor(aSettings).largeFleet) {
    return polled;
  }
  const ZoneId zone = aSettings.At(aSelf).zone;
  const std::vector<InstanceId> pollers = InstancesOf(aSettings, zone);
  const auto inZone = static_cast<std::size_t>(std::count_if(
    aSettings.upstreams.begin(),
    aSettings.upstreams.end(),
    [zone](const Upstream& aUpstream) { return aUpstream.zone == zone; }));
  const std::size_t perUpstream =
    inZone == 0
      ? 0
      : std::max(kMinPollersPerUpstream,
                 kPolledUpstreamsPerInstance * pollers.size() / inZone);
  for (uint32_t i = 0; i < polled.size(); ++i) {
    const Upstream& upstream = aSettings.upstreams[i];
    polled[i] = false;
    if (upstream.zone != zone) {
      continue;
    }
    const auto ranked = RankInstances(StableHash(upstream.name), pollers);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(perUpstream, ranked.size()));
    polled[i] = std::find(ranked.begin(), end, aSelf) != end;
  }
  return polled;
}

} // namespace hibiscusnotch::core
