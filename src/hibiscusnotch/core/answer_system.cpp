#include "answer_system.hpp"

#include "journal_system.hpp"
#include "request_steps.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kBillTimeout{ 40'000 };
constexpr double kMicroUnitsPerUnit = 1e6;
constexpr double kLimitIncrease = 0.2;
constexpr double kServiceTimeSmoothingFactor = 0.1;

/// True when a better version may still replace this step's answer.
bool
StepIsBuffered(const RequestRow& aRow)
{
  return aRow.step + 1 < aRow.plan.size();
}

void
EmitRatingRequest(RouterState& aState, const RequestRow& aRow, uint8_t aBin)
{
  const bool accepted =
    !StepIsBuffered(aRow) || aBin >= aRow.plan[aRow.step].acceptFromBin;
  aState.Emit(RequestRating{ aRow.request.handle,
                             aRow.request.requestId,
                             Rating{ aRow.request.requestClass,
                                     aRow.request.organisation,
                                     CurrentVersion(aRow),
                                     aBin,
                                     static_cast<uint8_t>(aRow.step),
                                     accepted,
                                     false } });
}

/// Records the finished step's cost, statistics and service time.
void
RecordStep(RouterState& aState, RequestRow& aRow, uint8_t aBin)
{
  const VersionId version = CurrentVersion(aRow);
  const uint32_t tokens = aRow.request.promptTokens + aRow.receivedTokens;
  aRow.cost +=
    aState.settings.At(version).pricePerThousandTokens * tokens / 1000;
  aState.cascade.RecordAnswer(aRow.request.requestClass,
                              aRow.request.organisation,
                              version,
                              aBin,
                              tokens);
  EmitRatingRequest(aState, aRow, aBin);
  UpstreamRow& upstream = aState.upstreams.At(aRow.upstream);
  const double seconds = Seconds(aState.now - aRow.attemptStartedAt);
  upstream.serviceSeconds +=
    kServiceTimeSmoothingFactor * (seconds - upstream.serviceSeconds);
  const double capacity = aState.settings.At(aRow.upstream).capacity;
  upstream.limit = std::min(capacity, upstream.limit + kLimitIncrease);
}

void
Forward(RouterState& aState,
        RequestRow& aRow,
        VersionId aVersion,
        AttemptChunk aChunk)
{
  const uint32_t end = aChunk.offset + aChunk.tokens;
  aState.Emit(ForwardChunk{ aRow.request.handle,
                            aVersion,
                            aChunk.offset,
                            aChunk.tokens,
                            std::move(aChunk.payload),
                            false,
                            aRow.pinBroken });
  aRow.forwardedTokens = end;
}

/// Holds the last chunk back until the bill is safe.
void
FinishAnswer(RouterState& aState,
             RequestRow& aRow,
             VersionId aVersion,
             AttemptChunk aLast)
{
  const auto microUnits = static_cast<uint64_t>(aRow.cost * kMicroUnitsPerUnit);
  ForwardChunk last{
    aRow.request.handle,      aVersion, aLast.offset,  aLast.tokens,
    std::move(aLast.payload), true,     aRow.pinBroken
  };
  if (aRow.claimHeld) {
    EndClaimAtHome(
      aState,
      ClaimEnd{ aRow.key, aRow.owner, false, last.payload, microUnits });
  }
  aRow.finalAction = std::move(last);
  StartBilling(aState, aRow, microUnits);
}

/// Sends a buffered answer to the caller.
void
ForwardBuffered(RouterState& aState, RequestRow& aRow, BufferedAnswer aAnswer)
{
  for (std::size_t i = 0; i + 1 < aAnswer.chunks.size(); ++i) {
    Forward(aState, aRow, aAnswer.version, std::move(aAnswer.chunks[i]));
  }
  FinishAnswer(aState, aRow, aAnswer.version, std::move(aAnswer.chunks.back()));
}

/// Sends the buffered answer if its confidence suffices, else escalates.
void
AcceptOrEscalate(RouterState& aState, RequestHandle aHandle, uint8_t aBin)
{
  RequestRow& row = aState.requests.at(aHandle);
  const bool accepted = aBin >= row.plan[row.step].acceptFromBin;
  if (accepted) {
    ForwardBuffered(aState, row, std::move(row.buffer));
    return;
  }
  ++aState.counters.escalations;
  row.fallbackAnswer = std::move(row.buffer);
  row.buffer = {};
  ++row.step;
  row.receivedTokens = 0;
  Enqueue(aState, aHandle, false);
}

/// Handles the next chunk in order of offset.
void
ConsumeChunk(RouterState& aState, RequestHandle aHandle, AttemptChunk aChunk)
{
  RequestRow& row = aState.requests.at(aHandle);
  row.receivedTokens = aChunk.offset + aChunk.tokens;
  row.lastProgress = aState.now;
  const bool final = aChunk.final;
  const uint8_t bin = ConfidenceBin(aChunk.confidence.value_or(0.5));
  if (final) {
    RecordStep(aState, row, bin);
    EndAttempt(aState, row);
  }
  const VersionId version = CurrentVersion(row);
  if (StepIsBuffered(row)) {
    row.buffer.chunks.push_back(std::move(aChunk));
    if (final) {
      AcceptOrEscalate(aState, aHandle, bin);
    }
    return;
  }
  if (final) {
    FinishAnswer(aState, row, version, std::move(aChunk));
  } else {
    Forward(aState, row, version, std::move(aChunk));
  }
}

