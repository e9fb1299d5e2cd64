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
EstimatedWait(const RouterState& aState, const RequestState& aRequest)
{
  const VersionId version = CurrentVersion(aRequest);
  const FairQueue& queue = aState.queues[version.value];
  const OrganisationId organisation = aRequest.arrival.organisation;
  const double weight = aState.settings.At(organisation).weight;
  const double rate = std::max(0.2, aState.dispatchRate[version.value]) *
                      queue.DispatchShare(organisation, weight);
  return FromSeconds(queue.WaitingCount(organisation) / rate);
}

/// True when an upstream was lost while it ran the request.
bool
IsPoisonSuspect(const RouterState& aState, const RequestState& aRequest)
{
  return aState.quarantine.Losses(aRequest.arrival.fingerprint) > 0;
}

/// Starts an attempt; the only function that sends work to upstreams.
bool
Dispatch(RouterState& aState,
         RequestState& aRequest,
         UpstreamId aUpstream,
         Reason& aLastReason)
{
  const VersionId version = CurrentVersion(aRequest);
  if (!DispatchAllowed(aState.MakeDispatchContext(),
                       aRequest.arrival.organisation,
                       version,
                       aUpstream,
                       aLastReason)) {
    return false;
  }
  aRequest.attempt = aState.nextAttempt++;
  aRequest.upstream = aUpstream;
  aRequest.receivedTokens = aRequest.forwardedTokens;
  aRequest.buffer = BufferedAnswer{ version, {} };
  aRequest.stage = RequestStage::Running;
  aRequest.attemptStartedAt = aState.now;
  aRequest.lastProgress = aState.now;
  if (aRequest.attemptCount++ == 0) {
    aState.retryBudget.RecordFirstAttempt();
  }
  ++aState.counters.dispatched;
  ++aState.dispatchCounts[version.value];
  UpstreamState& upstream = aState.upstreams.At(aUpstream);
  ++upstream.running;
  upstream.nextDemandPoll = aState.now + kFirstDemandPollDelay;
  aRequest.poisonSuspect = IsPoisonSuspect(aState, aRequest);
  upstream.poisonSuspects += aRequest.poisonSuspect ? 1 : 0;
  aState.requestsByAttempt[aRequest.attempt] = aRequest.arrival.handle;
  aState.Emit(StartAttempt{ aRequest.attempt,
                            aRequest.arrival.handle,
                            aUpstream,
                            version,
                            aRequest.forwardedTokens });
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
TryDispatch(RouterState& aState, RequestState& aRequest, Reason& aLastReason)
{
  const bool suspect = IsPoisonSuspect(aState, aRequest);
  const Placement placement{ aRequest.arrival.organisation,
                             CurrentVersion(aRequest),
                             aRequest.arrival.prefix,
                             aRequest.avoidUpstream,
                             suspect ? aRequest.arrival.fingerprint : 0 };
  const auto upstream =
    aState.balancer.Pick(aState.MakeDispatchContext(), placement, aLastReason);
  return upstream && Dispatch(aState, aRequest, *upstream, aLastReason);
}

void
PlanAndQueue(RouterState& aState, RequestHandle aHandle);

/// Continues a planned request: with a claim if it must not run twice.
void
ClaimOrQueue(RouterState& aState, RequestHandle aHandle)
{
  RequestState& request = aState.requests.at(aHandle);
  if (ClassOf(aState, request).repeatable || request.claimHeld) {
    Enqueue(aState, aHandle, false);
    return;
  }
  request.stage = RequestStage::Claiming;
  request.owner = aState.settings.At(aState.options.self).name + "." +
                  std::to_string(aState.options.incarnation) + "." +
                  std::to_string(aHandle);
  request.claimTimeout = aState.now + kClaimTimeout;
  request.claimAttemptCount = 1;
  aState.requestsByClaimOwner[request.owner] = aHandle;
  RequestClaim(aState, ClaimRequest{ request.key, request.owner }, 0);
}

void
UsePin(RouterState& aState, RequestHandle aHandle, VersionId aVersion)
{
  RequestState& request = aState.requests.at(aHandle);
  Reason reason = Reason::None;
  if (!VersionAllowed(aState.MakeDispatchContext(),
                      request.arrival.organisation,
                      aVersion,
                      reason)) {
    GiveUp(aState, aHandle, reason, kRetryAfterShort);
    return;
  }
  request.plan = { PlanStep{ aVersion, 0 } };
  ClaimOrQueue(aState, aHandle);
}

/// The instance to ask for a session's pin: the fleet-wide home, then the
/// zone's home, then this instance.
InstanceId
PinAuthority(const RouterState& aState, const RequestState& aRequest)
{
  if (aRequest.pinAttemptCount == 0) {
    return HomeOf(aRequest.session, aState.members.Live());
  }
  if (aRequest.pinAttemptCount < kMaxPinAttempts) {
    const ZoneId zone = aState.settings.At(aState.options.self).zone;
    return PinHome(aState, aRequest.session, zone);
  }
  return aState.options.self;
}

void
PlanSession(RouterState& aState, RequestHandle aHandle)
{
  RequestState& request = aState.requests.at(aHandle);
  auto pin = aState.pins.Find(request.session);
  if (!pin && request.arrival.pinnedVersion.Valid()) {
    pin =
      aState.pins.PinIfAbsent(request.session, request.arrival.pinnedVersion);
  }
  if (pin && !aState.configuration.live.withdrawn.contains(*pin)) {
    UsePin(aState, aHandle, *pin);
    return;
  }
  request.pinBroken = pin.has_value();
  Reason reason = Reason::None;
  request.pinProposal = SessionVersion(aState, request, reason);
  if (!request.pinProposal.Valid()) {
    GiveUp(aState, aHandle, reason, kRetryAfterShort);
    return;
  }
  RequestPin(aState, request);
}

void
PlanAndQueue(RouterState& aState, RequestHandle aHandle)
{
  RequestState& request = aState.requests.at(aHandle);
  if (request.session != 0) {
    PlanSession(aState, aHandle);
    return;
  }
  Reason reason = Reason::None;
  const auto eligible = EligibleVersions(aState, request, reason);
  if (eligible.empty()) {
    GiveUp(aState, aHandle, reason, Duration(0));
    return;
  }
  request.step = 0;
  request.plan = aState.cascade.MakePlan(request.arrival.requestClass,
                                         request.arrival.organisation,
                                         eligible,
                                         false);
  ClaimOrQueue(aState, aHandle);
}

} // namespace

