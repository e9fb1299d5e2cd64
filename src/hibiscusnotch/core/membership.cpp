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
  MemberRecord& member = rows_[aId.value];
  const bool newer =
    aIncarnation > member.incarnation ||
    (aIncarnation == member.incarnation && aSequence > member.sequence);
  if (!newer) {
    return;
  }
  if (aIncarnation > member.incarnation && !aLeaving) {
    joined_.push_back(aId);
  }
  member.incarnation = aIncarnation;
  member.sequence = aSequence;
  member.lastUpdate = aNow;
  const MemberState next = aLeaving ? MemberState::Left : MemberState::Alive;
  if (member.state == next) {
    return;
  }
  if (member.state != MemberState::Suspect || aLeaving) {
    aActions.push_back(
      Log{ PeerEvent(settings_,
                     aLeaving ? EventNumber::PeerLeft : EventNumber::PeerJoined,
                     aId) });
  }
  member.state = next;
  RebuildLists();
}

bool
Membership::RecordHeartbeat(TimePoint aNow,
                            InstanceId aFrom,
                            const Heartbeat& aHeartbeat,
                            Actions& aActions)
{
  MemberRecord& member = rows_[aFrom.value];
  const bool old = aHeartbeat.incarnation < member.incarnation ||
                   (aHeartbeat.incarnation == member.incarnation &&
                    aHeartbeat.sequence < member.sequence);
  if (old) {
    return false;
  }
  ApplyLiveness(aNow,
                aFrom,
                aHeartbeat.incarnation,
                aHeartbeat.sequence,
                aHeartbeat.leaving,
                aActions);
  member.configurationRevision = aHeartbeat.configurationRevision;
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
  std::vector<InstanceId> changed;
  for (uint32_t i = 0; i < rows_.size(); ++i) {
    MemberRecord& member = rows_[i];
    const Duration silence = aNow - member.lastUpdate;
    const InstanceId id{ i };
    if (member.state == MemberState::Alive && silence > gossip_.suspectAfter) {
      member.state = MemberState::Suspect;
      changed.push_back(id);
      aActions.push_back(
        Log{ PeerEvent(settings_, EventNumber::PeerSuspected, id) });
    }
    if (member.state == MemberState::Suspect &&
        silence > gossip_.confirmAfter) {
      member.state = MemberState::Dead;
      changed.push_back(id);
      aActions.push_back(
        Log{ PeerEvent(settings_, EventNumber::PeerDead, id) });
    }
  }
  if (!changed.empty()) {
    RebuildLists();
  }
  return changed;
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
    const MemberRecord& member = rows_[digestCursor_];
    const InstanceId id{ static_cast<uint32_t>(digestCursor_) };
    const bool known =
      member.state == MemberState::Alive || member.state == MemberState::Left;
    if (known && id != self_) {
      digest.push_back(MemberDigest{ id,
                                     member.incarnation,
                                     member.sequence,
                                     member.state == MemberState::Left });
    }
  }
  return digest;
}

} // namespace hibiscusnotch::core
