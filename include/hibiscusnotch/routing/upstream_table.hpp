/// @file
/// @brief The upstreams known now, and what was seen of each.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;
using core::UpstreamId;

/// @brief What the service discovery says of one upstream.
struct UpstreamEntry
{
  std::string name;
  std::string service;
  core::Endpoint endpoint;
  std::string zone;
  std::string softwareVersion;
  uint32_t slots = 1;
  bool leaving = false;
  Duration coldRemaining{ 0 };
  int64_t incarnation = 0; ///< Changes with each start of its process.
};

/// @brief Load that an upstream reported in an answer.
struct ReportedLoad
{
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

/// @brief One row.
struct Upstream
{
  UpstreamEntry entry;
  bool removed = false;              ///< Removed or replaced; no new work.
  bool announcedLeaving = false;     ///< It said itself that it leaves.
  std::optional<TimePoint> lapsedAt; ///< Entry lost around a store outage.
  TimePoint coldUntil{};
  TimePoint suspectUntil{};
  uint32_t consecutiveFailures = 0;
  uint32_t inFlight = 0;       ///< Requests of this instance.
  double pendingTokens = 0;    ///< Own prompts sent and not yet answered.
  double reportedPeerLoad = 0; ///< Other instances' requests, last reported.
  TimePoint reportedAt{};
  uint32_t peerRequests = 0; ///< Of this zone's other instances, as told.
  double peerPendingTokens = 0;
  TimePoint peerReportAt{};
  double failureRate = 0;            ///< Exponentially weighted, 0 to 1.
  double outcomeCount = 0;           ///< How many outcomes that share rests on.
  std::deque<TimePoint> recentSends; ///< Within the last second, while cold.
};

/// @brief All rows, addressed by ids that are never used again.
class UpstreamTable
{
public:
  /// @brief How long an entry that lapsed with the store stays usable.
  /// Source: the platform restores live entries within two seconds.
  static constexpr Duration kLapsedEntryGrace{ 2'000'000 };
  /// @brief How long a reported load counts in full.
  static constexpr Duration kLoadReportLifetime{ 1'000'000 };

  /// @brief Adds or updates a row; a new incarnation starts with nothing.
  UpstreamId Apply(const UpstreamEntry& aEntry, TimePoint aNow);

  /// @brief Takes an entry out; with grace when it may come back.
  void Remove(std::string_view aName, bool aMayReturn, TimePoint aNow);

  /// @brief Ends the grace of lapsed rows and forgets idle gone ones.
  void Sweep(TimePoint aNow);

  Upstream* Find(UpstreamId aId);
  const Upstream* Find(UpstreamId aId) const;
  std::optional<UpstreamId> FindByName(std::string_view aName) const;
  const std::map<UpstreamId, Upstream>& Rows() const { return rows_; }

  void RecordSend(UpstreamId aId, double aPromptTokens, TimePoint aNow);
  /// @brief The prompt has been read: its tokens no longer wait.
  void RecordFirstOutput(UpstreamId aId, double aPromptTokens);
  void RecordEnd(UpstreamId aId);
  void RecordReportedLoad(UpstreamId aId,
                          const ReportedLoad& aLoad,
                          TimePoint aNow);
  /// @brief What the zone's other instances have sent it.
  void RecordPeerLoad(UpstreamId aId,
                      uint32_t aRequests,
                      double aPendingTokens,
                      TimePoint aNow);
  /// @brief An answer of the upstream itself, good or a failure.
  void RecordOutcome(UpstreamId aId, bool aGood);
  /// @brief The upstream did not answer on the network.
  void RecordUnreachable(UpstreamId aId, Duration aColdStart, TimePoint aNow);
  void RecordReachable(UpstreamId aId);

  /// @brief Prompt tokens that wait to be read, own and the peers'.
  static double PendingTokens(const Upstream& aUpstream, TimePoint aNow);
  /// @brief Expected number of requests at the upstream, all instances'.
  static double Load(const Upstream& aUpstream, TimePoint aNow);

private:
  std::map<UpstreamId, Upstream> rows_;
  std::map<std::string, UpstreamId, std::less<>> byName_;
  uint32_t nextId_ = 0;
};

} // namespace hibiscusnotch::routing
