/// @file
/// @brief What this instance knows of every upstream.
#pragma once

#include "hibiscusnotch/core/cadence.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace hibiscusnotch::core {

/// @brief Another instance's requests at one upstream.
struct PeerLoad
{
  uint32_t running = 0;
  TimePoint at;
};

/// @brief One upstream as this instance sees it.
struct UpstreamRow
{
  uint64_t incarnation = 0;
  bool heard = false;      ///< Something was heard of this incarnation.
  TimePoint startedBefore; ///< The latest possible start of its process.
  TimePoint lastHeard;
  uint32_t suspects = 0;   ///< Of these, requests that lost an upstream before.
  bool lostUntold = false; ///< Peers must hear that connections ended.
  TimePoint suspectUntil;
  TimePoint nextPoll;
  TimePoint nextWanted; ///< The next poll while requests wait for it.
  TimePoint reportedAt;
  bool leaving = false;      ///< By its own word.
  uint32_t running = 0;      ///< Own requests that run there.
  double limit = 0;          ///< Adaptive concurrency, at most the capacity.
  double serviceSeconds = 1; ///< Smoothed time of one request.
  uint32_t reported = 0;     ///< By its last load report.
  uint32_t toldPeers = 0;    ///< Own requests by the last heartbeat.
  TimePoint nextTold;
  std::unordered_map<InstanceId, PeerLoad> peers;
};

/// @brief The table of upstreams and the systems that keep it.
class UpstreamTable
{
public:
  UpstreamTable(const Settings& aSettings, InstanceId aSelf);

  UpstreamRow& At(UpstreamId aId) { return rows_[aId.value]; }
  const UpstreamRow& At(UpstreamId aId) const { return rows_[aId.value]; }

  /// @brief Takes in the upstream's own sign of life.
  /// @param aAge A lower bound of the process's age.
  /// @return True when a new incarnation shows.
  bool Hear(TimePoint aNow,
            UpstreamId aId,
            uint64_t aIncarnation,
            Duration aAge);

  /// @brief Forgets what made the upstream count as warm.
  void DropToCold(UpstreamId aId);

  /// @brief Takes in a peer's word.
  ///
  /// A peer's word can make an upstream count as cold, never as warm: only a
  /// connection of one's own is reset at once when the process restarts.
  /// @return True when the peer knows of a newer incarnation.
  bool HearPeer(TimePoint aNow, InstanceId aFrom, const UpstreamStatus& aWord);

  /// @brief Forgets a dead peer's counts.
  void ForgetPeer(InstanceId aPeer);

  /// @brief The age that is certain, zero when nothing recent was heard.
  Duration CertainAge(TimePoint aNow, UpstreamId aId) const;

  /// @brief True when the upstream bears its full capacity for certain.
  bool Warm(TimePoint aNow, UpstreamId aId) const;

  /// @brief Own requests and those of peers by their last word.
  uint32_t KnownLoad(TimePoint aNow, UpstreamId aId) const;

  /// @brief How many requests this instance may run there now.
  uint32_t OwnLimit(TimePoint aNow, UpstreamId aId) const;

  /// @brief The upstreams that hold the version, those of the zone only.
  const std::vector<UpstreamId>& Serving(VersionId aVersion,
                                         ZoneId aZone) const;

  std::size_t Size() const { return rows_.size(); }

private:
  const Settings& settings_;
  Cadence cadence_;
  InstanceId self_;
  std::vector<UpstreamRow> rows_;
  std::vector<std::vector<UpstreamId>> serving_;
};

} // namespace hibiscusnotch::core