void
Enqueue(RouterState& aState, RequestHandle aHandle, bool aFront)
{
  RequestState& request = aState.requests.at(aHandle);
  request.stage = RequestStage::Queued;
  const VersionId version = CurrentVersion(request);
  FairQueue& queue = aState.queues[version.value];
  const Organisation& organisation =
    aState.settings.At(request.arrival.organisation);
  const QueuedRequest entry{ aHandle,
                             request.arrival.organisation,
                             organisation.weight,
                             ClassOf(aState, request).priority,
                             1.0 };
  if (aFront) {
    queue.PushFront(entry);
    return;
  }
  const std::size_t waiting = queue.WaitingCount(request.arrival.organisation);
  if (waiting >= aState.settings.limits.maxQueuePerOrganisation) {
    GiveUp(aState, aHandle, Reason::QueueFull, kRetryAfterUnknown);
    return;
  }
  const Duration wait = EstimatedWait(aState, request);
  if (waiting > 0 && aState.now + wait > request.deadline) {
    GiveUp(aState, aHandle, Reason::DeadlineTooShort, wait);
    return;
  }
  queue.Push(entry);
}

void
RequestPin(RouterState& aState, RequestState& aRequest)
{
  const PinRequest pinRequest{ aRequest.session,
                               aRequest.pinProposal,
                               aRequest.arrival.handle };
  const InstanceId authority = PinAuthority(aState, aRequest);
  if (authority == aState.options.self) {
    const PinReply reply = ResolvePin(aState, pinRequest);
    ReplicatePin(aState, reply);
    HandlePinReply(aState, reply);
    return;
  }
  ++aRequest.pinAttemptCount;
  aRequest.stage = RequestStage::Pinning;
  aRequest.pinTimeout = aState.now + kPinTimeout;
  aState.Send(authority, pinRequest);
}

