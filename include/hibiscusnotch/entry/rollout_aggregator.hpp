/// @file
/// @brief Aggregates the instances' reports on unfinished roll-outs.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"

#include <map>
#include <string>
#include <string_view>

namespace hibiscusnotch::entry {

/// @brief Evidence by service.
using EvidenceByService = std::map<std::string, routing::RolloutEvidence>;

/// @brief Evidence and pinned sessions, as instances exchange them.
struct RolloutReport
{
  EvidenceByService evidence;
  routing::SessionHashes pinnedSessions; ///< Must not move to a target.
};

/// @brief Adds counts of the same order; a newer order replaces an older one.
void
Merge(RolloutReport& aTotal, const RolloutReport& aAddend);

/// @brief Totals the reports of a zone's members and of the other zones.
///
/// Members report to their zone's aggregator, and aggregators exchange their
/// zones' totals: neither the number nor the size of a member's messages grows
/// with the fleet.
class RolloutAggregator
{
public:
  /// @brief How long a report counts; a member that is silent longer has ended.
  static constexpr Duration kMaxReportAge{ 5'000'000 };

  void SetMemberReport(std::string_view aInstance,
                       RolloutReport aReport,
                       TimePoint aNow);
  void SetZoneReport(std::string_view aZone,
                     RolloutReport aReport,
                     TimePoint aNow);

  /// @brief The total of this zone's members, for the other zones' aggregators.
  RolloutReport TotalOfMembers(TimePoint aNow) const;
  /// @brief The total of all other instances, for one member.
  RolloutReport TotalExcluding(std::string_view aInstance,
                               TimePoint aNow) const;

private:
  struct TimedReport
  {
    RolloutReport content;
    TimePoint at{};
  };
  using Reports = std::map<std::string, TimedReport, std::less<>>;

  static void SetReport(Reports& aReports,
                        std::string_view aSender,
                        RolloutReport aReport,
                        TimePoint aNow);
  static void AddReports(const Reports& aReports,
                         std::string_view aExcept,
                         TimePoint aNow,
                         RolloutReport& aTotal);

  Reports members_;
  Reports zones_;
};

/// @brief This instance's own report.
RolloutReport
LocalRolloutReport(FleetState& aFleet, TimePoint aNow);

/// @brief Applies the total of the other instances.
void
ApplyRolloutReport(const RolloutReport& aTotal,
                   FleetState& aFleet,
                   TimePoint aNow);

} // namespace hibiscusnotch::entry
