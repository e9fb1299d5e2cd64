#include "hibiscusnotch/core/upstream_table.hpp"

#include "hibiscusnotch/core/cold_start.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kPeerLoadLifetime{ 1'500'000 };

} // namespace

UpstreamTable::UpstreamTable(const Settings& aSettings, InstanceId aSelf)
  : settings_(aSettings)
  , gossip_(GossipParametersFor(aSettings))
  , self_(aSelf)
  , rows_(aSettings.upstreams.size())
  , serving_(aSettings.versions.size() * aSettings.zones.size())
{
  for (uint32_t i = 0; i < rows_.size(); ++i) {
    const Upstream& upstream = aSettings.upstreams[i];
    rows_[i].limit = upstream.capacity;
    for (const VersionId version : upstream.versions) {
      const std::size_t cell =
        version.value * aSettings.zones.size() + upstream.zone.value;
      serving_[cell].push_back(UpstreamId{ i });
    }
  }
}

bool
UpstreamTable::RecordContact(TimePoint aNow,
                             UpstreamId aId,
                             uint64_t aIncarnation,
                             Duration aAge)
{
  UpstreamState& upstreamState = At(aId);
  if (upstreamState.contacted && aIncarnation < upstreamState.incarnation) {
    return false;
  }
  const bool restarted =
    upstreamState.contacted && aIncarnation > upstreamState.incarnation;
  const TimePoint started = aNow - aAge;
  if (!upstreamState.contacted || restarted) {
    upstreamState.latestStart = started;
    upstreamState.leaving = false;
  }
  upstreamState.latestStart = std::min(upstreamState.latestStart, started);
  upstreamState.contacted = true;
  upstreamState.incarnation = aIncarnation;
  upstreamState.lastContact = std::max(upstreamState.lastContact, aNow);
  if (restarted) {
    upstreamState.limit = settings_.At(aId).capacity;
  }
  return restarted;
}

void
UpstreamTable::ResetToCold(UpstreamId aId)
{
  UpstreamState& upstreamState = At(aId);
  upstreamState.lossUnreported =
    upstreamState.lossUnreported || upstreamState.contacted;
  upstreamState.contacted = false;
}

bool
UpstreamTable::RecordPeerStatus(TimePoint aNow,
                                InstanceId aFrom,
                                const UpstreamStatus& aStatus)
{
  UpstreamState& upstreamState = At(aStatus.upstream);
  upstreamState.peers[aFrom] = PeerLoad{ aStatus.running, aNow };
  const bool newer = aStatus.incarnation > upstreamState.incarnation;
  const bool lost =
    aStatus.lost && aStatus.incarnation >= upstreamState.incarnation;
  if (upstreamState.contacted && (newer || lost)) {
    upstreamState.contacted = false;
    upstreamState.nextPoll = aNow;
  }
  const bool current = aStatus.incarnation == upstreamState.incarnation;
  upstreamState.leaving = upstreamState.leaving || (aStatus.leaving && current);
  return newer;
}

void
UpstreamTable::ForgetPeer(InstanceId aPeer)
{
  for (UpstreamState& upstreamState : rows_) {
    upstreamState.peers.erase(aPeer);
  }
}

Duration
UpstreamTable::MinimumAge(TimePoint aNow, UpstreamId aId) const
{
  const UpstreamState& upstreamState = At(aId);
  if (!upstreamState.contacted ||
      aNow - upstreamState.lastContact > gossip_.upstreamStatusLifetime) {
    return Duration(0);
  }
  return aNow - upstreamState.latestStart;
}

bool
UpstreamTable::IsWarm(TimePoint aNow, UpstreamId aId) const
{
  return MinimumAge(aNow, aId) >= settings_.At(aId).coldRamp;
}

uint32_t
UpstreamTable::KnownLoad(TimePoint aNow, UpstreamId aId) const
{
  const UpstreamState& upstreamState = At(aId);
  uint32_t load = upstreamState.running;
  for (const auto& [peer, peerLoad] : upstreamState.peers) {
    if (aNow - peerLoad.at < kPeerLoadLifetime) {
      load += peerLoad.running;
    }
  }
  // In a large fleet only a few peers' loads arrive, so the upstream's own load
  // report is used as a lower bound.
  const bool reportedRunning =
    gossip_.largeFleet && aNow - upstreamState.reportedAt < kPeerLoadLifetime;
  return reportedRunning ? std::max(load, upstreamState.reportedRunning) : load;
}

uint32_t
UpstreamTable::LocalLimit(TimePoint aNow, UpstreamId aId) const
{
  const UpstreamState& upstreamState = At(aId);
  if (IsWarm(aNow, aId)) {
    const uint32_t limit = static_cast<uint32_t>(upstreamState.limit);
    const uint32_t others = KnownLoad(aNow, aId) - upstreamState.running;
    return limit > others ? limit - others : 0;
  }
  const uint32_t coldLimit =
    ConcurrencyLimitAtAge(settings_.At(aId), MinimumAge(aNow, aId));
  return ColdStartShare(settings_, aId, coldLimit, self_);
}

const std::vector<UpstreamId>&
UpstreamTable::UpstreamsServing(VersionId aVersion, ZoneId aZone) const
{
  return serving_[aVersion.value * settings_.zones.size() + aZone.value];
}

} // namespace hibiscusnotch::core
