/// @file
/// @brief Instances share what they saw of open roll-outs.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"

#include <map>
#include <string>
#include <string_view>

namespace hibiscusnotch::entry {

/// @brief Evidence by the service that is rolled out.
using EvidenceByService = std::map<std::string, routing::RolloutEvidence>;

/// @brief What instances tell each other of open roll-outs.
struct RolloutReport
{
  EvidenceByService evidence;
  routing::SessionHashes pinnedSessions; ///< Not to be moved to a target.
};

/// @brief Adds counts of the same order; a newer order replaces an older one.
void
Merge(RolloutReport& aTotal, const RolloutReport& aAddend);

/// @brief The sums of a zone's hub over its members and over the other zones.
///
/// Members report to their hub, hubs exchange the sums of their zones: neither
/// the messages of a member nor their size grow with the fleet.
class RolloutAggregator
{
public:
  /// @brief How long a report counts; a member that is gone longer has ended.
  static constexpr Duration kMaxReportAge{ 5'000'000 };

  void SetMemberReport(std::string_view aInstance,
                       RolloutReport aReport,
                       TimePoint aNow);
  void SetZoneReport(std::string_view aZone,
                     RolloutReport aReport,
                     TimePoint aNow);

  /// @brief What this zone's members have seen, for the hubs of other zones.
  RolloutReport TotalOfMembers(TimePoint aNow) const;
  /// @brief What all others have seen, for one member.
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

/// @brief What this instance itself has to tell.
RolloutReport
LocalRolloutReport(FleetState& aFleet, TimePoint aNow);

/// @brief Takes the others' sums in.
void
ApplyRolloutReport(const RolloutReport& aTotal,
                   FleetState& aFleet,
                   TimePoint aNow);

} // namespace hibiscusnotch::entry
