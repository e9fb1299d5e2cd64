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
                      const AttemptFailed& aStatus)
{
  UpstreamRow& upstream = aState.upstreams.At(aUpstream);
  if (aStatus.kind == FailureKind::Refused) {
    upstream.limit = std::max(1.0, upstream.limit * kLimitDecreaseFactor);
    upstream.leaving = upstream.leaving || aStatus.leaving;
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
  RequestRow& row = aState.requests.at(aHandle);
  const bool repeatable = ClassOf(aState, row).repeatable;
  if (row.mayHaveRun && !repeatable) {
    GiveUp(aState, aHandle, Reason::OutcomeUnknown, Duration(0));
    return;
  }
  if (aState.quarantine.IsQuarantined(row.request.fingerprint)) {
    GiveUp(aState, aHandle, Reason::Quarantined, Duration(0));
    return;
  }
  if (aState.now >= row.deadline) {
    GiveUp(aState, aHandle, Reason::DeadlinePassed, Duration(0));
    return;
  }
  if (!aState.retryBudget.TryConsume()) {
    GiveUp(aState, aHandle, aReason, kRetryAfterShort);
    return;
  }
  ++aState.counters.retries;
  row.avoidUpstream = row.upstream;
  Enqueue(aState, aHandle, true);
}

void
AbandonSilentAttempt(RouterState& aState, RequestHandle aHandle)
{
  RequestRow& row = aState.requests.at(aHandle);
  aState.EmitLog(EventNumber::UpstreamSilent,
                 "upstream=" + aState.settings.At(row.upstream).name);
  aState.Emit(CancelAttempt{ row.attempt, row.upstream });
  row.mayHaveRun = true;
  EndAttempt(aState, row);
  RetryOrGiveUp(aState, aHandle, Reason::AttemptLost);
}

void
CheckRunningTimeouts(RouterState& aState, RequestHandle aHandle)
{
  RequestRow& row = aState.requests.at(aHandle);
  if (aState.now >= row.deadline) {
    aState.Emit(CancelAttempt{ row.attempt, row.upstream });
    row.mayHaveRun = true;
    GiveUp(aState, aHandle, Reason::DeadlinePassed, Duration(0));
    return;
  }
  if (row.probing) {
    if (aState.now - row.probedAt > kProbeTimeout) {
      AbandonSilentAttempt(aState, aHandle);
    }
    return;
  }
  const int deadlineFactor =
    row.receivedTokens == 0 ? kFirstTokenDeadlineFactor : 1;
  const Duration limit =
    aState.settings.limits.progressDeadline * deadlineFactor;
  if (aState.now - row.lastProgress > limit) {
    row.probing = true;
    row.probedAt = aState.now;
    aState.Emit(ProbeUpstream{ row.upstream, true });
  }
}

/// How often a bill is sent before the answer ends without it. If no instance
/// holds it but the platform is reachable, waiting longer for the commit pays.
int
MaxBillSends(const RouterState& aState, const RequestRow& aRow)
{
  const bool awaitCommit = aRow.billHolders.empty() && !aState.platformOut;
  return awaitCommit ? kMaxUnheldBillSends : kMaxBillSends;
}

void
CheckRequestTimeouts(RouterState& aState, RequestHandle aHandle)
{
  RequestRow& row = aState.requests.at(aHandle);
  switch (row.stage) {
    case RequestStage::Pinning:
      if (aState.now >= row.pinTimeout) {
        RequestPin(aState, row);
      }
      return;
    case RequestStage::Claiming:
      if (aState.now < row.claimTimeout) {
        return;
      }
      if (row.claimAttemptCount >= kMaxClaimAttempts ||
          aState.now >= row.deadline) {
        GiveUp(aState, aHandle, Reason::ClaimUnavailable, kRetryAfterShort);
        return;
      }
      row.claimTimeout = aState.now + kClaimTimeout;
      RequestClaim(
        aState, ClaimRequest{ row.key, row.owner }, row.claimAttemptCount++);
      return;
    case RequestStage::Queued:
      if (aState.now >= row.deadline) {
        const VersionId version = CurrentVersion(row);
        aState.queues[version.value].Remove(row.request.organisation, aHandle);
        GiveUp(aState, aHandle, Reason::DeadlinePassed, Duration(0));
      }
      return;
    case RequestStage::Running:
      CheckRunningTimeouts(aState, aHandle);
      return;
    case RequestStage::Billing:
      if (aState.now < row.billTimeout) {
        return;
      }
      row.billTimeout = aState.now + kBillTimeout;
      if (row.billSendCount++ < MaxBillSends(aState, row)) {
        aState.bills.Resend(aState.now, row.billSequence);
      } else {
        if (row.billHolders.empty()) {
          aState.EmitLog(EventNumber::BillUnprotected, "request=" + row.key);
        }
        const uint64_t sequence = row.billSequence;
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
  RequestRow& row = aState.requests.at(handle);
  aState.EmitLog(EventNumber::AttemptFailed,
                 "upstream=" + aState.settings.At(row.upstream).name);
  EndAttempt(aState, row);
  RecordUpstreamFailure(aState, row.upstream, aFailure);
  if (aFailure.kind == FailureKind::Lost) {
    row.mayHaveRun = true;
    BroadcastUpstreamLoss(aState, row.request.fingerprint);
  }
  RetryOrGiveUp(aState, handle, Reason::AttemptLost);
}

void
ProbeSucceeded(RouterState& aState, UpstreamId aUpstream)
{
  std::vector<RequestHandle> silent;
  for (const auto& [handle, row] : aState.requests) {
    if (row.probing && row.upstream == aUpstream && row.attempt != 0) {
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
  for (const auto& [handle, row] : aState.requests) {
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
