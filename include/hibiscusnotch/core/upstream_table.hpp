/// @file
/// @brief The state of every upstream, as this instance knows it.
#pragma once

#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/gossip_parameters.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace hibiscusnotch::core {

/// @brief Another instance's load on one upstream.
struct PeerLoad
{
  uint32_t running = 0;
  TimePoint at;
};

/// @brief The state of one upstream.
struct UpstreamState
{
  uint64_t incarnation = 0;
  bool contacted = false; ///< This incarnation responded to us.
  TimePoint latestStart;  ///< Upper bound of its process's start time.
  TimePoint lastContact;
  uint32_t poisonSuspects = 0; ///< Suspected poison requests among `running`.
  bool lossUnreported = false; ///< Peers are not yet told of lost connections.
  TimePoint suspectUntil;
  TimePoint nextPoll;
  TimePoint nextDemandPoll; ///< Earliest poll while requests wait for it.
  TimePoint reportedAt;
  bool leaving = false; ///< The upstream says that it is draining.
  uint32_t running = 0; ///< This instance's running requests.
  double limit = 0;     ///< Adaptive concurrency limit, at most the capacity.
  double serviceSeconds = 1;    ///< Smoothed duration of a request.
  uint32_t reportedRunning = 0; ///< Fleet-wide, by its last load report.
  uint32_t gossipedRunning = 0; ///< `running` as last sent to peers.
  TimePoint nextGossip;
  std::unordered_map<InstanceId, PeerLoad> peers;
};

/// @brief The upstreams' states and how they are updated.
class UpstreamTable
{
public:
  UpstreamTable(const Settings& aSettings, InstanceId aSelf);

  UpstreamState& At(UpstreamId aId) { return rows_[aId.value]; }
  const UpstreamState& At(UpstreamId aId) const { return rows_[aId.value]; }

  /// @brief Records a response of the upstream itself.
  /// @param aAge Lower bound of the age of its process.
  /// @return True when the upstream's process was restarted.
  bool RecordContact(TimePoint aNow,
                     UpstreamId aId,
                     uint64_t aIncarnation,
                     Duration aAge);

  /// @brief Treats the upstream as cold until it responds again.
  void ResetToCold(UpstreamId aId);

  /// @brief Records a peer's status of an upstream.
  ///
  /// A peer can make an upstream count as cold, never as warm: only a direct
  /// connection is reset at once when the upstream's process restarts.
  /// @return True when the peer knows of a newer incarnation.
  bool RecordPeerStatus(TimePoint aNow,
                        InstanceId aFrom,
                        const UpstreamStatus& aStatus);

  /// @brief Drops a dead peer's load.
  void ForgetPeer(InstanceId aPeer);

  /// @brief Lower bound of the process's age; zero without recent contact.
  Duration MinimumAge(TimePoint aNow, UpstreamId aId) const;

  /// @brief True when the process is certainly old enough for its full
  /// capacity.
  bool IsWarm(TimePoint aNow, UpstreamId aId) const;

  /// @brief This instance's running requests plus those that peers reported
  /// last.
  uint32_t KnownLoad(TimePoint aNow, UpstreamId aId) const;

  /// @brief The limit of this instance's own running requests there.
  uint32_t LocalLimit(TimePoint aNow, UpstreamId aId) const;

  /// @brief The zone's upstreams that have the version loaded.
  const std::vector<UpstreamId>& UpstreamsServing(VersionId aVersion,
                                                  ZoneId aZone) const;

  std::size_t Size() const { return rows_.size(); }

private:
  const Settings& settings_;
  GossipParameters gossip_;
  InstanceId self_;
  std::vector<UpstreamState> rows_;
  std::vector<std::vector<UpstreamId>> serving_;
};

} // namespace hibiscusnotch::core
