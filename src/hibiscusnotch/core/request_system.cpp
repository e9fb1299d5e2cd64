#include "request_system.hpp"

#include "configuration_system.hpp"
#include "hibiscusnotch/core/rendezvous.hpp"
#include "journal_system.hpp"
#include "planning.hpp"
#include "request_steps.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kPinTimeout{ 30'000 };
constexpr int kMaxPinAttempts = 2;
constexpr Duration kClaimTimeout{ 1'000'000 };
/// After a dispatch, an upstream is not polled for silence before this time.
constexpr Duration kFirstDemandPollDelay{ 1'000'000 };

Duration
EstimatedWait(const RouterState& aState, const RequestRow& aRow)
{
  const VersionId version = CurrentVersion(aRow);
  const FairQueue& queue = aState.queues[version.value];
  const OrganisationId organisation = aRow.request.organisation;
  const double weight = aState.settings.At(organisation).weight;
  const double rate = std::max(0.2, aState.dispatchRate[version.value]) *
                      queue.DispatchShare(organisation, weight);
  return FromSeconds(queue.WaitingCount(organisation) / rate);
}

/// True when an upstream was lost while it ran the request.
bool
IsPoisonSuspect(const RouterState& aState, const RequestRow& aRow)
{
  return aState.quarantine.Losses(aRow.request.fingerprint) > 0;
}

/// Starts an attempt; the only function that sends work to upstreams.
bool
Dispatch(RouterState& aState,
         RequestRow& aRow,
         UpstreamId aUpstream,
         Reason& aLastReason)
{
  const VersionId version = CurrentVersion(aRow);
  if (!DispatchAllowed(aState.MakeDispatchContext(),
                       aRow.request.organisation,
                       version,
                       aUpstream,
                       aLastReason)) {
    return false;
  }
  aRow.attempt = aState.nextAttempt++;
  aRow.upstream = aUpstream;
  aRow.receivedTokens = aRow.forwardedTokens;
  aRow.buffer = BufferedAnswer{ version, {} };
  aRow.stage = RequestStage::Running;
  aRow.attemptStartedAt = aState.now;
  aRow.lastProgress = aState.now;
  if (aRow.attemptCount++ == 0) {
    aState.retryBudget.RecordFirstAttempt();
  }
  ++aState.counters.dispatched;
  ++aState.dispatchCounts[version.value];
  UpstreamRow& upstream = aState.upstreams.At(aUpstream);
  ++upstream.running;
  upstream.nextDemandPoll = aState.now + kFirstDemandPollDelay;
  aRow.poisonSuspect = IsPoisonSuspect(aState, aRow);
  upstream.poisonSuspects += aRow.poisonSuspect ? 1 : 0;
  aState.requestsByAttempt[aRow.attempt] = aRow.request.handle;
  aState.Emit(StartAttempt{ aRow.attempt,
                            aRow.request.handle,
                            aUpstream,
                            version,
                            aRow.forwardedTokens });
  return true;
}

bool
IsVersionRefusal(Reason aReason)
{
  return aReason == Reason::ForbiddenVersion ||
         aReason == Reason::VersionWithdrawn ||
         aReason == Reason::VersionHalted;
}

/// Picks an upstream and dispatches; false when no upstream is allowed.
bool
TryDispatch(RouterState& aState, RequestRow& aRow, Reason& aLastReason)
{
  const bool suspect = IsPoisonSuspect(aState, aRow);
  const Placement placement{ aRow.request.organisation,
                             CurrentVersion(aRow),
                             aRow.request.prefix,
                             aRow.avoidUpstream,
                             suspect ? aRow.request.fingerprint : 0 };
  const auto upstream =
    aState.balancer.Pick(aState.MakeDispatchContext(), placement, aLastReason);
  return upstream && Dispatch(aState, aRow, *upstream, aLastReason);
}

void
PlanAndQueue(RouterState& aState, RequestHandle aHandle);

/// Continues a planned request: with a claim if it must not run twice.
void
ClaimOrQueue(RouterState& aState, RequestHandle aHandle)
{
  RequestRow& row = aState.requests.at(aHandle);
  if (ClassOf(aState, row).repeatable || row.claimHeld) {
    Enqueue(aState, aHandle, false);
    return;
  }
  row.stage = RequestStage::Claiming;
  row.owner = aState.settings.At(aState.options.self).name + "." +
              std::to_string(aState.options.incarnation) + "." +
              std::to_string(aHandle);
  row.claimTimeout = aState.now + kClaimTimeout;
  row.claimAttemptCount = 1;
  aState.requestsByClaimOwner[row.owner] = aHandle;
  RequestClaim(aState, ClaimRequest{ row.key, row.owner }, 0);
}

