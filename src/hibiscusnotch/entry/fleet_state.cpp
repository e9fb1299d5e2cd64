#include "hibiscusnotch/entry/fleet_state.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

// Part of the operators' slack that is handed out: instances that restart get
// their share again.
constexpr double kExposureSlackUse = 0.6;

} // namespace

std::vector<routing::ColdStartSender>
SendersTo(const FleetState& aFleet, std::string_view aZone)
{
  std::vector<routing::ColdStartSender> senders;
  senders.reserve(aFleet.instances.size());
  for (const auto& [name, instance] : aFleet.instances) {
    senders.push_back({ name, instance.zone == aZone });
  }
  return senders;
}

bool
OwnsTrials(const FleetState& aFleet, std::string_view aSelf, uint64_t aTrait)
{
  const auto weight = [aTrait](std::string_view aName) {
    return core::MixHash(aTrait, core::StableHash(aName));
  };
  const uint64_t own = weight(aSelf);
  return std::ranges::none_of(aFleet.instances, [&](const auto& aInstance) {
    return aInstance.first != aSelf && weight(aInstance.first) > own;
  });
}

void
LogQuarantineChanges(routing::CrashEvidence& aEvidence, EventLog& aLog)
{
  for (const routing::QuarantineChange& change : aEvidence.TakeChanges()) {
    const bool whole =
      change.trait.specificity == routing::RequestTrait::kWholeRequest;
    aLog.Write(core::EventNumber::RequestQuarantined,
               std::string(whole ? "request=" : "prompt_part=") +
                 FormatHash(change.trait.hash) +
                 " refused=" + (change.quarantined ? "yes" : "no") +
                 " crashes=" + std::to_string(change.crashes));
  }
}

void
ApplyRolloutOrder(const routing::RolloutOrder& aOrder,
                  std::string_view aSelf,
                  FleetState& aFleet,
                  TimePoint aNow)
{
  const double slack = routing::ColdStartShare(
    kExposureSlackUse * aFleet.rollouts.Options().maxExposureSlack,
    aOrder.service + '/' + aOrder.target,
    aSelf,
    SendersTo(aFleet, {}));
  aFleet.rollouts.Apply(aOrder, aNow, { aFleet.InstanceCount(), slack });
}

} // namespace hibiscusnotch::entry
