/// @file
/// @brief Which instances are alive: hints by heartbeats, never an agreement.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/gossip_parameters.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace hibiscusnotch::core {

enum class MemberState
{
  Unknown,
  Alive,
  Suspect,
  Dead,
  Left,
};

struct MemberRow
{
  MemberState state = MemberState::Unknown;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  TimePoint lastUpdate;
  uint64_t configurationRevision = 0;
};

/// @brief The table of instances.
class Membership
{
public:
  Membership(const Settings& aSettings, InstanceId aSelf, uint64_t aSeed);

  /// @brief Takes in a heartbeat; false when an older one overtook it.
  bool RecordHeartbeat(TimePoint aNow,
                       InstanceId aFrom,
                       const Heartbeat& aHeartbeat,
                       Actions& aActions);

  /// @brief The members whose present run was first heard since the last call.
  std::vector<InstanceId> TakeJoined() { return std::exchange(joined_, {}); }

  /// @brief Moves silent members to suspect and dead; gives those it moved.
  std::vector<InstanceId> ExpireSilentMembers(TimePoint aNow,
                                              Actions& aActions);

  /// @brief Members that are alive or only suspected, this instance included.
  const std::vector<InstanceId>& Live() const { return live_; }

  /// @brief Members that may serve as homes.
  ///
  /// In a large fleet news is sampled, and an instance that was not heard of
  /// yet counts too, so that instances agree on homes from their start.
  const std::vector<InstanceId>& Homes() const { return homes_; }

  /// @brief The live members of this instance's zone.
  const std::vector<InstanceId>& LiveInZone() const { return liveInZone_; }

  /// @brief The receivers of the next heartbeat.
  std::vector<InstanceId> HeartbeatTargets();

  /// @brief Liveness claims for a heartbeat, a sample of bounded size.
  std::vector<MemberDigest> MakeDigests();

  const MemberRow& At(InstanceId aId) const { return rows_[aId.value]; }

private:
  void ApplyLiveness(TimePoint aNow,
                     InstanceId aId,
                     uint64_t aIncarnation,
                     uint64_t aSequence,
                     bool aLeaving,
                     Actions& aActions);
  void RebuildLists();

  const Settings& settings_;
  GossipParameters gossip_;
  InstanceId self_;
  std::mt19937_64 random_;
  std::vector<MemberRow> rows_;
  std::vector<InstanceId> live_;
  std::vector<InstanceId> liveInZone_;
  std::vector<InstanceId> homes_;
  std::vector<InstanceId> joined_;
  std::size_t digestCursor_ = 0;
};

} // namespace hibiscusnotch::core