void
UsePin(RouterState& aState, RequestHandle aHandle, VersionId aVersion)
{
  RequestRow& row = aState.requests.at(aHandle);
  Reason reason = Reason::None;
  if (!VersionAllowed(aState.MakeDispatchContext(),
                      row.request.organisation,
                      aVersion,
                      reason)) {
    GiveUp(aState, aHandle, reason, kRetryAfterShort);
    return;
  }
  row.plan = { PlanStep{ aVersion, 0 } };
  ClaimOrQueue(aState, aHandle);
}

/// The instance to ask for a session's pin: the fleet-wide home, then the
/// zone's home, then this instance.
InstanceId
PinAuthority(const RouterState& aState, const RequestRow& aRow)
{
  if (aRow.pinAttemptCount == 0) {
    return HomeOf(aRow.session, aState.members.Live());
  }
  if (aRow.pinAttemptCount < kMaxPinAttempts) {
    const ZoneId zone = aState.settings.At(aState.options.self).zone;
    return PinHome(aState, aRow.session, zone);
  }
  return aState.options.self;
}

void
PlanSession(RouterState& aState, RequestHandle aHandle)
{
  RequestRow& row = aState.requests.at(aHandle);
  auto pin = aState.pins.Find(row.session);
  if (!pin && row.request.pinnedVersion.Valid()) {
    pin = aState.pins.PinIfAbsent(row.session, row.request.pinnedVersion);
  }
  if (pin && !aState.configuration.live.withdrawn.contains(*pin)) {
    UsePin(aState, aHandle, *pin);
    return;
  }
  row.pinBroken = pin.has_value();
  Reason reason = Reason::None;
  row.pinProposal = SessionVersion(aState, row, reason);
  if (!row.pinProposal.Valid()) {
    GiveUp(aState, aHandle, reason, kRetryAfterShort);
    return;
  }
  RequestPin(aState, row);
}

void
PlanAndQueue(RouterState& aState, RequestHandle aHandle)
{
  RequestRow& row = aState.requests.at(aHandle);
  if (row.session != 0) {
    PlanSession(aState, aHandle);
    return;
  }
  Reason reason = Reason::None;
  const auto eligible = EligibleVersions(aState, row, reason);
  if (eligible.empty()) {
    GiveUp(aState, aHandle, reason, Duration(0));
    return;
  }
  row.step = 0;
  row.plan = aState.cascade.MakePlan(
    row.request.requestClass, row.request.organisation, eligible, false);
  ClaimOrQueue(aState, aHandle);
}

} // namespace

void
Enqueue(RouterState& aState, RequestHandle aHandle, bool aFront)
{
  RequestRow& row = aState.requests.at(aHandle);
  row.stage = RequestStage::Queued;
  const VersionId version = CurrentVersion(row);
  FairQueue& queue = aState.queues[version.value];
  const Organisation& organisation =
    aState.settings.At(row.request.organisation);
  const QueuedRequest entry{ aHandle,
                             row.request.organisation,
                             organisation.weight,
                             ClassOf(aState, row).priority,
                             1.0 };
  if (aFront) {
    queue.PushFront(entry);
    return;
  }
  const std::size_t waiting = queue.WaitingCount(row.request.organisation);
  if (waiting >= aState.settings.limits.maxQueuePerOrganisation) {
    GiveUp(aState, aHandle, Reason::QueueFull, kRetryAfterUnknown);
    return;
  }
  const Duration wait = EstimatedWait(aState, row);
  if (waiting > 0 && aState.now + wait > row.deadline) {
    GiveUp(aState, aHandle, Reason::DeadlineTooShort, wait);
    return;
  }
  queue.Push(entry);
}

void
RequestPin(RouterState& aState, RequestRow& aRow)
{
  const PinRequest pinRequest{ aRow.session,
                               aRow.pinProposal,
                               aRow.request.handle };
  const InstanceId authority = PinAuthority(aState, aRow);
  if (authority == aState.options.self) {
    const PinReply reply = ResolvePin(aState, pinRequest);
    ReplicatePin(aState, reply);
    HandlePinReply(aState, reply);
    return;
  }
  ++aRow.pinAttemptCount;
  aRow.stage = RequestStage::Pinning;
  aRow.pinTimeout = aState.now + kPinTimeout;
  aState.Send(authority, pinRequest);
}

void
HandleRequest(RouterState& aState, RequestArrived aRequest)
{
  const RequestHandle handle = aRequest.handle;
  RequestRow row;
  row.request = std::move(aRequest);
  const RequestClass& requestClass = ClassOf(aState, row);
  const Duration limit = row.request.deadline.count() > 0
                           ? row.request.deadline
                           : requestClass.deadline;
  row.deadline = aState.now + limit;
  const std::string& organisation =
    aState.settings.At(row.request.organisation).name;
  row.key = organisation + "/" + row.request.requestId;
  if (!row.request.session.empty()) {
    row.session = MixHash(StableHash(organisation + "/" + row.request.session),
                          requestClass.service.value);
  }
  const bool held = aState.quarantine.IsQuarantined(row.request.fingerprint);
  row.mayHaveRun = held;
  aState.requests.emplace(handle, std::move(row));
  if (aState.draining && aState.now >= aState.acceptUntil) {
    GiveUp(aState, handle, Reason::ShuttingDown, kRetryAfterShort);
    return;
  }
  if (!ConfigurationReady(aState)) {
    GiveUp(aState, handle, Reason::Starting, kRetryAfterShort);
    return;
  }
  if (held) {
    GiveUp(aState, handle, Reason::Quarantined, Duration(0));
    return;
  }
  PlanAndQueue(aState, handle);
}

