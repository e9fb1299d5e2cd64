#include "hibiscusnotch/core/upstream_table.hpp"

#include "hibiscusnotch/core/cold_start.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kPeerLoadLifetime{ 1'500'000 };

} // namespace

UpstreamTable::UpstreamTable(const Settings& aSettings, InstanceId aSelf)
  : settings_(aSettings)
  , cadence_(CadenceOf(aSettings))
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
UpstreamTable::Hear(TimePoint aNow,
                    UpstreamId aId,
                    uint64_t aIncarnation,
                    Duration aAge)
{
  UpstreamRow& row = At(aId);
  if (row.heard && aIncarnation < row.incarnation) {
    return false;
  }
  const bool restarted = row.heard && aIncarnation > row.incarnation;
  const TimePoint started = aNow - aAge;
  if (!row.heard || restarted) {
    row.startedBefore = started;
    row.leaving = false;
  }
  row.startedBefore = std::min(row.startedBefore, started);
  row.heard = true;
  row.incarnation = aIncarnation;
  row.lastHeard = std::max(row.lastHeard, aNow);
  if (restarted) {
    row.limit = settings_.At(aId).capacity;
  }
  return restarted;
}

void
UpstreamTable::DropToCold(UpstreamId aId)
{
  UpstreamRow& row = At(aId);
  row.lostUntold = row.lostUntold || row.heard;
  row.heard = false;
}

bool
UpstreamTable::HearPeer(TimePoint aNow,
                        InstanceId aFrom,
                        const UpstreamStatus& aWord)
{
  UpstreamRow& row = At(aWord.upstream);
  row.peers[aFrom] = PeerLoad{ aWord.running, aNow };
  const bool newer = aWord.incarnation > row.incarnation;
  const bool lost = aWord.lost && aWord.incarnation >= row.incarnation;
  if (row.heard && (newer || lost)) {
    row.heard = false;
    row.nextPoll = aNow;
  }
  const bool current = aWord.incarnation == row.incarnation;
  row.leaving = row.leaving || (aWord.leaving && current);
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
UpstreamTable::CertainAge(TimePoint aNow, UpstreamId aId) const
{
  const UpstreamRow& row = At(aId);
  if (!row.heard || aNow - row.lastHeard > cadence_.evidenceLifetime) {
    return Duration(0);
  }
  return aNow - row.startedBefore;
}

bool
UpstreamTable::Warm(TimePoint aNow, UpstreamId aId) const
{
  return CertainAge(aNow, aId) >= settings_.At(aId).coldRamp;
}

uint32_t
UpstreamTable::KnownLoad(TimePoint aNow, UpstreamId aId) const
{
  const UpstreamRow& row = At(aId);
  uint32_t load = row.running;
  for (const auto& [peer, word] : row.peers) {
    if (aNow - word.at < kPeerLoadLifetime) {
      load += word.running;
    }
  }
  // In a large fleet few peers' counts arrive; the upstream's own must do.
  const bool reported =
    cadence_.large && aNow - row.reportedAt < kPeerLoadLifetime;
  return reported ? std::max(load, row.reported) : load;
}

uint32_t
UpstreamTable::OwnLimit(TimePoint aNow, UpstreamId aId) const
{
  const UpstreamRow& row = At(aId);
  if (Warm(aNow, aId)) {
    const uint32_t limit = static_cast<uint32_t>(row.limit);
    const uint32_t others = KnownLoad(aNow, aId) - row.running;
    return limit > others ? limit - others : 0;
  }
  const uint32_t bearable =
    ConcurrencyLimitAtAge(settings_.At(aId), CertainAge(aNow, aId));
  return ColdStartShare(settings_, aId, bearable, self_);
}

const std::vector<UpstreamId>&
UpstreamTable::Serving(VersionId aVersion, ZoneId aZone) const
{
  return serving_[aVersion.value * settings_.zones.size() + aZone.value];
}

} // namespace hibiscusnotch::core