void
HandleRequest(RouterState& aState, RequestArrived aRequest)
{
  const RequestHandle handle = aRequest.handle;
  RequestState request;
  request.arrival = std::move(aRequest);
  const RequestClass& requestClass = ClassOf(aState, request);
  const Duration limit = request.arrival.deadline.count() > 0
                           ? request.arrival.deadline
                           : requestClass.deadline;
  request.deadline = aState.now + limit;
  const std::string& organisation =
    aState.settings.At(request.arrival.organisation).name;
  request.key = organisation + "/" + request.arrival.requestId;
  if (!request.arrival.session.empty()) {
    request.session =
      MixHash(StableHash(organisation + "/" + request.arrival.session),
              requestClass.service.value);
  }
  const bool held =
    aState.quarantine.IsQuarantined(request.arrival.fingerprint);
  request.mayHaveRun = held;
  aState.requests.emplace(handle, std::move(request));
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
  RequestState& request = found->second;
  if (!ClassOf(aState, request).repeatable) {
    // It runs on; its outcome is stored for the caller's retry.
    return;
  }
  if (request.stage == RequestStage::Billing) {
    return;
  }
  if (request.stage == RequestStage::Queued) {
    aState.queues[CurrentVersion(request).value].Remove(
      request.arrival.organisation, aHandle);
  }
  if (request.attempt != 0) {
    aState.Emit(CancelAttempt{ request.attempt, request.upstream });
    EndAttempt(aState, request);
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
  RequestState& request = found->second;
  const bool waits = request.session == aReply.session && request.plan.empty();
  if (!waits) {
    return;
  }
  if (pin != aReply.version &&
      aState.configuration.live.withdrawn.contains(pin)) {
    aState.pins.Replace(aReply.session, aReply.version);
  }
  request.pinBroken = request.pinBroken || aReply.broken;
  if (request.pinBroken) {
    aState.EmitLog(EventNumber::SessionPinBroken, "request=" + request.key);
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
  RequestState& request = aState.requests.at(handle);
  if (request.stage != RequestStage::Claiming) {
    return;
  }
  switch (aReply.state) {
    case ClaimState::Granted:
      request.claimHeld = true;
      Enqueue(aState, handle, false);
      return;
    case ClaimState::Done:
      // The instance that ran it may have crashed before its bill was
      // replicated.
      request.finalAction = ReplayOutcome{ handle, aReply.outcome };
      StartBilling(aState, request, aReply.microUnits);
      return;
    case ClaimState::InProgress:
      request.mayHaveRun = true;
      GiveUp(aState, handle, Reason::ClaimInProgress, kRetryAfterShort);
      return;
    case ClaimState::Unavailable:
      aState.EmitLog(EventNumber::ClaimUnavailable, "request=" + request.key);
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
    RequestState& request = aState.requests.at(handle);
    if (request.forwardedTokens > 0) {
      GiveUp(aState, handle, Reason::VersionWithdrawn, kRetryAfterShort);
      continue;
    }
    request.plan.clear();
    request.step = 0;
    request.pinAttemptCount = 0;
    PlanAndQueue(aState, handle);
  }
}

void
DispatchQueuedRequests(RouterState& aState)
{
  for (FairQueue& queue : aState.queues) {
    while (const auto entry = queue.Pop()) {
      RequestState& request = aState.requests.at(entry->handle);
      Reason reason = Reason::None;
      if (TryDispatch(aState, request, reason)) {
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
