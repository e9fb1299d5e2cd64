/// @file
/// @brief Tells availability zones that this instance cannot reach from
/// upstreams that fail.
#pragma once

#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief Watches, for each availability zone, whether new connections to its
/// upstreams succeed.
///
/// Failures at several upstreams are checked by connecting to a sample of the
/// other upstreams in the zones of those that failed. If none of a zone
/// accepts, the cause is the way there, and no upstream of the zone is to
/// blame. The zones that are not reached are kept in
/// FleetState::unreachableZones.
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
  void RecordReached(core::UpstreamId aUpstream, TimePoint aBegunAt);

  /// @brief True while no upstream of any zone accepts connections of this
  /// instance.
  bool IsCutOff() const;
  /// @brief True while no upstream of the upstream's zone does.
  bool IsUnreachable(core::UpstreamId aUpstream) const;

  /// @brief Calls back once it is known whether the upstream's zone is reached:
  /// at once if it is not, otherwise when one of the zone's upstreams has been
  /// reached after the failure, or none of a sample could be.
  void ExplainFailure(core::UpstreamId aUpstream,
                      std::function<void(bool aUnreachable)> aReport);

private:
  struct Check;

  struct PendingReport
  {
    TimePoint failedAt{};
    std::function<void(bool)> report;
  };

  struct Zone
  {
    std::set<core::UpstreamId> failed; ///< Since one was last reached.
    std::optional<TimePoint> failingSince;
    TimePoint reachedAt{}; ///< Latest start of a connection that succeeded.
    std::optional<TimePoint> lostSince;
    std::vector<PendingReport> pending;
    std::size_t sampleOffset = 0;
    std::size_t regainedProbes = 0; ///< Of the latest rechecks.
  };

  /// The upstream's zone; nothing if the upstream is not known.
  std::optional<std::string> ZoneOf(core::UpstreamId aUpstream) const;
  /// All zones' upstreams that may get requests.
  std::map<std::string, std::vector<core::UpstreamId>> UsableUpstreams() const;
  /// Upstreams spread over the given ones, different ones each time; those that
  /// have failed only if there are no others.
  static std::vector<core::UpstreamId> Sample(
    Zone& aZone,
    const std::vector<core::UpstreamId>& aUsable,
    std::size_t aCount);
  /// Checks the zones with failures if enough upstreams have failed.
  void CheckFailures();
  void StartCheck(std::set<std::string> aZones);
  /// Connects to a sample of each zone's upstreams.
  void Probe(const std::set<std::string>& aZones,
             std::size_t aSampleSize,
             const std::function<void(const Check& aCheck)>& aFinish);
  void FinishCheck(const Check& aCheck);
  void SetReached(const std::string& aName, TimePoint aAt);
  void SetLost(const std::string& aName, std::size_t aUpstreams);
  /// The zone's upstreams could not be tried: neither the way to them nor they
  /// themselves are blamed.
  void SetUnexplained(const std::string& aName);
  void SetRegained(const std::string& aName);
  void ScheduleRecheck();
  void FinishRecheck(const Check& aCheck);
  void ScheduleExplanation(const std::string& aName);
  void Resolve(const std::string& aName, TimePoint aReachedAt);

  relay::Timers& timers_;
  relay::OutboundClient& client_;
  FleetState& fleet_;
  EventLog& log_;
  std::map<std::string, Zone> zones_;
  bool checking_ = false;
  bool rechecking_ = false;
};

} // namespace hibiscusnotch::entry
