/// @file
/// @brief Failure detection by heartbeats. Instances may disagree on who is
/// alive; nothing relies on agreement.
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

struct MemberRecord
{
  MemberState state = MemberState::Unknown;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  TimePoint lastUpdate;
  uint64_t configurationRevision = 0;
};

/// @brief The liveness of all declared instances.
class Membership
{
public:
  Membership(const Settings& aSettings, InstanceId aSelf, uint64_t aSeed);

  /// @brief Handles a heartbeat; false when a newer one was handled before.
  bool RecordHeartbeat(TimePoint aNow,
                       InstanceId aFrom,
                       const Heartbeat& aHeartbeat,
                       Actions& aActions);

  /// @brief The members whose current incarnation was discovered since the last
  /// call.
  std::vector<InstanceId> TakeJoined() { return std::exchange(joined_, {}); }

  /// @brief Marks silent members as suspect or dead; returns those that
  /// changed.
  std::vector<InstanceId> ExpireSilentMembers(TimePoint aNow,
                                              Actions& aActions);

  /// @brief Members that are alive, this instance included.
  const std::vector<InstanceId>& Live() const { return live_; }

  /// @brief Members that may be chosen as homes.
  ///
  /// In a large fleet liveness is sampled, so instances not heard of yet count
  /// as well; otherwise instances would disagree on homes after their start.
  const std::vector<InstanceId>& HomeCandidates() const
  {
    return homeCandidates_;
  }

  /// @brief The live members of this instance's zone.
  const std::vector<InstanceId>& LiveInZone() const { return liveInZone_; }

  /// @brief The recipients of the next heartbeat.
  std::vector<InstanceId> HeartbeatTargets();

  /// @brief Liveness digests for a heartbeat, a bounded number in rotation.
  std::vector<MemberDigest> MakeDigests();

  const MemberRecord& At(InstanceId aId) const { return rows_[aId.value]; }

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
  std::vector<MemberRecord> rows_;
  std::vector<InstanceId> live_;
  std::vector<InstanceId> liveInZone_;
  std::vector<InstanceId> homeCandidates_;
  std::vector<InstanceId> joined_;
  std::size_t digestCursor_ = 0;
};

} // namespace hibiscusnotch::core
