/// @file
/// @brief Tells an instance whose links to all upstreams are cut from upstreams
/// that fail.
#pragma once

#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief Watches whether new connections to upstreams succeed.
///
/// Failures at several upstreams without a success in between are checked by
/// connecting to a sample of the others. If none of them accepts, the cause is
/// this instance's own links, and no upstream is to blame.
class UplinkGuard
{
public:
  UplinkGuard(relay::Timers& aTimers,
              relay::OutboundClient& aClient,
              FleetState& aFleet,
              EventLog& aLog);

  /// @brief A connection to the upstream could not be made, or was lost.
  /// @param aSince When it was begun, or lost.
  void RecordFailure(core::UpstreamId aUpstream, TimePoint aSince);
  /// @brief An upstream responded on a connection that was begun at the time.
  /// Connections from before a cut may live on and say nothing of new ones.
  void RecordReached(TimePoint aBegunAt);

  /// @brief True while no upstream accepts connections of this instance.
  bool IsCutOff() const { return cutOffSince_.has_value(); }

  /// @brief Calls back once it is known whether this instance is cut off: at
  /// once if it is, otherwise when an upstream has been reached after the
  /// failure, or none of a sample could be.
  void ExplainFailure(std::function<void(bool aCutOff)> aReport);

private:
  struct Check;

  std::vector<core::UpstreamId> UsableUpstreams() const;
  /// Upstreams spread over all usable ones, different ones each time; those
  /// that have failed only if there are no others.
  std::vector<core::UpstreamId> Sample(std::size_t aCount);
  void StartCheck();
  void FinishCheck(const Check& aCheck);
  void SetCutOff();
  void Resolve(TimePoint aReachedAt);

  struct PendingReport
  {
    TimePoint failedAt{};
    std::function<void(bool)> report;
  };

  relay::Timers& timers_;
  relay::OutboundClient& client_;
  FleetState& fleet_;
  EventLog& log_;
  std::set<core::UpstreamId> failed_; ///< Since an upstream was last reached.
  std::optional<TimePoint> failingSince_;
  std::optional<TimePoint> cutOffSince_;
  std::vector<PendingReport> pending_;
  bool checking_ = false;
  std::size_t sampleOffset_ = 0;
};

} // namespace hibiscusnotch::entry
