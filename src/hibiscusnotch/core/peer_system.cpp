#include "peer_system.hpp"

#include "answer_system.hpp"
#include "configuration_system.hpp"
#include "handover_system.hpp"
#include "journal_system.hpp"
#include "planning.hpp"
#include "request_system.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr std::size_t kMaxRatingsKept = 1000;
constexpr Duration kEvidenceRefresh{ 1'000'000 };

void
TakeEvidence(RouterState& aState, InstanceId aFrom, const UpstreamStatus& aWord)
{
  if (aWord.upstream.value >= aState.upstreams.Size()) {
    return;
  }
  aState.upstreams.HearPeer(aState.now, aFrom, aWord);
}

void
TakeHeartbeat(RouterState& aState,
              InstanceId aFrom,
              const Heartbeat& aHeartbeat)
{
  if (!aState.members.Hear(aState.now, aFrom, aHeartbeat, *aState.actions)) {
    return;
  }
  for (const UpstreamStatus& word : aHeartbeat.upstreams) {
    TakeEvidence(aState, aFrom, word);
  }
  for (const Rating& rating : aHeartbeat.ratings) {
    TakeRating(aState, rating, false);
  }
  const ConfigurationTable& table = aState.configuration;
  if (aHeartbeat.configurationRevision <= table.live.revision) {
    aState.wokenUntil = aState.now;
  }
  if (aHeartbeat.configurationRevision < table.live.revision) {
    aState.Send(aFrom, ConfigurationUpdate{ table.live.revision, table.body });
    return;
  }
  if (aHeartbeat.configurationRevision > table.live.revision) {
    aState.Send(aFrom, ConfigurationRequest{});
  }
  for (const VersionId version : aHeartbeat.halted) {
    const bool news = version.value < aState.settings.versions.size() &&
                      !aState.guard.Halted().contains(version);
    if (news) {
      HaltVersion(aState, version, false);
    }
  }
}

struct PeerVisitor
{
  RouterState& state;
  InstanceId from;

  void operator()(Heartbeat& aMessage) { TakeHeartbeat(state, from, aMessage); }
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
    state.claims.Ask(from, std::move(aMessage));
  }
  void operator()(ClaimReply& aMessage) { ClaimDecided(state, aMessage); }
  void operator()(ClaimEnd& aMessage) { state.claims.End(std::move(aMessage)); }
  void operator()(BillBatch& aMessage) { HoldBills(state, from, aMessage); }
  void operator()(BillReceipt& aMessage) { TakeReceipt(state, from, aMessage); }
  void operator()(BillsCommitted& aMessage)
  {
    state.bills.Settle(from, aMessage.sequences);
  }
  void operator()(PinRequest& aMessage)
  {
    const PinReply reply = SettlePin(state, aMessage);
    state.Send(from, reply);
    CopyPin(state, reply);
  }
  void operator()(PinReply& aMessage) { PinKnown(state, aMessage); }
  void operator()(UpstreamLossNotice& aMessage)
  {
    state.quarantine.Merge(aMessage.fingerprint, aMessage.losses);
  }
  void operator()(PinBatch& aMessage) { TakePins(state, aMessage); }
  void operator()(StateTransfer& aMessage) { TakeHandover(state, aMessage); }
};

/// Own counts that changed, and what was heard directly, a bounded number.
std::vector<UpstreamStatus>
GatherEvidence(RouterState& aState)
{
  std::vector<UpstreamStatus> evidence;
  const std::size_t size = aState.upstreams.Size();
  for (std::size_t i = 0; i < size; ++i) {
    aState.evidenceCursor = (aState.evidenceCursor + 1) % size;
    const UpstreamId id{ static_cast<uint32_t>(aState.evidenceCursor) };
    UpstreamRow& row = aState.upstreams.At(id);
    const bool changed = row.running != row.toldPeers || row.lostUntold;
    if (!changed && aState.now < row.nextTold) {
      continue;
    }
    const bool silent = !row.heard && row.running == 0 && !row.lostUntold;
    if (!changed && silent) {
      continue;
    }
    row.toldPeers = row.running;
    row.nextTold = aState.now + kEvidenceRefresh;
    evidence.push_back(UpstreamStatus{
      id, row.incarnation, row.lostUntold, row.running, row.leaving });
    row.lostUntold = false;
    if (evidence.size() >= aState.cadence.upstreamsPerHeartbeat) {
      break;
    }
  }
  return evidence;
}

Heartbeat
MakeHeartbeat(RouterState& aState)
{
  Heartbeat heartbeat;
  heartbeat.incarnation = aState.options.incarnation;
  heartbeat.sequence = aState.heartbeatSequence++;
  heartbeat.configurationRevision = aState.configuration.live.revision;
  heartbeat.leaving = aState.draining;
  heartbeat.upstreams = GatherEvidence(aState);
  auto& ratings = aState.ratingsToShare;
  const std::size_t count =
    std::min(aState.cadence.ratingsPerHeartbeat, ratings.size());
  const auto end = ratings.begin() + static_cast<std::ptrdiff_t>(count);
  heartbeat.ratings.assign(ratings.begin(), end);
  ratings.erase(ratings.begin(), end);
  const auto& halted = aState.guard.Halted();
  heartbeat.halted.assign(halted.begin(), halted.end());
  heartbeat.members = aState.members.Digest();
  return heartbeat;
}

} // namespace

void
TakePeerMessage(RouterState& aState, InstanceId aFrom, PeerMessage aMessage)
{
  std::visit(PeerVisitor{ aState, aFrom }, aMessage);
}

void
PumpMembership(RouterState& aState)
{
  for (const InstanceId silent :
       aState.members.Sweep(aState.now, *aState.actions)) {
    aState.upstreams.ForgetPeer(silent);
    aState.bills.Suspect(aState.now, silent);
    MembersChanged(aState);
  }
  PumpHandover(aState);
  if (aState.now < aState.nextHeartbeat) {
    return;
  }
  aState.nextHeartbeat = aState.now + aState.cadence.heartbeatInterval;
  const Heartbeat heartbeat = MakeHeartbeat(aState);
  for (const InstanceId peer : aState.members.HeartbeatTargets()) {
    aState.Send(peer, heartbeat);
  }
}

void
TakeRating(RouterState& aState, const Rating& aRating, bool aShare)
{
  const bool known =
    aRating.version.value < aState.settings.versions.size() &&
    aRating.requestClass.value < aState.settings.classes.size() &&
    aRating.confidenceBin < kConfidenceBins;
  if (!known) {
    return;
  }
  aState.cascade.CountRating(aRating);
  if (aShare && aState.ratingsToShare.size() < kMaxRatingsKept) {
    aState.ratingsToShare.push_back(aRating);
  }
  if (aState.guard.CountRating(aRating)) {
    HaltVersion(aState, aRating.version, true);
  }
}

} // namespace hibiscusnotch::core
