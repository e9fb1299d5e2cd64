#include "handover_system.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "planning.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kPinDelay{
  200'000
}; ///< Gathers changes that come together.
constexpr std::size_t kPinsPerMessage = 1000;

/// Only one instance of the zone, or of all, hands over to a joiner.
bool
HandsOverTo(const RouterState& aState, InstanceId aJoiner)
{
  const ZoneId zone = aState.settings.At(aJoiner).zone;
  std::vector<InstanceId> inZone;
  std::vector<InstanceId> all;
  for (const InstanceId id : aState.members.Live()) {
    if (id == aJoiner) {
      continue;
    }
    all.push_back(id);
    if (aState.settings.At(id).zone == zone) {
      inZone.push_back(id);
    }
  }
  const uint64_t key = aJoiner.value;
  return HomeOf(key, inZone.empty() ? all : inZone) == aState.options.self;
}

StateTransfer
MakeHandover(const RouterState& aState)
{
  StateTransfer handover;
  for (const auto& [fingerprint, losses] : aState.quarantine.LossCounts()) {
    handover.losses.push_back(UpstreamLossNotice{ fingerprint, losses });
  }
  handover.answerStatistics = aState.cascade.Export();
  handover.trials = aState.guard.ExportTrials();
  handover.badAnswerRates = aState.guard.ExportNorms();
  return handover;
}

/// Sends each pin that this instance is a home of to its other homes.
void
SpreadPins(RouterState& aState)
{
  std::map<InstanceId, std::vector<PinReply>> byHome;
  for (const auto& [session, version] : aState.pins.All()) {
    const std::set<InstanceId> homes = PinHomes(aState, session);
    for (const InstanceId home : homes) {
      if (home != aState.options.self) {
        byHome[home].push_back(PinReply{ session, version, 0, false });
      }
    }
  }
  for (auto& [home, pins] : byHome) {
    std::sort(
      pins.begin(), pins.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.session < aRight.session;
      });
    for (std::size_t at = 0; at < pins.size(); at += kPinsPerMessage) {
      const auto begin = pins.begin() + static_cast<std::ptrdiff_t>(at);
      const auto count = std::min(kPinsPerMessage, pins.size() - at);
      const auto end = begin + static_cast<std::ptrdiff_t>(count);
      aState.Send(home, PinBatch{ { begin, end } });
    }
  }
}

} // namespace

void
MembersChanged(RouterState& aState)
{
  if (!aState.spreadPins) {
    aState.spreadPins = true;
    aState.spreadPinsAt = aState.now + kPinDelay;
  }
}

void
PumpHandover(RouterState& aState)
{
  for (const InstanceId joiner : aState.members.TakeJoined()) {
    MembersChanged(aState);
    if (HandsOverTo(aState, joiner)) {
      aState.Send(joiner, MakeHandover(aState));
    }
  }
  if (aState.spreadPins && aState.now >= aState.spreadPinsAt) {
    aState.spreadPins = false;
    SpreadPins(aState);
  }
}

void
TakeHandover(RouterState& aState, const StateTransfer& aHandover)
{
  for (const UpstreamLossNotice& loss : aHandover.losses) {
    aState.quarantine.Merge(loss.fingerprint, loss.losses);
  }
  aState.cascade.Import(aHandover.answerStatistics);
  aState.guard.Import(aHandover);
}

void
TakePins(RouterState& aState, const PinBatch& aBatch)
{
  const auto& withdrawn = aState.configuration.live.withdrawn;
  for (const PinReply& pin : aBatch.pins) {
    const bool usable = pin.version.value < aState.settings.versions.size() &&
                        !withdrawn.contains(pin.version);
    if (usable) {
      aState.pins.Propose(pin.session, pin.version);
    }
  }
}

} // namespace hibiscusnotch::core
