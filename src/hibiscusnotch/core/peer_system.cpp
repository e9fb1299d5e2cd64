#include "peer_system.hpp"

#include "answer_system.hpp"
#include "configuration_system.hpp"
#include "journal_system.hpp"
#include "planning.hpp"
#include "request_system.hpp"
#include "state_transfer_system.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr std::size_t kMaxQueuedRatings = 1000;
constexpr Duration kUpstreamStatusRefresh{ 1'000'000 };

void
HandleUpstreamStatus(RouterState& aState,
                     InstanceId aFrom,
                     const UpstreamStatus& aStatus)
{
  if (aStatus.upstream.value >= aState.upstreams.Size()) {
    return;
  }
  aState.upstreams.RecordPeerStatus(aState.now, aFrom, aStatus);
}

void
HandleHeartbeat(RouterState& aState,
                InstanceId aFrom,
                const Heartbeat& aHeartbeat)
{
  if (!aState.members.RecordHeartbeat(
        aState.now, aFrom, aHeartbeat, *aState.actions)) {
    return;
  }
  for (const UpstreamStatus& status : aHeartbeat.upstreams) {
    HandleUpstreamStatus(aState, aFrom, status);
  }
  for (const Rating& rating : aHeartbeat.ratings) {
    HandleRating(aState, rating, false);
  }
  const ConfigurationTable& table = aState.configuration;
  if (aHeartbeat.configurationRevision <= table.live.revision) {
    aState.resyncUntil = aState.now;
  }
  if (aHeartbeat.configurationRevision < table.live.revision) {
    aState.Send(aFrom, ConfigurationUpdate{ table.live.revision, table.body });
    return;
  }
  if (aHeartbeat.configurationRevision > table.live.revision) {
    aState.Send(aFrom, ConfigurationRequest{});
  }
  for (const VersionId version : aHeartbeat.halted) {
    const bool newlyHalted = version.value < aState.settings.versions.size() &&
                             !aState.rolloutGuard.Halted().contains(version);
    if (newlyHalted) {
      HaltVersion(aState, version, false);
    }
  }
}

struct PeerVisitor
{
  RouterState& state;
  InstanceId from;

  void operator()(Heartbeat& aMessage)
  {
    HandleHeartbeat(state, from, aMessage);
  }
  void operator()(ConfigurationUpdate& aMessage)
  {
    ApplyConfiguration(state, aMessage.revision, aMessage.body);
  }
  void operator()(ConfigurationRequest&)
  {
    const ConfigurationTable& table = state.configuration;
    if (table.live.revision > 0) {
      state.Send(from, ConfigurationUpdate{ table.live.revision, table.body });
    }
  }
  void operator()(ClaimRequest& aMessage)
  {
    state.claims.QueueClaim(from, std::move(aMessage));
  }
  void operator()(ClaimReply& aMessage) { HandleClaimReply(state, aMessage); }
  void operator()(ClaimEnd& aMessage)
  {
    state.claims.QueueEnd(std::move(aMessage));
  }
  void operator()(BillBatch& aMessage) { StoreBills(state, from, aMessage); }
  void operator()(BillReceipt& aMessage)
  {
    HandleBillReceipt(state, from, aMessage);
  }
  void operator()(BillsCommitted& aMessage)
  {
    state.bills.DropBackups(from, aMessage.sequences);
  }
  void operator()(PinRequest& aMessage)
  {
    const PinReply reply = ResolvePin(state, aMessage);
    state.Send(from, reply);
    ReplicatePin(state, reply);
  }
  void operator()(PinReply& aMessage) { HandlePinReply(state, aMessage); }
  void operator()(UpstreamLossNotice& aMessage)
  {
    state.quarantine.Merge(aMessage.fingerprint, aMessage.losses);
  }
  void operator()(PinBatch& aMessage) { ImportPins(state, aMessage); }
  void operator()(StateTransfer& aMessage)
  {
    ImportStateTransfer(state, aMessage);
  }
};

