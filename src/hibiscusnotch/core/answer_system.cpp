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
StepIsBuffered(const RequestState& aRequest)
{
  return aRequest.step + 1 < aRequest.plan.size();
}

void
EmitRatingRequest(RouterState& aState,
                  const RequestState& aRequest,
                  uint8_t aBin)
{
  const bool accepted = !StepIsBuffered(aRequest) ||
                        aBin >= aRequest.plan[aRequest.step].acceptFromBin;
  aState.Emit(RequestRating{ aRequest.arrival.handle,
                             aRequest.arrival.requestId,
                             Rating{ aRequest.arrival.requestClass,
                                     aRequest.arrival.organisation,
                                     CurrentVersion(aRequest),
                                     aBin,
                                     static_cast<uint8_t>(aRequest.step),
                                     accepted,
                                     false } });
}

/// Records the finished step's cost, statistics and service time.
void
RecordStep(RouterState& aState, RequestState& aRequest, uint8_t aBin)
{
  const VersionId version = CurrentVersion(aRequest);
  const uint32_t tokens =
    aRequest.arrival.promptTokens + aRequest.receivedTokens;
  aRequest.cost +=
    aState.settings.At(version).pricePerThousandTokens * tokens / 1000;
  aState.cascade.RecordAnswer(aRequest.arrival.requestClass,
                              aRequest.arrival.organisation,
                              version,
                              aBin,
                              tokens);
  EmitRatingRequest(aState, aRequest, aBin);
  UpstreamState& upstream = aState.upstreams.At(aRequest.upstream);
  const double seconds = Seconds(aState.now - aRequest.attemptStartedAt);
  upstream.serviceSeconds +=
    kServiceTimeSmoothingFactor * (seconds - upstream.serviceSeconds);
  const double capacity = aState.settings.At(aRequest.upstream).capacity;
  upstream.limit = std::min(capacity, upstream.limit + kLimitIncrease);
}

void
Forward(RouterState& aState,
        RequestState& aRequest,
        VersionId aVersion,
        AttemptChunk aChunk)
{
  const uint32_t end = aChunk.offset + aChunk.tokens;
  aState.Emit(ForwardChunk{ aRequest.arrival.handle,
                            aVersion,
                            aChunk.offset,
                            aChunk.tokens,
                            std::move(aChunk.payload),
                            false,
                            aRequest.pinBroken });
  aRequest.forwardedTokens = end;
}

/// Holds the last chunk back until the bill is safe.
void
FinishAnswer(RouterState& aState,
             RequestState& aRequest,
             VersionId aVersion,
             AttemptChunk aLast)
{
  const auto microUnits =
    static_cast<uint64_t>(aRequest.cost * kMicroUnitsPerUnit);
  ForwardChunk last{
    aRequest.arrival.handle,  aVersion, aLast.offset,      aLast.tokens,
    std::move(aLast.payload), true,     aRequest.pinBroken
  };
  if (aRequest.claimHeld) {
    EndClaimAtHome(
      aState,
      ClaimEnd{
        aRequest.key, aRequest.owner, false, last.payload, microUnits });
  }
  aRequest.finalAction = std::move(last);
  StartBilling(aState, aRequest, microUnits);
}

/// Sends a buffered answer to the caller.
void
ForwardBuffered(RouterState& aState,
                RequestState& aRequest,
                BufferedAnswer aAnswer)
{
  for (std::size_t i = 0; i + 1 < aAnswer.chunks.size(); ++i) {
    Forward(aState, aRequest, aAnswer.version, std::move(aAnswer.chunks[i]));
  }
  FinishAnswer(
    aState, aRequest, aAnswer.version, std::move(aAnswer.chunks.back()));
}

/// Sends the buffered answer if its confidence suffices, else escalates.
void
AcceptOrEscalate(RouterState& aState, RequestHandle aHandle, uint8_t aBin)
{
  RequestState& request = aState.requests.at(aHandle);
  const bool accepted = aBin >= request.plan[request.step].acceptFromBin;
  if (accepted) {
    ForwardBuffered(aState, request, std::move(request.buffer));
    return;
  }
  ++aState.counters.escalations;
  request.fallbackAnswer = std::move(request.buffer);
  request.buffer = {};
  ++request.step;
  request.receivedTokens = 0;
  Enqueue(aState, aHandle, false);
}

/// Handles the next chunk in order of offset.
void
ConsumeChunk(RouterState& aState, RequestHandle aHandle, AttemptChunk aChunk)
{
  RequestState& request = aState.requests.at(aHandle);
  request.receivedTokens = aChunk.offset + aChunk.tokens;
  request.lastProgress = aState.now;
  const bool final = aChunk.final;
  const uint8_t bin = ConfidenceBin(aChunk.confidence.value_or(0.5));
  if (final) {
    RecordStep(aState, request, bin);
    EndAttempt(aState, request);
  }
  const VersionId version = CurrentVersion(request);
  if (StepIsBuffered(request)) {
    request.buffer.chunks.push_back(std::move(aChunk));
    if (final) {
      AcceptOrEscalate(aState, aHandle, bin);
    }
    return;
  }
  if (final) {
    FinishAnswer(aState, request, version, std::move(aChunk));
  } else {
    Forward(aState, request, version, std::move(aChunk));
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
ClassOf(const RouterState& aState, const RequestState& aRequest)
{
  return aState.settings.At(aRequest.arrival.requestClass);
}

VersionId
CurrentVersion(const RequestState& aRequest)
{
  return aRequest.plan[aRequest.step].version;
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
EndAttempt(RouterState& aState, RequestState& aRequest)
{
  if (aRequest.attempt == 0) {
    return;
  }
  UpstreamState& upstream = aState.upstreams.At(aRequest.upstream);
  --upstream.running;
  upstream.poisonSuspects -= aRequest.poisonSuspect ? 1 : 0;
  aState.requestsByAttempt.erase(aRequest.attempt);
  aRequest.attempt = 0;
  aRequest.outOfOrderChunks.clear();
  aRequest.probing = false;
}

void
StartBilling(RouterState& aState, RequestState& aRequest, uint64_t aMicroUnits)
{
  aRequest.stage = RequestStage::Billing;
  aRequest.billSendCount = 1;
  aRequest.billTimeout = aState.now + kBillTimeout;
  aRequest.billSequence =
    aState.bills.AddOwn(aState.now, aRequest.key, aMicroUnits);
  aState.requestsByBill[aRequest.billSequence] = aRequest.arrival.handle;
  SendDueBills(aState);
}

void
GiveUp(RouterState& aState,
       RequestHandle aHandle,
       Reason aReason,
       Duration aRetryAfter)
{
  RequestState& request = aState.requests.at(aHandle);
  EndAttempt(aState, request);
  if (!request.fallbackAnswer.chunks.empty() && request.forwardedTokens == 0) {
    ForwardBuffered(aState, request, std::move(request.fallbackAnswer));
    return;
  }
  if (!request.owner.empty() && !request.mayHaveRun) {
    EndClaimAtHome(aState, ClaimEnd{ request.key, request.owner, true, {}, 0 });
  }
  const Verdict verdict =
    request.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
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
  RequestState& request = aState.requests.at(handle);
  UpstreamState& upstream = aState.upstreams.At(request.upstream);
  upstream.leaving = upstream.leaving || aChunk.leaving;
  aState.upstreams.RecordContact(
    aState.now, request.upstream, aChunk.incarnation, Duration(0));
  request.outOfOrderChunks.emplace(aChunk.offset, std::move(aChunk));
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
