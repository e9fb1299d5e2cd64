#include "journal_system.hpp"

#include "answer_system.hpp"
#include "hibiscusnotch/core/rendezvous.hpp"
#include "request_system.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr std::string_view kClaimHomes = "claim-homes";
constexpr std::string_view kBillHomes = "bill-homes";
constexpr double kTokensCap = 20;
constexpr std::size_t kBillHolders = 2;

InstanceId
ClaimHome(const RouterState& aState, std::string_view aKey, int aTry)
{
  const uint64_t bucket =
    MixHash(StableHash(kClaimHomes), aState.claims.BucketOf(aKey));
  const auto ranked = RankInstances(bucket, aState.members.Homes());
  return ranked[static_cast<std::size_t>(aTry) % ranked.size()];
}

/// The instances that may hold this one's bills: first one of this zone, then
/// one of another, then the rest.
std::vector<InstanceId>
BillHomes(const RouterState& aState)
{
  const ZoneId zone = aState.settings.At(aState.options.self).zone;
  const auto ranked =
    RankInstances(StableHash(kBillHomes), aState.members.Homes());
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
NoteReachability(RouterState& aState, PlatformStatus aStatus)
{
  const bool out =
    aStatus == PlatformStatus::Unavailable || aStatus == PlatformStatus::Lost;
  if (out == aState.platformOut) {
    return;
  }
  aState.platformOut = out;
  aState.Report(out ? EventNumber::PlatformOut : EventNumber::PlatformBack, "");
}

} // namespace

void
AskForClaim(RouterState& aState, ClaimRequest aRequest, int aTry)
{
  const InstanceId home = ClaimHome(aState, aRequest.key, aTry);
  if (home == aState.options.self) {
    aState.claims.Ask(home, std::move(aRequest));
  } else {
    aState.Send(home, std::move(aRequest));
  }
}

void
EndClaimAtHome(RouterState& aState, ClaimEnd aEnd)
{
  const InstanceId home = ClaimHome(aState, aEnd.key, 0);
  if (home == aState.options.self) {
    aState.claims.End(std::move(aEnd));
  } else {
    aState.Send(home, std::move(aEnd));
  }
}

void
SendBills(RouterState& aState)
{
  for (auto& [tries, bills] : aState.bills.DueForSending(aState.now)) {
    const auto homes = BillHomes(aState);
    if (homes.empty()) {
      aState.Report(EventNumber::BillUnprotected, "reason=alone");
      HoldBills(
        aState, aState.options.self, BillBatch{ std::move(bills), false });
      continue;
    }
    const std::size_t first = tries % homes.size();
    if (homes.size() > 1) {
      const InstanceId second = homes[(first + 1) % homes.size()];
      aState.Send(second, BillBatch{ bills, true });
    }
    aState.Send(homes[first], BillBatch{ std::move(bills), false });
  }
}

void
HoldBills(RouterState& aState, InstanceId aOrigin, const BillBatch& aBatch)
{
  const bool held =
    aBatch.backup ? aState.bills.HoldBackup(aState.now, aOrigin, aBatch.bills)
                  : aState.bills.Hold(aOrigin, aBatch.bills);
  if (!held) {
    aState.Report(EventNumber::BillQueueFull, "");
    return;
  }
  if (aOrigin == aState.options.self) {
    aState.bills.Hurry(aState.now);
    return;
  }
  aState.Send(aOrigin, BillReceipt{ Sequences(aBatch.bills), false });
}

std::size_t
WantedBillHolders(const RouterState& aState)
{
  return std::min(kBillHolders, aState.members.Homes().size() - 1);
}

void
TakeReceipt(RouterState& aState, InstanceId aFrom, const BillReceipt& aReceipt)
{
  aState.bills.Receive(aReceipt);
  if (!aReceipt.committed) {
    BillsHeld(aState, aFrom, aReceipt.sequences);
    return;
  }
  BillsSafe(aState, aReceipt.sequences);
  const auto homes = BillHomes(aState);
  const std::size_t told = std::min(kBillHolders, homes.size());
  for (std::size_t i = 0; i < told; ++i) {
    aState.Send(homes[i], BillsCommitted{ aReceipt.sequences });
  }
}

void
PumpJournals(RouterState& aState)
{
  const double rate = aState.settings.platform.callsPerSecond;
  aState.platformTokens = std::min(
    kTokensCap,
    aState.platformTokens + rate * Seconds(aState.now - aState.platformRefill));
  aState.platformRefill = aState.now;
  if (aState.platformTokens < 1) {
    return;
  }
  const CallId first = aState.nextCall;
  aState.claims.Pump(aState.now, aState.nextCall, *aState.actions);
  aState.bills.Pump(aState.now, aState.nextCall, *aState.actions);
  const uint64_t calls = aState.nextCall - first;
  aState.platformTokens -= static_cast<double>(calls);
  aState.counters.platformCalls += calls;
}

void
SendReplies(RouterState& aState, std::vector<DueClaimReply> aReplies)
{
  for (DueClaimReply& due : aReplies) {
    if (due.to == aState.options.self) {
      ClaimDecided(aState, due.reply);
    } else {
      aState.Send(due.to, std::move(due.reply));
    }
  }
}

bool
JournalAnswered(RouterState& aState, const PlatformResponse& aAnswer)
{
  std::vector<DueClaimReply> replies;
  if (aState.claims.Answer(aState.now, aAnswer, replies, *aState.actions)) {
    NoteReachability(aState, aAnswer.status);
    SendReplies(aState, std::move(replies));
    return true;
  }
  std::vector<DueBillReceipt> receipts;
  if (!aState.bills.Answer(aAnswer, receipts)) {
    return false;
  }
  NoteReachability(aState, aAnswer.status);
  for (DueBillReceipt& due : receipts) {
    if (due.to == aState.options.self) {
      TakeReceipt(aState, aState.options.self, due.receipt);
    } else {
      aState.Send(due.to, std::move(due.receipt));
    }
  }
  return true;
}

} // namespace hibiscusnotch::core