/// Statuses that changed or are due for a refresh, at most as many as fit into
/// one heartbeat.
std::vector<UpstreamStatus>
CollectUpstreamStatuses(RouterState& aState)
{
  std::vector<UpstreamStatus> statuses;
  const std::size_t size = aState.upstreams.Size();
  for (std::size_t i = 0; i < size; ++i) {
    aState.upstreamStatusCursor = (aState.upstreamStatusCursor + 1) % size;
    const UpstreamId id{ static_cast<uint32_t>(aState.upstreamStatusCursor) };
    UpstreamState& upstreamState = aState.upstreams.At(id);
    const bool changed =
      upstreamState.running != upstreamState.gossipedRunning ||
      upstreamState.lossUnreported;
    if (!changed && aState.now < upstreamState.nextGossip) {
      continue;
    }
    const bool silent = !upstreamState.contacted &&
                        upstreamState.running == 0 &&
                        !upstreamState.lossUnreported;
    if (!changed && silent) {
      continue;
    }
    upstreamState.gossipedRunning = upstreamState.running;
    upstreamState.nextGossip = aState.now + kUpstreamStatusRefresh;
    statuses.push_back(UpstreamStatus{ id,
                                       upstreamState.incarnation,
                                       upstreamState.lossUnreported,
                                       upstreamState.running,
                                       upstreamState.leaving });
    upstreamState.lossUnreported = false;
    if (statuses.size() >= aState.gossip.upstreamsPerHeartbeat) {
      break;
    }
  }
  return statuses;
}

Heartbeat
MakeHeartbeat(RouterState& aState)
{
  Heartbeat heartbeat;
  heartbeat.incarnation = aState.options.incarnation;
  heartbeat.sequence = aState.heartbeatSequence++;
  heartbeat.configurationRevision = aState.configuration.live.revision;
  heartbeat.leaving = aState.draining;
  heartbeat.upstreams = CollectUpstreamStatuses(aState);
  auto& ratings = aState.ratingsToShare;
  const std::size_t count =
    std::min(aState.gossip.ratingsPerHeartbeat, ratings.size());
  const auto end = ratings.begin() + static_cast<std::ptrdiff_t>(count);
  heartbeat.ratings.assign(ratings.begin(), end);
  ratings.erase(ratings.begin(), end);
  const auto& halted = aState.rolloutGuard.Halted();
  heartbeat.halted.assign(halted.begin(), halted.end());
  heartbeat.members = aState.members.MakeDigests();
  return heartbeat;
}

} // namespace

void
HandlePeerMessage(RouterState& aState, InstanceId aFrom, PeerMessage aMessage)
{
  std::visit(PeerVisitor{ aState, aFrom }, aMessage);
}

void
AdvanceMembership(RouterState& aState)
{
  for (const InstanceId silent :
       aState.members.ExpireSilentMembers(aState.now, *aState.actions)) {
    aState.upstreams.ForgetPeer(silent);
    aState.bills.HandleSuspectedInstance(aState.now, silent);
    MembersChanged(aState);
  }
  StartStateTransfers(aState);
  if (aState.now < aState.nextHeartbeat) {
    return;
  }
  aState.nextHeartbeat = aState.now + aState.gossip.heartbeatInterval;
  const Heartbeat heartbeat = MakeHeartbeat(aState);
  for (const InstanceId peer : aState.members.HeartbeatTargets()) {
    aState.Send(peer, heartbeat);
  }
}

void
HandleRating(RouterState& aState, const Rating& aRating, bool aShareWithPeers)
{
  const bool known =
    aRating.version.value < aState.settings.versions.size() &&
    aRating.requestClass.value < aState.settings.classes.size() &&
    aRating.confidenceBin < kConfidenceBins;
  if (!known) {
    return;
  }
  aState.cascade.RecordRating(aRating);
  if (aShareWithPeers && aState.ratingsToShare.size() < kMaxQueuedRatings) {
    aState.ratingsToShare.push_back(aRating);
  }
  if (aState.rolloutGuard.RecordRating(aRating)) {
    HaltVersion(aState, aRating.version, true);
  }
}

} // namespace hibiscusnotch::core
