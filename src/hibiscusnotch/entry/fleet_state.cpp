#include "hibiscusnotch/entry/fleet_state.hpp"

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