void
RecordCrossedChunk(RouterState& aState, const AttemptChunk& aChunk)
{
  ++aState.counters.crossedChunks;
  aState.EmitLog(EventNumber::CrossedChunk,
                 "attempt=" + std::to_string(aChunk.attempt) +
                   " offset=" + std::to_string(aChunk.offset));
}

} // namespace

const RequestClass&
ClassOf(const RouterState& aState, const RequestRow& aRow)
{
  return aState.settings.At(aRow.request.requestClass);
}

VersionId
CurrentVersion(const RequestRow& aRow)
{
  return aRow.plan[aRow.step].version;
}

void
EraseRequest(RouterState& aState, RequestHandle aHandle)
{
  const auto found = aState.requests.find(aHandle);
  if (found == aState.requests.end()) {
    return;
  }
  aState.requestsByClaimOwner.erase(found->second.owner);
  aState.requestsByBill.erase(found->second.billSequence);
  aState.requests.erase(found);
}

void
EndAttempt(RouterState& aState, RequestRow& aRow)
{
  if (aRow.attempt == 0) {
    return;
  }
  UpstreamRow& upstream = aState.upstreams.At(aRow.upstream);
  --upstream.running;
  upstream.poisonSuspects -= aRow.poisonSuspect ? 1 : 0;
  aState.requestsByAttempt.erase(aRow.attempt);
  aRow.attempt = 0;
  aRow.outOfOrderChunks.clear();
  aRow.probing = false;
}

void
StartBilling(RouterState& aState, RequestRow& aRow, uint64_t aMicroUnits)
{
  aRow.stage = RequestStage::Billing;
  aRow.billSendCount = 1;
  aRow.billTimeout = aState.now + kBillTimeout;
  aRow.billSequence = aState.bills.AddOwn(aState.now, aRow.key, aMicroUnits);
  aState.requestsByBill[aRow.billSequence] = aRow.request.handle;
  SendDueBills(aState);
}

void
GiveUp(RouterState& aState,
       RequestHandle aHandle,
       Reason aReason,
       Duration aRetryAfter)
{
  RequestRow& row = aState.requests.at(aHandle);
  EndAttempt(aState, row);
  if (!row.fallbackAnswer.chunks.empty() && row.forwardedTokens == 0) {
    ForwardBuffered(aState, row, std::move(row.fallbackAnswer));
    return;
  }
  if (!row.owner.empty() && !row.mayHaveRun) {
    EndClaimAtHome(aState, ClaimEnd{ row.key, row.owner, true, {}, 0 });
  }
  const Verdict verdict =
    row.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
  aState.Emit(Refuse{ aHandle, Refusal{ verdict, aReason, aRetryAfter } });
  EraseRequest(aState, aHandle);
}

void
HandleChunk(RouterState& aState, AttemptChunk aChunk)
{
  const auto attempt = aState.requestsByAttempt.find(aChunk.attempt);
  if (attempt == aState.requestsByAttempt.end()) {
    RecordCrossedChunk(aState, aChunk);
    return;
  }
  const RequestHandle handle = attempt->second;
  RequestRow& row = aState.requests.at(handle);
  UpstreamRow& upstream = aState.upstreams.At(row.upstream);
  upstream.leaving = upstream.leaving || aChunk.leaving;
  aState.upstreams.RecordContact(
    aState.now, row.upstream, aChunk.incarnation, Duration(0));
  row.outOfOrderChunks.emplace(aChunk.offset, std::move(aChunk));
  while (true) {
    const auto found = aState.requests.find(handle);
    if (found == aState.requests.end() ||
        found->second.stage != RequestStage::Running ||
        found->second.outOfOrderChunks.empty()) {
      return;
    }
    auto& outOfOrderChunks = found->second.outOfOrderChunks;
    const auto next = outOfOrderChunks.begin();
    if (next->first > found->second.receivedTokens) {
      return;
    }
    AttemptChunk chunk = std::move(next->second);
    outOfOrderChunks.erase(next);
    if (chunk.offset < found->second.receivedTokens) {
      RecordCrossedChunk(aState, chunk);
      continue;
    }
    ConsumeChunk(aState, handle, std::move(chunk));
  }
}

void
RecordBillHolder(RouterState& aState,
                 InstanceId aHolder,
                 std::span<const uint64_t> aSequences)
{
  const std::size_t required = RequiredBillHolders(aState);
  for (const uint64_t sequence : aSequences) {
    const auto found = aState.requestsByBill.find(sequence);
    if (found == aState.requestsByBill.end()) {
      continue;
    }
    auto& holders = aState.requests.at(found->second).billHolders;
    holders.insert(aHolder);
    if (holders.size() >= required) {
      FinishBilledAnswers(aState, std::span(&sequence, 1));
    }
  }
}

void
FinishBilledAnswers(RouterState& aState, std::span<const uint64_t> aSequences)
{
  for (const uint64_t sequence : aSequences) {
    const auto found = aState.requestsByBill.find(sequence);
    if (found == aState.requestsByBill.end()) {
      continue;
    }
    const RequestHandle handle = found->second;
    aState.Emit(std::move(aState.requests.at(handle).finalAction));
    EraseRequest(aState, handle);
  }
}

} // namespace hibiscusnotch::core