void
HandleCallerGone(RouterState& aState, RequestHandle aHandle)
{
  const auto found = aState.requests.find(aHandle);
  if (found == aState.requests.end()) {
    return;
  }
  RequestRow& row = found->second;
  if (!ClassOf(aState, row).repeatable) {
    // It runs on; its outcome is stored for the caller's retry.
    return;
  }
  if (row.stage == RequestStage::Billing) {
    return;
  }
  if (row.stage == RequestStage::Queued) {
    aState.queues[CurrentVersion(row).value].Remove(row.request.organisation,
                                                    aHandle);
  }
  if (row.attempt != 0) {
    aState.Emit(CancelAttempt{ row.attempt, row.upstream });
    EndAttempt(aState, row);
  }
  EraseRequest(aState, aHandle);
}

void
HandlePinReply(RouterState& aState, const PinReply& aReply)
{
  if (aReply.broken) {
    aState.pins.Replace(aReply.session, aReply.version);
  }
  const VersionId pin = aState.pins.PinIfAbsent(aReply.session, aReply.version);
  const auto found = aState.requests.find(aReply.request);
  if (aReply.request == 0 || found == aState.requests.end()) {
    return;
  }
  RequestRow& row = found->second;
  const bool waits = row.session == aReply.session && row.plan.empty();
  if (!waits) {
    return;
  }
  if (pin != aReply.version &&
      aState.configuration.live.withdrawn.contains(pin)) {
    aState.pins.Replace(aReply.session, aReply.version);
  }
  row.pinBroken = row.pinBroken || aReply.broken;
  if (row.pinBroken) {
    aState.EmitLog(EventNumber::SessionPinBroken, "request=" + row.key);
  }
  UsePin(aState, aReply.request, *aState.pins.Find(aReply.session));
}

void
HandleClaimReply(RouterState& aState, const ClaimReply& aReply)
{
  const auto claimant = aState.requestsByClaimOwner.find(aReply.owner);
  if (claimant == aState.requestsByClaimOwner.end()) {
    // A duplicate reply may arrive after the request ran; releasing the claim
    // here could let it run twice.
    return;
  }
  const RequestHandle handle = claimant->second;
  RequestRow& row = aState.requests.at(handle);
  if (row.stage != RequestStage::Claiming) {
    return;
  }
  switch (aReply.state) {
    case ClaimState::Granted:
      row.claimHeld = true;
      Enqueue(aState, handle, false);
      return;
    case ClaimState::Done:
      // The instance that ran it may have crashed before its bill was
      // replicated.
      row.finalAction = ReplayOutcome{ handle, aReply.outcome };
      StartBilling(aState, row, aReply.microUnits);
      return;
    case ClaimState::InProgress:
      row.mayHaveRun = true;
      GiveUp(aState, handle, Reason::ClaimInProgress, kRetryAfterShort);
      return;
    case ClaimState::Unavailable:
      aState.EmitLog(EventNumber::ClaimUnavailable, "request=" + row.key);
      GiveUp(aState, handle, Reason::ClaimUnavailable, kRetryAfterShort);
      return;
  }
}

void
ReplanQueue(RouterState& aState, VersionId aVersion)
{
  FairQueue& queue = aState.queues[aVersion.value];
  std::vector<RequestHandle> waiting;
  while (const auto entry = queue.Pop()) {
    waiting.push_back(entry->handle);
  }
  for (const RequestHandle handle : waiting) {
    RequestRow& row = aState.requests.at(handle);
    if (row.forwardedTokens > 0) {
      GiveUp(aState, handle, Reason::VersionWithdrawn, kRetryAfterShort);
      continue;
    }
    row.plan.clear();
    row.step = 0;
    row.pinAttemptCount = 0;
    PlanAndQueue(aState, handle);
  }
}

void
DispatchQueuedRequests(RouterState& aState)
{
  for (FairQueue& queue : aState.queues) {
    while (const auto entry = queue.Pop()) {
      RequestRow& row = aState.requests.at(entry->handle);
      Reason reason = Reason::None;
      if (TryDispatch(aState, row, reason)) {
        continue;
      }
      if (IsVersionRefusal(reason)) {
        GiveUp(aState, entry->handle, reason, kRetryAfterShort);
        continue;
      }
      queue.PushFront(*entry);
      break;
    }
  }
}

} // namespace hibiscusnotch::core
