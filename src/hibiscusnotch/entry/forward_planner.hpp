/// @file
/// @brief Chooses the instance that sends a request in this one's place.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace hibiscusnotch::entry {

class ForwardPlanner
{
public:
  ForwardPlanner(std::string_view aSelf,
                 std::string_view aZone,
                 const FleetState& aFleet);

  /// @brief An instance that is not avoided, each in turn. The first one for a
  /// request is of this zone while at least half of it can be used.
  /// @param aAmong The instances that can take the request; empty for all.
  std::optional<std::string> ChoosePeer(const std::set<std::string>& aAmong,
                                        std::span<const std::string> aTried,
                                        TimePoint aNow);

  /// @brief The instance refused a request, or was not reached.
  void Avoid(const std::string& aPeer, TimePoint aNow);

private:
  bool IsAvoided(const std::string& aPeer, TimePoint aNow) const;

  std::string self_;
  std::string zone_;
  const FleetState& fleet_;
  std::map<std::string, TimePoint, std::less<>> avoidedUntil_;
  std::size_t turn_ = 0;
};

} // namespace hibiscusnotch::entry
