#include "failure_system.hpp"

#include "answer_system.hpp"
#include "journal_system.hpp"
#include "request_steps.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kClaimTimeout{ 1'000'000 };
constexpr int kMaxClaimAttempts = 3;
constexpr Duration kBillTimeout{ 40'000 };
constexpr int kMaxBillSends = 5;
constexpr int kMaxUnheldBillSends = 50;
constexpr Duration kProbeTimeout{ 1'000'000 };
constexpr Duration kSuspectTimeAfterLoss{ 300'000 };
constexpr int kFirstTokenDeadlineFactor = 4; ///< Of the progress deadline.
constexpr double kLimitDecreaseFactor = 0.8;

/// Counts an upstream lost while running the request, and tells peers at once.
void
BroadcastUpstreamLoss(RouterState& aState, uint64_t aFingerprint)
{
  const uint32_t losses = aState.quarantine.CountLoss(aFingerprint);
  for (const InstanceId peer : aState.members.HeartbeatTargets()) {
    aState.Send(peer, UpstreamLossNotice{ aFingerprint, losses });
  }
  if (losses == Quarantine::kMaxLosses) {
    aState.EmitLog(EventNumber::RequestQuarantined,
                   "fingerprint=" + std::to_string(aFingerprint));
  }
}

void
RecordUpstreamFailure(RouterState& aState,
                      UpstreamId aUpstream,
                      const AttemptFailed& aFailure)
{
  UpstreamState& upstream = aState.upstreams.At(aUpstream);
  if (aFailure.kind == FailureKind::Refused) {
    upstream.limit = std::max(1.0, upstream.limit * kLimitDecreaseFactor);
    upstream.leaving = upstream.leaving || aFailure.leaving;
    return;
  }
  upstream.suspectUntil = aState.now + kSuspectTimeAfterLoss;
  aState.upstreams.ResetToCold(aUpstream);
  aState.nextHeartbeat = aState.now;
}

/// Queues a retry, or ends the request when it must not or can't be retried.
void
RetryOrGiveUp(RouterState& aState, RequestHandle aHandle, Reason aReason)
{
  RequestState& request = aState.requests.at(aHandle);
  const bool repeatable = ClassOf(aState, request).repeatable;
  if (request.mayHaveRun && !repeatable) {
    GiveUp(aState, aHandle, Reason::OutcomeUnknown, Duration(0));
    return;
  }
  if (aState.quarantine.IsQuarantined(request.arrival.fingerprint)) {
    GiveUp(aState, aHandle, Reason::Quarantined, Duration(0));
    return;
  }
  if (aState.now >= request.deadline) {
    GiveUp(aState, aHandle, Reason::DeadlinePassed, Duration(0));
    return;
  }
  if (!aState.retryBudget.TryConsume()) {
    GiveUp(aState, aHandle, aReason, kRetryAfterShort);
    return;
  }
  ++aState.counters.retries;
  request.avoidUpstream = request.upstream;
  Enqueue(aState, aHandle, true);
}

void
AbandonSilentAttempt(RouterState& aState, RequestHandle aHandle)
{
  RequestState& request = aState.requests.at(aHandle);
  aState.EmitLog(EventNumber::UpstreamSilent,
                 "upstream=" + aState.settings.At(request.upstream).name);
  aState.Emit(CancelAttempt{ request.attempt, request.upstream });
  request.mayHaveRun = true;
  EndAttempt(aState, request);
  RetryOrGiveUp(aState, aHandle, Reason::AttemptLost);
}

void
CheckRunningTimeouts(RouterState& aState, RequestHandle aHandle)
{
  RequestState& request = aState.requests.at(aHandle);
  if (aState.now >= request.deadline) {
    aState.Emit(CancelAttempt{ request.attempt, request.upstream });
    request.mayHaveRun = true;
    GiveUp(aState, aHandle, Reason::DeadlinePassed, Duration(0));
    return;
  }
  if (request.probing) {
    if (aState.now - request.probedAt > kProbeTimeout) {
      AbandonSilentAttempt(aState, aHandle);
    }
    return;
  }
  const int deadlineFactor =
    request.receivedTokens == 0 ? kFirstTokenDeadlineFactor : 1;
  const Duration limit =
    aState.settings.limits.progressDeadline * deadlineFactor;
  if (aState.now - request.lastProgress > limit) {
    request.probing = true;
    request.probedAt = aState.now;
    aState.Emit(ProbeUpstream{ request.upstream, true });
  }
}

/// How often a bill is sent before the answer ends without it. If no instance
/// holds it but the platform is reachable, waiting longer for the commit pays.
int
MaxBillSends(const RouterState& aState, const RequestState& aRequest)
{
  const bool awaitCommit = aRequest.billHolders.empty() && !aState.platformOut;
  return awaitCommit ? kMaxUnheldBillSends : kMaxBillSends;
}

void
CheckRequestTimeouts(RouterState& aState, RequestHandle aHandle)
{
  RequestState& request = aState.requests.at(aHandle);
  switch (request.stage) {
    case RequestStage::Pinning:
      if (aState.now >= request.pinTimeout) {
        RequestPin(aState, request);
      }
      return;
    case RequestStage::Claiming:
      if (aState.now < request.claimTimeout) {
        return;
      }
      if (request.claimAttemptCount >= kMaxClaimAttempts ||
          aState.now >= request.deadline) {
        GiveUp(aState, aHandle, Reason::ClaimUnavailable, kRetryAfterShort);
        return;
      }
      request.claimTimeout = aState.now + kClaimTimeout;
      RequestClaim(aState,
                   ClaimRequest{ request.key, request.owner },
                   request.claimAttemptCount++);
      return;
    case RequestStage::Queued:
      if (aState.now >= request.deadline) {
        const VersionId version = CurrentVersion(request);
        aState.queues[version.value].Remove(request.arrival.organisation,
                                            aHandle);
        GiveUp(aState, aHandle, Reason::DeadlinePassed, Duration(0));
      }
      return;
    case RequestStage::Running:
      CheckRunningTimeouts(aState, aHandle);
      return;
    case RequestStage::Billing:
      if (aState.now < request.billTimeout) {
        return;
      }
      request.billTimeout = aState.now + kBillTimeout;
      if (request.billSendCount++ < MaxBillSends(aState, request)) {
        aState.bills.Resend(aState.now, request.billSequence);
      } else {
        if (request.billHolders.empty()) {
          aState.EmitLog(EventNumber::BillUnprotected,
                         "request=" + request.key);
        }
        const uint64_t sequence = request.billSequence;
        FinishBilledAnswers(aState, std::span(&sequence, 1));
      }
      return;
  }
}

} // namespace

void
HandleAttemptFailed(RouterState& aState, const AttemptFailed& aFailure)
{
  const auto attempt = aState.requestsByAttempt.find(aFailure.attempt);
  if (attempt == aState.requestsByAttempt.end()) {
    return;
  }
  const RequestHandle handle = attempt->second;
  RequestState& request = aState.requests.at(handle);
  aState.EmitLog(EventNumber::AttemptFailed,
                 "upstream=" + aState.settings.At(request.upstream).name);
  EndAttempt(aState, request);
  RecordUpstreamFailure(aState, request.upstream, aFailure);
  if (aFailure.kind == FailureKind::Lost) {
    request.mayHaveRun = true;
    BroadcastUpstreamLoss(aState, request.arrival.fingerprint);
  }
  RetryOrGiveUp(aState, handle, Reason::AttemptLost);
}

void
ProbeSucceeded(RouterState& aState, UpstreamId aUpstream)
{
  std::vector<RequestHandle> silent;
  for (const auto& [handle, request] : aState.requests) {
    if (request.probing && request.upstream == aUpstream &&
        request.attempt != 0) {
      silent.push_back(handle);
    }
  }
  std::sort(silent.begin(), silent.end());
  for (const RequestHandle handle : silent) {
    AbandonSilentAttempt(aState, handle);
  }
}

void
CheckTimeouts(RouterState& aState)
{
  std::vector<RequestHandle> handles;
  handles.reserve(aState.requests.size());
  for (const auto& [handle, request] : aState.requests) {
    handles.push_back(handle);
  }
  std::sort(handles.begin(), handles.end());
  for (const RequestHandle handle : handles) {
    if (aState.requests.contains(handle)) {
      CheckRequestTimeouts(aState, handle);
    }
  }
}

} // namespace hibiscusnotch::core
