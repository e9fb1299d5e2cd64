#include "state_transfer_system.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "planning.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kPinSyncDelay{ 200'000 }; ///< Batches membership changes.
constexpr std::size_t kMaxPinsPerMessage = 1000;

/// True when this instance is the one that sends its state to the joiner: one
/// of the joiner's zone if there is any, else one of the fleet.
bool
IsStateDonorFor(const RouterState& aState, InstanceId aJoiner)
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
MakeStateTransfer(const RouterState& aState)
{
  StateTransfer transfer;
  for (const auto& [fingerprint, losses] : aState.quarantine.LossCounts()) {
    transfer.losses.push_back(UpstreamLossNotice{ fingerprint, losses });
  }
  transfer.answerStatistics = aState.cascade.Export();
  transfer.trials = aState.rolloutGuard.ExportTrials();
  transfer.badAnswerRates = aState.rolloutGuard.ExportBadAnswerRates();
  return transfer;
}

/// Sends every pin stored here to its other homes.
void
SyncPins(RouterState& aState)
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
    for (std::size_t at = 0; at < pins.size(); at += kMaxPinsPerMessage) {
      const auto begin = pins.begin() + static_cast<std::ptrdiff_t>(at);
      const auto count = std::min(kMaxPinsPerMessage, pins.size() - at);
      const auto end = begin + static_cast<std::ptrdiff_t>(count);
      aState.Send(home, PinBatch{ { begin, end } });
    }
  }
}

} // namespace

void
MembersChanged(RouterState& aState)
{
  if (!aState.pinSyncPending) {
    aState.pinSyncPending = true;
    aState.pinSyncAt = aState.now + kPinSyncDelay;
  }
}

void
StartStateTransfers(RouterState& aState)
{
  for (const InstanceId joiner : aState.members.TakeJoined()) {
    MembersChanged(aState);
    if (IsStateDonorFor(aState, joiner)) {
      aState.Send(joiner, MakeStateTransfer(aState));
    }
  }
  if (aState.pinSyncPending && aState.now >= aState.pinSyncAt) {
    aState.pinSyncPending = false;
    SyncPins(aState);
  }
}

void
ImportStateTransfer(RouterState& aState, const StateTransfer& aTransfer)
{
  for (const UpstreamLossNotice& loss : aTransfer.losses) {
    aState.quarantine.Merge(loss.fingerprint, loss.losses);
  }
  aState.cascade.Import(aTransfer.answerStatistics);
  aState.rolloutGuard.Import(aTransfer);
}

void
ImportPins(RouterState& aState, const PinBatch& aBatch)
{
  const auto& withdrawn = aState.configuration.live.withdrawn;
  for (const PinReply& pin : aBatch.pins) {
    const bool usable = pin.version.value < aState.settings.versions.size() &&
                        !withdrawn.contains(pin.version);
    if (usable) {
      aState.pins.PinIfAbsent(pin.session, pin.version);
    }
  }
}

} // namespace hibiscusnotch::core
