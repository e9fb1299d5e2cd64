#include "answer_system.hpp"

#include "journal_system.hpp"
#include "request_steps.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kBillTimeout{ 40'000 };
constexpr double kMicroUnits = 1e6;
constexpr double kLimitGrowth = 0.2;
constexpr double kServiceSmoothing = 0.1;

/// True when a better version may still replace this step's answer.
bool
StepIsBuffered(const RequestRow& aRow)
{
  return aRow.step + 1 < aRow.plan.size();
}

void
AskForRating(RouterState& aState, const RequestRow& aRow, uint8_t aBin)
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

/// Counts the finished step and what it cost.
void
CountStep(RouterState& aState, RequestRow& aRow, uint8_t aBin)
{
  const VersionId version = CurrentVersion(aRow);
  const uint32_t tokens = aRow.request.promptTokens + aRow.received;
  aRow.cost +=
    aState.settings.At(version).pricePerThousandTokens * tokens / 1000;
  aState.cascade.CountAnswer(aRow.request.requestClass,
                             aRow.request.organisation,
                             version,
                             aBin,
                             tokens);
  AskForRating(aState, aRow, aBin);
  UpstreamRow& upstream = aState.upstreams.At(aRow.upstream);
  const double seconds = Seconds(aState.now - aRow.startedAt);
  upstream.serviceSeconds +=
    kServiceSmoothing * (seconds - upstream.serviceSeconds);
  const double capacity = aState.settings.At(aRow.upstream).capacity;
  upstream.limit = std::min(capacity, upstream.limit + kLimitGrowth);
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
  aRow.forwarded = end;
}

/// Holds back the last chunk until the bill is safe.
void
Finish(RouterState& aState,
       RequestRow& aRow,
       VersionId aVersion,
       AttemptChunk aLast)
{
  const auto microUnits = static_cast<uint64_t>(aRow.cost * kMicroUnits);
  ForwardChunk last{
    aRow.request.handle,      aVersion, aLast.offset,  aLast.tokens,
    std::move(aLast.payload), true,     aRow.pinBroken
  };
  if (aRow.claimHeld) {
    EndClaimAtHome(
      aState,
      ClaimEnd{ aRow.key, aRow.owner, false, last.payload, microUnits });
  }
  aRow.ending = std::move(last);
  AwaitBill(aState, aRow, microUnits);
}

/// Gives the caller an answer that was held back whole.
void
ForwardBuffered(RouterState& aState, RequestRow& aRow, BufferedAnswer aAnswer)
{
  for (std::size_t i = 0; i + 1 < aAnswer.chunks.size(); ++i) {
    Forward(aState, aRow, aAnswer.version, std::move(aAnswer.chunks[i]));
  }
  Finish(aState, aRow, aAnswer.version, std::move(aAnswer.chunks.back()));
}

/// Decides whether the buffered answer stands.
void
JudgeBuffered(RouterState& aState, RequestHandle aHandle, uint8_t aBin)
{
  RequestRow& row = aState.requests.at(aHandle);
  const bool accepted = aBin >= row.plan[row.step].acceptFromBin;
  if (accepted) {
    ForwardBuffered(aState, row, std::move(row.buffer));
    return;
  }
  ++aState.counters.escalations;
  row.fallback = std::move(row.buffer);
  row.buffer = {};
  ++row.step;
  row.received = 0;
  Enqueue(aState, aHandle, false);
}

/// Takes in a chunk that is in its turn.
void
Consume(RouterState& aState, RequestHandle aHandle, AttemptChunk aChunk)
{
  RequestRow& row = aState.requests.at(aHandle);
  row.received = aChunk.offset + aChunk.tokens;
  row.lastProgress = aState.now;
  const bool final = aChunk.final;
  const uint8_t bin = ConfidenceBin(aChunk.confidence.value_or(0.5));
  if (final) {
    CountStep(aState, row, bin);
    EndAttempt(aState, row);
  }
  const VersionId version = CurrentVersion(row);
  if (StepIsBuffered(row)) {
    row.buffer.chunks.push_back(std::move(aChunk));
    if (final) {
      JudgeBuffered(aState, aHandle, bin);
    }
    return;
  }
  if (final) {
    Finish(aState, row, version, std::move(aChunk));
  } else {
    Forward(aState, row, version, std::move(aChunk));
  }
}

