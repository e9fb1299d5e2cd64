#include "hibiscusnotch/core/membership.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

LogEvent
PeerEvent(const Settings& aSettings, EventNumber aNumber, InstanceId aPeer)
{
  return LogEvent{ aNumber, "instance=" + aSettings.At(aPeer).name };
}

} // namespace

Membership::Membership(const Settings& aSettings,
                       InstanceId aSelf,
                       uint64_t aSeed)
  : settings_(aSettings)
  , gossip_(GossipParametersFor(aSettings))
  , self_(aSelf)
  , random_(aSeed)
  , rows_(aSettings.instances.size())
{
  RebuildLists();
}

void
Membership::ApplyLiveness(TimePoint aNow,
                          InstanceId aId,
                          uint64_t aIncarnation,
                          uint64_t aSequence,
                          bool aLeaving,
                          Actions& aActions)
{
  MemberRow& row = rows_[aId.value];
  const bool newer =
    aIncarnation > row.incarnation ||
    (aIncarnation == row.incarnation && aSequence > row.sequence);
  if (!newer) {
    return;
  }
  if (aIncarnation > row.incarnation && !aLeaving) {
    joined_.push_back(aId);
  }
  row.incarnation = aIncarnation;
  row.sequence = aSequence;
  row.lastUpdate = aNow;
  const MemberState next = aLeaving ? MemberState::Left : MemberState::Alive;
  if (row.state == next) {
    return;
  }
  if (row.state != MemberState::Suspect || aLeaving) {
    aActions.push_back(
      Log{ PeerEvent(settings_,
                     aLeaving ? EventNumber::PeerLeft : EventNumber::PeerJoined,
                     aId) });
  }
  row.state = next;
  RebuildLists();
}

bool
Membership::RecordHeartbeat(TimePoint aNow,
                            InstanceId aFrom,
                            const Heartbeat& aHeartbeat,
                            Actions& aActions)
{
  MemberRow& row = rows_[aFrom.value];
  const bool old = aHeartbeat.incarnation < row.incarnation ||
                   (aHeartbeat.incarnation == row.incarnation &&
                    aHeartbeat.sequence < row.sequence);
  if (old) {
    return false;
  }
  ApplyLiveness(aNow,
                aFrom,
                aHeartbeat.incarnation,
                aHeartbeat.sequence,
                aHeartbeat.leaving,
                aActions);
  row.configurationRevision = aHeartbeat.configurationRevision;
  for (const MemberDigest& digest : aHeartbeat.members) {
    if (digest.instance != self_) {
      ApplyLiveness(aNow,
                    digest.instance,
                    digest.incarnation,
                    digest.sequence,
                    digest.leaving,
                    aActions);
    }
  }
  return true;
}

std::vector<InstanceId>
Membership::ExpireSilentMembers(TimePoint aNow, Actions& aActions)
{
  std::vector<InstanceId> moved;
  for (uint32_t i = 0; i < rows_.size(); ++i) {
    MemberRow& row = rows_[i];
    const Duration silence = aNow - row.lastUpdate;
    const InstanceId id{ i };
    if (row.state == MemberState::Alive && silence > gossip_.suspectAfter) {
      row.state = MemberState::Suspect;
      moved.push_back(id);
      aActions.push_back(
        Log{ PeerEvent(settings_, EventNumber::PeerSuspected, id) });
    }
    if (row.state == MemberState::Suspect && silence > gossip_.confirmAfter) {
      row.state = MemberState::Dead;
      moved.push_back(id);
      aActions.push_back(
        Log{ PeerEvent(settings_, EventNumber::PeerDead, id) });
    }
  }
  if (!moved.empty()) {
    RebuildLists();
  }
  return moved;
}

void
Membership::RebuildLists()
{
  live_.clear();
  homeCandidates_.clear();
  liveInZone_.clear();
  const ZoneId zone = settings_.At(self_).zone;
  for (uint32_t i = 0; i < rows_.size(); ++i) {
    const bool live = i == self_.value || rows_[i].state == MemberState::Alive;
    const bool notHeardOf =
      gossip_.largeFleet && rows_[i].state == MemberState::Unknown;
    if (live || notHeardOf) {
      homeCandidates_.push_back(InstanceId{ i });
    }
    if (!live) {
      continue;
    }
    live_.push_back(InstanceId{ i });
    if (settings_.instances[i].zone == zone) {
      liveInZone_.push_back(InstanceId{ i });
    }
  }
}

std::vector<InstanceId>
Membership::HeartbeatTargets()
{
  std::vector<InstanceId> others;
  for (uint32_t i = 0; i < rows_.size(); ++i) {
    if (i != self_.value) {
      others.push_back(InstanceId{ i });
    }
  }
  if (others.size() <= gossip_.fanOut) {
    return others;
  }
  std::shuffle(others.begin(), others.end(), random_);
  const ZoneId zone = settings_.At(self_).zone;
  std::stable_partition(
    others.begin(), others.end(), [this, zone](InstanceId aId) {
      return settings_.At(aId).zone == zone;
    });
  std::vector<InstanceId> targets(others.begin(),
                                  others.begin() + gossip_.fanOut);
  const bool zoneRelay = HomeOf(zone.value, liveInZone_) == self_;
  if (zoneRelay) {
    targets.back() = others.back();
  }
  return targets;
}

std::vector<MemberDigest>
Membership::MakeDigests()
{
  std::vector<MemberDigest> digest;
  const std::size_t count = std::min(gossip_.membersPerHeartbeat, rows_.size());
  for (std::size_t i = 0; i < count; ++i) {
    digestCursor_ = (digestCursor_ + 1) % rows_.size();
    const MemberRow& row = rows_[digestCursor_];
    const InstanceId id{ static_cast<uint32_t>(digestCursor_) };
    const bool known =
      row.state == MemberState::Alive || row.state == MemberState::Left;
    if (known && id != self_) {
      digest.push_back(MemberDigest{
        id, row.incarnation, row.sequence, row.state == MemberState::Left });
    }
  }
  return digest;
}

} // namespace hibiscusnotch::core
