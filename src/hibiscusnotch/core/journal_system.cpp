#include "journal_system.hpp"

#include "answer_system.hpp"
#include "hibiscusnotch/core/rendezvous.hpp"
#include "request_system.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr std::string_view kClaimHomes = "claim-homes";
constexpr std::string_view kBillHomes = "bill-homes";
constexpr double kMaxPlatformCallTokens = 20;
constexpr std::size_t kBillReplicas = 2;

InstanceId
ClaimHome(const RouterState& aState, std::string_view aKey, int aAttempt)
{
  const uint64_t bucket =
    MixHash(StableHash(kClaimHomes), aState.claims.BucketOf(aKey));
  const auto ranked = RankInstances(bucket, aState.members.HomeCandidates());
  return ranked[static_cast<std::size_t>(aAttempt) % ranked.size()];
}

/// The homes for this instance's bills in order of preference, alternating
/// between this zone, which comes first, and the others.
std::vector<InstanceId>
BillHomes(const RouterState& aState)
{
  const ZoneId zone = aState.settings.At(aState.options.self).zone;
  const auto ranked =
    RankInstances(StableHash(kBillHomes), aState.members.HomeCandidates());
  std::vector<InstanceId> inZone;
  std::vector<InstanceId> elsewhere;
  for (const InstanceId id : ranked) {
    if (id == aState.options.self) {
      continue;
    }
    auto& list = aState.settings.At(id).zone == zone ? inZone : elsewhere;
    list.push_back(id);
  }
  std::vector<InstanceId> homes;
  const std::size_t rounds = std::max(inZone.size(), elsewhere.size());
  for (std::size_t i = 0; i < rounds; ++i) {
    if (i < inZone.size()) {
      homes.push_back(inZone[i]);
    }
    if (i < elsewhere.size()) {
      homes.push_back(elsewhere[i]);
    }
  }
  return homes;
}

std::vector<uint64_t>
Sequences(const std::vector<Bill>& aBills)
{
  std::vector<uint64_t> sequences;
  sequences.reserve(aBills.size());
  for (const Bill& bill : aBills) {
    sequences.push_back(bill.sequence);
  }
  return sequences;
}

void
UpdatePlatformReachability(RouterState& aState, PlatformStatus aStatus)
{
  const bool out =
    aStatus == PlatformStatus::Unavailable || aStatus == PlatformStatus::Lost;
  if (out == aState.platformOut) {
    return;
  }
  aState.platformOut = out;
  aState.EmitLog(out ? EventNumber::PlatformOut : EventNumber::PlatformBack,
                 "");
}

} // namespace

void
RequestClaim(RouterState& aState, ClaimRequest aRequest, int aAttempt)
{
  const InstanceId home = ClaimHome(aState, aRequest.key, aAttempt);
  if (home == aState.options.self) {
    aState.claims.QueueClaim(home, std::move(aRequest));
  } else {
    aState.Send(home, std::move(aRequest));
  }
}

void
EndClaimAtHome(RouterState& aState, ClaimEnd aEnd)
{
  const InstanceId home = ClaimHome(aState, aEnd.key, 0);
  if (home == aState.options.self) {
    aState.claims.QueueEnd(std::move(aEnd));
  } else {
    aState.Send(home, std::move(aEnd));
  }
}

void
SendDueBills(RouterState& aState)
{
  for (auto& [sendCount, bills] : aState.bills.TakeDueBills(aState.now)) {
    const auto homes = BillHomes(aState);
    if (homes.empty()) {
      aState.EmitLog(EventNumber::BillUnprotected, "reason=alone");
      StoreBills(
        aState, aState.options.self, BillBatch{ std::move(bills), false });
      continue;
    }
    const std::size_t first = sendCount % homes.size();
    if (homes.size() > 1) {
      const InstanceId second = homes[(first + 1) % homes.size()];
      aState.Send(second, BillBatch{ bills, true });
    }
    aState.Send(homes[first], BillBatch{ std::move(bills), false });
  }
}

void
StoreBills(RouterState& aState, InstanceId aOrigin, const BillBatch& aBatch)
{
  const bool held =
    aBatch.backup ? aState.bills.StoreBackup(aState.now, aOrigin, aBatch.bills)
                  : aState.bills.StoreAsHome(aOrigin, aBatch.bills);
  if (!held) {
    aState.EmitLog(EventNumber::BillQueueFull, "");
    return;
  }
  if (aOrigin == aState.options.self) {
    aState.bills.WriteNow(aState.now);
    return;
  }
  aState.Send(aOrigin, BillReceipt{ Sequences(aBatch.bills), false });
}

std::size_t
RequiredBillHolders(const RouterState& aState)
{
  return std::min(kBillReplicas, aState.members.HomeCandidates().size() - 1);
}

void
HandleBillReceipt(RouterState& aState,
                  InstanceId aFrom,
                  const BillReceipt& aReceipt)
{
  aState.bills.HandleReceipt(aReceipt);
  if (!aReceipt.committed) {
    RecordBillHolder(aState, aFrom, aReceipt.sequences);
    return;
  }
  FinishBilledAnswers(aState, aReceipt.sequences);
  const auto homes = BillHomes(aState);
  const std::size_t notifiedCount = std::min(kBillReplicas, homes.size());
  for (std::size_t i = 0; i < notifiedCount; ++i) {
    aState.Send(homes[i], BillsCommitted{ aReceipt.sequences });
  }
}

void
StartJournalCalls(RouterState& aState)
{
  const double rate = aState.settings.platform.callsPerSecond;
  aState.platformCallTokens =
    std::min(kMaxPlatformCallTokens,
             aState.platformCallTokens +
               rate * Seconds(aState.now - aState.platformTokensRefilledAt));
  aState.platformTokensRefilledAt = aState.now;
  if (aState.platformCallTokens < 1) {
    return;
  }
  const CallId first = aState.nextCall;
  aState.claims.StartDueCalls(aState.now, aState.nextCall, *aState.actions);
  aState.bills.StartDueWrite(aState.now, aState.nextCall, *aState.actions);
  const uint64_t calls = aState.nextCall - first;
  aState.platformCallTokens -= static_cast<double>(calls);
  aState.counters.platformCalls += calls;
}

void
SendClaimReplies(RouterState& aState, std::vector<AddressedClaimReply> aReplies)
{
  for (AddressedClaimReply& due : aReplies) {
    if (due.to == aState.options.self) {
      HandleClaimReply(aState, due.reply);
    } else {
      aState.Send(due.to, std::move(due.reply));
    }
  }
}

bool
HandleJournalResponse(RouterState& aState, const PlatformResponse& aResponse)
{
  std::vector<AddressedClaimReply> replies;
  if (aState.claims.HandleResponse(
        aState.now, aResponse, replies, *aState.actions)) {
    UpdatePlatformReachability(aState, aResponse.status);
    SendClaimReplies(aState, std::move(replies));
    return true;
  }
  std::vector<AddressedBillReceipt> receipts;
  if (!aState.bills.HandleResponse(aResponse, receipts)) {
    return false;
  }
  UpdatePlatformReachability(aState, aResponse.status);
  for (AddressedBillReceipt& due : receipts) {
    if (due.to == aState.options.self) {
      HandleBillReceipt(aState, aState.options.self, due.receipt);
    } else {
      aState.Send(due.to, std::move(due.receipt));
    }
  }
  return true;
}

} // namespace hibiscusnotch::core
