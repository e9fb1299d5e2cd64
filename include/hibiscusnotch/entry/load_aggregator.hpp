/// @file
/// @brief Instances of a zone tell each other what they have sent upstream.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief Work at one upstream.
struct UpstreamLoad
{
  uint32_t requests = 0;
  uint32_t promptTokens = 0; ///< Sent and not read yet.
};

/// @brief Work by the stable hash of the upstream's name.
using LoadTable = std::map<uint32_t, UpstreamLoad>;

/// @brief Hash by which upstreams are named between instances.
uint32_t
UpstreamHash(std::string_view aName);

/// @brief This instance's own work.
LoadTable
LocalLoad(const FleetState& aFleet);

/// @brief The hub's sums over its zone, without one instance's own part.
///
/// Every instance reports to one hub and gets the sums back: the messages of an
/// instance do not grow with the zone. Reports and sums only guide placement;
/// a lost or late one costs balance, never a promise.
class LoadAggregator
{
public:
  /// @brief How long a report counts: two of the longest periods.
  static constexpr Duration kMaxReportAge{ 1'300'000 };

  void SetReport(std::string_view aSender,
                 const LoadTable& aLoad,
                 TimePoint aNow);
  LoadTable TotalExcluding(std::string_view aReceiver, TimePoint aNow) const;

private:
  struct Report
  {
    LoadTable load;
    TimePoint at{};
  };

  std::map<std::string, Report, std::less<>> reports_;
};

/// @brief Writes the sums into the table of upstreams.
void
ApplyPeerLoad(const LoadTable& aTotal, FleetState& aFleet, TimePoint aNow);

/// @brief The zone's instances in the order in which they serve as hub.
std::vector<std::string>
AggregatorRanking(const FleetState& aFleet, std::string_view aZone);

} // namespace hibiscusnotch::entry
