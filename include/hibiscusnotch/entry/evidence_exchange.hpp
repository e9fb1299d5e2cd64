/// @file
/// @brief Instances share what they saw of open roll-outs.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"

#include <map>
#include <string>
#include <string_view>

namespace hibiscusnotch::entry {

/// @brief Evidence by the service that is rolled out.
using EvidenceTable = std::map<std::string, routing::RolloutEvidence>;

/// @brief What instances tell each other of open roll-outs.
struct RolloutNews
{
  EvidenceTable evidence;
  routing::SessionHashes pinnedSessions; ///< Not to be moved to a target.
};

/// @brief Adds counts of the same order; a newer order replaces an older one.
void
Merge(RolloutNews& aSum, const RolloutNews& aPart);

/// @brief The sums of a zone's hub over its members and over the other zones.
///
/// Members report to their hub, hubs exchange the sums of their zones: neither
/// the messages of a member nor their size grow with the fleet.
class RolloutHub
{
public:
  /// @brief How long a report counts; a member that is gone longer has ended.
  static constexpr Duration kReportAge{ 5'000'000 };

  void TakeMember(std::string_view aInstance,
                  RolloutNews aNews,
                  TimePoint aNow);
  void TakeZone(std::string_view aZone, RolloutNews aNews, TimePoint aNow);

  /// @brief What this zone's members have seen, for the hubs of other zones.
  RolloutNews SumOfMembers(TimePoint aNow) const;
  /// @brief What all others have seen, for one member.
  RolloutNews SumWithout(std::string_view aInstance, TimePoint aNow) const;

private:
  struct Report
  {
    RolloutNews news;
    TimePoint at{};
  };
  using Reports = std::map<std::string, Report, std::less<>>;

  static void Take(Reports& aReports,
                   std::string_view aSender,
                   RolloutNews aNews,
                   TimePoint aNow);
  static void AddAll(const Reports& aReports,
                     std::string_view aExcept,
                     TimePoint aNow,
                     RolloutNews& aSum);

  Reports members_;
  Reports zones_;
};

/// @brief What this instance itself has to tell.
RolloutNews
OwnNews(FleetState& aFleet, TimePoint aNow);

/// @brief Takes the others' sums in.
void
ApplyOthersNews(const RolloutNews& aOthers, FleetState& aFleet, TimePoint aNow);

} // namespace hibiscusnotch::entry
