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
  UpstreamRow& row = At(aId);
  if (row.contacted && aIncarnation < row.incarnation) {
    return false;
  }
  const bool restarted = row.contacted && aIncarnation > row.incarnation;
  const TimePoint started = aNow - aAge;
  if (!row.contacted || restarted) {
    row.latestStart = started;
    row.leaving = false;
  }
  row.latestStart = std::min(row.latestStart, started);
  row.contacted = true;
  row.incarnation = aIncarnation;
  row.lastContact = std::max(row.lastContact, aNow);
  if (restarted) {
    row.limit = settings_.At(aId).capacity;
  }
  return restarted;
}

void
UpstreamTable::ResetToCold(UpstreamId aId)
{
  UpstreamRow& row = At(aId);
  row.lossUnreported = row.lossUnreported || row.contacted;
  row.contacted = false;
}

bool
UpstreamTable::RecordPeerStatus(TimePoint aNow,
                                InstanceId aFrom,
                                const UpstreamStatus& aStatus)
{
  UpstreamRow& row = At(aStatus.upstream);
  row.peers[aFrom] = PeerLoad{ aStatus.running, aNow };
  const bool newer = aStatus.incarnation > row.incarnation;
  const bool lost = aStatus.lost && aStatus.incarnation >= row.incarnation;
  if (row.contacted && (newer || lost)) {
    row.contacted = false;
    row.nextPoll = aNow;
  }
  const bool current = aStatus.incarnation == row.incarnation;
  row.leaving = row.leaving || (aStatus.leaving && current);
  return newer;
}

void
UpstreamTable::ForgetPeer(InstanceId aPeer)
{
  for (UpstreamRow& row : rows_) {
    row.peers.erase(aPeer);
  }
}

Duration
UpstreamTable::MinimumAge(TimePoint aNow, UpstreamId aId) const
{
  const UpstreamRow& row = At(aId);
  if (!row.contacted ||
      aNow - row.lastContact > gossip_.upstreamStatusLifetime) {
    return Duration(0);
  }
  return aNow - row.latestStart;
}

bool
UpstreamTable::IsWarm(TimePoint aNow, UpstreamId aId) const
{
  return MinimumAge(aNow, aId) >= settings_.At(aId).coldRamp;
}

uint32_t
UpstreamTable::KnownLoad(TimePoint aNow, UpstreamId aId) const
{
  const UpstreamRow& row = At(aId);
  uint32_t load = row.running;
  for (const auto& [peer, peerLoad] : row.peers) {
    if (aNow - peerLoad.at < kPeerLoadLifetime) {
      load += peerLoad.running;
    }
  }
  // In a large fleet only a few peers' loads arrive, so the upstream's own load
  // report is used as a lower bound.
  const bool reportedRunning =
    gossip_.largeFleet && aNow - row.reportedAt < kPeerLoadLifetime;
  return reportedRunning ? std::max(load, row.reportedRunning) : load;
}

uint32_t
UpstreamTable::LocalLimit(TimePoint aNow, UpstreamId aId) const
{
  const UpstreamRow& row = At(aId);
  if (IsWarm(aNow, aId)) {
    const uint32_t limit = static_cast<uint32_t>(row.limit);
    const uint32_t others = KnownLoad(aNow, aId) - row.running;
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
