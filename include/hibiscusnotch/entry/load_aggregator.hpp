/// @file
/// @brief Aggregates the load that a zone's instances have sent upstream.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief Load at one upstream.
struct UpstreamLoad
{
  uint32_t requests = 0;
  uint32_t promptTokens = 0; ///< Sent and not read yet.
};

/// @brief Load by the hash of the upstream's name.
using LoadTable = std::map<uint32_t, UpstreamLoad>;

/// @brief Hash that identifies an upstream in reports.
uint32_t
UpstreamHash(std::string_view aName);

/// @brief This instance's own load.
LoadTable
LocalLoad(const FleetState& aFleet);

/// @brief Totals the load reports of a zone's instances.
///
/// Every instance reports to one aggregator and gets the totals of the others
/// back, so an instance's message count does not grow with the zone. The totals
/// only guide placement: a lost or late report affects balance but no
/// guarantee.
class LoadAggregator
{
public:
  /// @brief How long a report counts: two of the longest report periods.
  static constexpr Duration kMaxReportAge{ 1'300'000 };

  void SetReport(std::string_view aSender,
                 const LoadTable& aLoad,
                 TimePoint aNow);
  LoadTable TotalExcluding(std::string_view aReceiver, TimePoint aNow);

private:
  struct TimedReport
  {
    LoadTable load;
    TimePoint at{};
  };

  void DropExpired(TimePoint aNow);

  std::map<std::string, TimedReport, std::less<>> reports_;
  /// Kept as reports come and go, so that a reply costs the upstreams, not the
  /// instances times the upstreams.
  LoadTable total_;
  TimePoint nextExpiry_{}; ///< No report expires before.
};

/// @brief Writes the totals of the other instances to the upstream table.
void
ApplyPeerLoad(const LoadTable& aTotal, FleetState& aFleet, TimePoint aNow);

/// @brief The zone's instances in the order in which they mirror the store: by
/// capacity, equal ones by a hash of their names.
std::vector<std::string>
MirrorRanking(const FleetState& aFleet, std::string_view aZone);

/// @brief The zone's instances in the order in which they act as aggregator: by
/// capacity, equal ones against the order of the mirrors, so that the first of
/// both are different instances.
std::vector<std::string>
AggregatorRanking(const FleetState& aFleet, std::string_view aZone);

} // namespace hibiscusnotch::entry
