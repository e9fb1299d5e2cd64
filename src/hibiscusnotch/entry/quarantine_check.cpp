#include "quarantine_check.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

bool
IsQuarantined(Exchange& aExchange,
              const RouterOptions& aOptions,
              FleetState& aFleet,
              TimePoint aNow)
{
  routing::CrashEvidence& evidence = aFleet.crashEvidence;
  if (aExchange.isTrial && aExchange.sends == 0) {
    return false; // still waits for its only attempt
  }
  const auto quarantined =
    std::ranges::find_if(aExchange.traits, [&](const auto& aTrait) {
      return evidence.IsQuarantined(aTrait.hash);
    });
  if (quarantined == aExchange.traits.end()) {
    return false;
  }
  aExchange.isTrial =
    aExchange.sends == 0 &&
    OwnsTrials(aFleet, aOptions.instanceName, quarantined->hash) &&
    std::ranges::all_of(aExchange.traits, [&](const auto& aTrait) {
      return evidence.TryTrial(aTrait.hash, aNow);
    });
  return !aExchange.isTrial;
}

} // namespace hibiscusnotch::entry