void
CountCrossed(RouterState& aState, const AttemptChunk& aChunk)
{
  ++aState.counters.crossedChunks;
  aState.Report(EventNumber::CrossedChunk,
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
Erase(RouterState& aState, RequestHandle aHandle)
{
  const auto found = aState.requests.find(aHandle);
  if (found == aState.requests.end()) {
    return;
  }
  aState.claimants.erase(found->second.owner);
  aState.billing.erase(found->second.billSequence);
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
  upstream.suspects -= aRow.suspect ? 1 : 0;
  aState.attempts.erase(aRow.attempt);
  aRow.attempt = 0;
  aRow.early.clear();
  aRow.probing = false;
}

/// Enters the bill and waits until it is safe before the answer ends.
void
AwaitBill(RouterState& aState, RequestRow& aRow, uint64_t aMicroUnits)
{
  aRow.stage = RequestStage::Billing;
  aRow.billTries = 1;
  aRow.billTimeout = aState.now + kBillTimeout;
  aRow.billSequence = aState.bills.Add(aState.now, aRow.key, aMicroUnits);
  aState.billing[aRow.billSequence] = aRow.request.handle;
  SendBills(aState);
}

/// The last answer to a request that is given up on.
void
GiveUp(RouterState& aState,
       RequestHandle aHandle,
       Reason aReason,
       Duration aRetryAfter)
{
  RequestRow& row = aState.requests.at(aHandle);
  EndAttempt(aState, row);
  if (!row.fallback.chunks.empty() && row.forwarded == 0) {
    ForwardBuffered(aState, row, std::move(row.fallback));
    return;
  }
  if (!row.owner.empty() && !row.mayHaveRun) {
    EndClaimAtHome(aState, ClaimEnd{ row.key, row.owner, true, {}, 0 });
  }
  const Verdict verdict =
    row.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
  aState.Emit(Refuse{ aHandle, Refusal{ verdict, aReason, aRetryAfter } });
  Erase(aState, aHandle);
}

void
TakeChunk(RouterState& aState, AttemptChunk aChunk)
{
  const auto attempt = aState.attempts.find(aChunk.attempt);
  if (attempt == aState.attempts.end()) {
    CountCrossed(aState, aChunk);
    return;
  }
  const RequestHandle handle = attempt->second;
  RequestRow& row = aState.requests.at(handle);
  UpstreamRow& upstream = aState.upstreams.At(row.upstream);
  upstream.leaving = upstream.leaving || aChunk.leaving;
  aState.upstreams.Hear(
    aState.now, row.upstream, aChunk.incarnation, Duration(0));
  row.early.emplace(aChunk.offset, std::move(aChunk));
  while (true) {
    const auto found = aState.requests.find(handle);
    if (found == aState.requests.end() ||
        found->second.stage != RequestStage::Running ||
        found->second.early.empty()) {
      return;
    }
    auto& early = found->second.early;
    const auto next = early.begin();
    if (next->first > found->second.received) {
      return;
    }
    AttemptChunk chunk = std::move(next->second);
    early.erase(next);
    if (chunk.offset < found->second.received) {
      CountCrossed(aState, chunk);
      continue;
    }
    Consume(aState, handle, std::move(chunk));
  }
}

void
BillsHeld(RouterState& aState,
          InstanceId aHolder,
          std::span<const uint64_t> aSequences)
{
  const std::size_t wanted = WantedBillHolders(aState);
  for (const uint64_t sequence : aSequences) {
    const auto found = aState.billing.find(sequence);
    if (found == aState.billing.end()) {
      continue;
    }
    auto& holders = aState.requests.at(found->second).billHolders;
    holders.insert(aHolder);
    if (holders.size() >= wanted) {
      BillsSafe(aState, std::span(&sequence, 1));
    }
  }
}

void
BillsSafe(RouterState& aState, std::span<const uint64_t> aSequences)
{
  for (const uint64_t sequence : aSequences) {
    const auto found = aState.billing.find(sequence);
    if (found == aState.billing.end()) {
      continue;
    }
    const RequestHandle handle = found->second;
    aState.Emit(std::move(aState.requests.at(handle).ending));
    Erase(aState, handle);
  }
}

} // namespace hibiscusnotch::core
