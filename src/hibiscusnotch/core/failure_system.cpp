#include "failure_system.hpp"

#include "answer_system.hpp"
#include "journal_system.hpp"
#include "request_steps.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kClaimTimeout{ 1'000'000 };
constexpr int kMaxClaimTries = 3;
constexpr Duration kBillTimeout{ 40'000 };
constexpr int kMaxBillTries = 5;
constexpr int kMaxLoneBillTries = 50;
constexpr Duration kProbeTimeout{ 1'000'000 };
constexpr Duration kSuspectAfterLoss{ 300'000 };
constexpr int kFirstTokenPatience = 4; ///< Progress deadlines.
constexpr double kBusyShrink = 0.8;

/// Tells peers at once about an upstream lost under a request.
void
ShareLoss(RouterState& aState, uint64_t aFingerprint)
{
  const uint32_t losses = aState.quarantine.CountLoss(aFingerprint);
  for (const InstanceId peer : aState.members.HeartbeatTargets()) {
    aState.Send(peer, UpstreamLossNotice{ aFingerprint, losses });
  }
  if (losses == Quarantine::kMaxLosses) {
    aState.Report(EventNumber::RequestQuarantined,
                  "fingerprint=" + std::to_string(aFingerprint));
  }
}

void
NoteFailure(RouterState& aState,
            UpstreamId aUpstream,
            const AttemptFailed& aWord)
{
  UpstreamRow& upstream = aState.upstreams.At(aUpstream);
  if (aWord.kind == FailureKind::Refused) {
    upstream.limit = std::max(1.0, upstream.limit * kBusyShrink);
    upstream.leaving = upstream.leaving || aWord.leaving;
    return;
  }
  upstream.suspectUntil = aState.now + kSuspectAfterLoss;
  aState.upstreams.DropToCold(aUpstream);
  aState.nextHeartbeat = aState.now;
}

/// Tries again elsewhere, or gives the final answer at once.
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
  if (!aState.retries.Take()) {
    GiveUp(aState, aHandle, aReason, kRetryAfterShort);
    return;
  }
  ++aState.counters.retries;
  row.avoid = row.upstream;
  Enqueue(aState, aHandle, true);
}

void
BreakSilence(RouterState& aState, RequestHandle aHandle)
{
  RequestRow& row = aState.requests.at(aHandle);
  aState.Report(EventNumber::UpstreamSilent,
                "upstream=" + aState.settings.At(row.upstream).name);
  aState.Emit(CancelAttempt{ row.attempt, row.upstream });
  row.mayHaveRun = true;
  EndAttempt(aState, row);
  RetryOrGiveUp(aState, aHandle, Reason::AttemptLost);
}

void
SweepRunning(RouterState& aState, RequestHandle aHandle)
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
      BreakSilence(aState, aHandle);
    }
    return;
  }
  const int patience = row.received == 0 ? kFirstTokenPatience : 1;
  const Duration limit = aState.settings.limits.progressDeadline * patience;
  if (aState.now - row.lastProgress > limit) {
    row.probing = true;
    row.probedAt = aState.now;
    aState.Emit(ProbeUpstream{ row.upstream, true });
  }
}

/// How often a bill is sent before the answer ends without it. With no holder
/// but a platform that answers, its commit is worth a longer wait.
int
BillTries(const RouterState& aState, const RequestRow& aRow)
{
  const bool hopeful = aRow.billHolders.empty() && !aState.platformOut;
  return hopeful ? kMaxLoneBillTries : kMaxBillTries;
}

void
SweepOne(RouterState& aState, RequestHandle aHandle)
{
  RequestRow& row = aState.requests.at(aHandle);
  switch (row.stage) {
    case RequestStage::Pinning:
      if (aState.now >= row.pinTimeout) {
        AskForPin(aState, row);
      }
      return;
    case RequestStage::Claiming:
      if (aState.now < row.claimTimeout) {
        return;
      }
      if (row.claimTries >= kMaxClaimTries || aState.now >= row.deadline) {
        GiveUp(aState, aHandle, Reason::ClaimUnavailable, kRetryAfterShort);
        return;
      }
      row.claimTimeout = aState.now + kClaimTimeout;
      AskForClaim(aState, ClaimRequest{ row.key, row.owner }, row.claimTries++);
      return;
    case RequestStage::Queued:
      if (aState.now >= row.deadline) {
        const VersionId version = CurrentVersion(row);
        aState.queues[version.value].Remove(row.request.organisation, aHandle);
        GiveUp(aState, aHandle, Reason::DeadlinePassed, Duration(0));
      }
      return;
    case RequestStage::Running:
      SweepRunning(aState, aHandle);
      return;
    case RequestStage::Billing:
      if (aState.now < row.billTimeout) {
        return;
      }
      row.billTimeout = aState.now + kBillTimeout;
      if (row.billTries++ < BillTries(aState, row)) {
        aState.bills.SendAgain(aState.now, row.billSequence);
      } else {
        if (row.billHolders.empty()) {
          aState.Report(EventNumber::BillUnprotected, "request=" + row.key);
        }
        const uint64_t sequence = row.billSequence;
        BillsSafe(aState, std::span(&sequence, 1));
      }
      return;
  }
}

} // namespace

void
FailAttempt(RouterState& aState, const AttemptFailed& aFailure)
{
  const auto attempt = aState.attempts.find(aFailure.attempt);
  if (attempt == aState.attempts.end()) {
    return;
  }
  const RequestHandle handle = attempt->second;
  RequestRow& row = aState.requests.at(handle);
  aState.Report(EventNumber::AttemptFailed,
                "upstream=" + aState.settings.At(row.upstream).name);
  EndAttempt(aState, row);
  NoteFailure(aState, row.upstream, aFailure);
  if (aFailure.kind == FailureKind::Lost) {
    row.mayHaveRun = true;
    ShareLoss(aState, row.request.fingerprint);
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
    BreakSilence(aState, handle);
  }
}

void
SweepRequests(RouterState& aState)
{
  std::vector<RequestHandle> handles;
  handles.reserve(aState.requests.size());
  for (const auto& [handle, row] : aState.requests) {
    handles.push_back(handle);
  }
  std::sort(handles.begin(), handles.end());
  for (const RequestHandle handle : handles) {
    if (aState.requests.contains(handle)) {
      SweepOne(aState, handle);
    }
  }
}

} // namespace hibiscusnotch::core
