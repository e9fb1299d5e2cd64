#include "hibiscusnotch/core/membership.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::core;

namespace {

constexpr TimePoint kStart{ Duration(1'000'000'000) };
constexpr InstanceId kSelf{ 0 };
constexpr InstanceId kPeer{ 1 };
constexpr InstanceId kThird{ 2 };

Settings
MakeSettings(uint32_t aInstances)
{
  Settings settings;
  settings.zones = { { "a", "r" }, { "b", "r" } };
  for (uint32_t i = 0; i < aInstances; ++i) {
    settings.instances.push_back(
      { "i" + std::to_string(i), ZoneId{ i % 2 }, {}, {} });
  }
  return settings;
}

Heartbeat
MakeHeartbeat(uint64_t aIncarnation, uint64_t aSequence)
{
  Heartbeat heartbeat;
  heartbeat.incarnation = aIncarnation;
  heartbeat.sequence = aSequence;
  return heartbeat;
}

} // namespace

TEST_CASE("a silent member becomes suspect, then dead, and may return")
{
  const Settings settings = MakeSettings(3);
  Membership members(settings, kSelf, 1);
  Actions actions;
  CHECK(members.RecordHeartbeat(kStart, kPeer, MakeHeartbeat(1, 1), actions));
  CHECK(members.Live().size() == 2);
  members.ExpireSilentMembers(kStart + settings.mesh.suspectAfter + Duration(1),
                              actions);
  CHECK(members.At(kPeer).state == MemberState::Suspect);
  CHECK(members.Live().size() == 1);
  members.ExpireSilentMembers(kStart + settings.mesh.confirmAfter + Duration(1),
                              actions);
  CHECK(members.At(kPeer).state == MemberState::Dead);
  members.RecordHeartbeat(
    kStart + Duration(9'000'000), kPeer, MakeHeartbeat(1, 2), actions);
  CHECK(members.At(kPeer).state == MemberState::Alive);
}

TEST_CASE("heartbeats of an older incarnation are ignored")
{
  const Settings settings = MakeSettings(3);
  Membership members(settings, kSelf, 1);
  Actions actions;
  members.RecordHeartbeat(kStart, kPeer, MakeHeartbeat(2, 1), actions);
  CHECK_FALSE(
    members.RecordHeartbeat(kStart, kPeer, MakeHeartbeat(1, 900), actions));
  CHECK(members.At(kPeer).incarnation == 2);
}

TEST_CASE("only a newer digest refreshes a third member's liveness")
{
  const Settings settings = MakeSettings(3);
  Membership members(settings, kSelf, 1);
  Actions actions;
  Heartbeat heartbeat = MakeHeartbeat(1, 1);
  heartbeat.members = { { kThird, 1, 5, false } };
  members.RecordHeartbeat(kStart, kPeer, heartbeat, actions);
  CHECK(members.At(kThird).state == MemberState::Alive);
  // The same digest again proves nothing: the member may have died since.
  const TimePoint later = kStart + Duration(10'000'000);
  heartbeat.sequence = 2;
  members.RecordHeartbeat(later, kPeer, heartbeat, actions);
  members.ExpireSilentMembers(later, actions);
  CHECK(members.At(kThird).state == MemberState::Dead);
}

TEST_CASE("a leaving member is no longer live")
{
  const Settings settings = MakeSettings(3);
  Membership members(settings, kSelf, 1);
  Actions actions;
  members.RecordHeartbeat(kStart, kPeer, MakeHeartbeat(1, 1), actions);
  Heartbeat leaving = MakeHeartbeat(1, 2);
  leaving.leaving = true;
  members.RecordHeartbeat(kStart, kPeer, leaving, actions);
  CHECK(members.At(kPeer).state == MemberState::Left);
  CHECK(members.Live().size() == 1);
}

TEST_CASE("heartbeats go to a bounded number of members")
{
  const Settings settings = MakeSettings(200);
  Membership members(settings, kSelf, 1);
  CHECK(members.HeartbeatTargets().size() ==
        GossipParametersFor(settings).fanOut);
  CHECK(members.MakeDigests().size() <= 32);
}
