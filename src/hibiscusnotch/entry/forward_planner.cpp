#include "forward_planner.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <vector>

namespace hibiscusnotch::entry {

namespace {

// A cut lasts for seconds; an instance that is full takes requests sooner.
constexpr Duration kAvoidance{ 1'000'000 };

} // namespace

ForwardPlanner::ForwardPlanner(std::string_view aSelf,
                               std::string_view aZone,
                               const FleetState& aFleet)
  : self_(aSelf)
  , zone_(aZone)
  , fleet_(aFleet)
  // Instances that lose their links together start with different peers.
  , turn_(core::StableHash(aSelf))
{
}

std::optional<std::string>
ForwardPlanner::ChoosePeer(const std::set<std::string>& aAmong,
                           std::span<const std::string> aTried,
                           TimePoint aNow)
{
  std::vector<const std::string*> local;
  std::vector<const std::string*> remote;
  std::size_t avoidedLocal = 0;
  for (const auto& [name, instance] : fleet_.instances) {
    if (name == self_ || (!aAmong.empty() && !aAmong.contains(name))) {
      continue;
    }
    const bool isLocal = instance.zone == zone_;
    if (IsAvoided(name, aNow)) {
      avoidedLocal += isLocal ? 1 : 0;
    } else if (std::ranges::find(aTried, name) == aTried.end()) {
      (isLocal ? local : remote).push_back(&name);
    }
  }
  // After a refusal the cut may be the whole zone's.
  const bool zoneSeemsUsable = aTried.empty() && local.size() >= avoidedLocal;
  const bool stayLocal = !local.empty() && (zoneSeemsUsable || remote.empty());
  const auto& candidates = stayLocal ? local : remote;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return *candidates[turn_++ % candidates.size()];
}

void
ForwardPlanner::Avoid(const std::string& aPeer, TimePoint aNow)
{
  std::erase_if(avoidedUntil_,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  avoidedUntil_[aPeer] = aNow + kAvoidance;
}

bool
ForwardPlanner::IsAvoided(const std::string& aPeer, TimePoint aNow) const
{
  const auto found = avoidedUntil_.find(aPeer);
  return found != avoidedUntil_.end() && aNow < found->second;
}

} // namespace hibiscusnotch::entry
