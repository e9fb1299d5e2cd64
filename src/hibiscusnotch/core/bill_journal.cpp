#include "hibiscusnotch/core/bill_journal.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusnotch::core {

namespace {

constexpr Duration kResendInterval{ 3'000'000 };
constexpr Duration kBackupPromotionDelay{ 4'000'000 };
constexpr Duration kBackupCheckInterval{ 100'000 };
/// Sequence numbers start at the incarnation shifted by this many bits, so that
/// they stay unique over restarts of an instance.
constexpr int kSequenceBits = 22;
constexpr std::size_t kMaxBillsPerObject = 4000;

} // namespace

std::string
EncodeBills(const std::vector<HeldBill>& aBills)
{
  nlohmann::json body = nlohmann::json::object();
  for (const HeldBill& held : aBills) {
    body[held.bill.key] = held.bill.microUnits;
  }
  return body.dump();
}

BillJournal::BillJournal(const Settings& aSettings,
                         InstanceId aSelf,
                         uint64_t aIncarnation)
  : settings_(aSettings)
  , self_(aSelf)
  , incarnation_(aIncarnation)
  , nextSequence_((aIncarnation << kSequenceBits) | 1)
{
}

uint64_t
BillJournal::AddOwn(TimePoint aNow, std::string aKey, uint64_t aMicroUnits)
{
  const uint64_t sequence = nextSequence_++;
  ownBills_[sequence] =
    OwnBill{ Bill{ std::move(aKey), aMicroUnits, sequence }, 0 };
  sendTimes_.emplace(aNow, sequence);
  return sequence;
}

std::map<uint32_t, std::vector<Bill>>
BillJournal::TakeDueBills(TimePoint aNow)
{
  std::map<uint32_t, std::vector<Bill>> due;
  while (!sendTimes_.empty() && sendTimes_.begin()->first <= aNow) {
    const uint64_t sequence = sendTimes_.begin()->second;
    sendTimes_.erase(sendTimes_.begin());
    const auto found = ownBills_.find(sequence);
    if (found == ownBills_.end()) {
      continue;
    }
    sendTimes_.emplace(aNow + kResendInterval, sequence);
    due[found->second.sendCount++].push_back(found->second.bill);
  }
  return due;
}

void
BillJournal::Resend(TimePoint aNow, uint64_t aSequence)
{
  if (ownBills_.contains(aSequence)) {
    sendTimes_.emplace(aNow, aSequence);
  }
}

void
BillJournal::HandleReceipt(const BillReceipt& aReceipt)
{
  if (!aReceipt.committed) {
    return;
  }
  for (const uint64_t sequence : aReceipt.sequences) {
    ownBills_.erase(sequence);
  }
}

bool
BillJournal::StoreAsHome(InstanceId aOrigin, const std::vector<Bill>& aBills)
{
  if (StoredBillCount() + aBills.size() > settings_.journal.maxQueuedBills) {
    return false;
  }
  for (const Bill& bill : aBills) {
    held_.push_back(HeldBill{ aOrigin, bill });
  }
  return true;
}

bool
BillJournal::StoreBackup(TimePoint aNow,
                         InstanceId aOrigin,
                         const std::vector<Bill>& aBills)
{
  if (StoredBillCount() + aBills.size() > settings_.journal.maxQueuedBills) {
    return false;
  }
  for (const Bill& bill : aBills) {
    backups_[{ aOrigin, bill.sequence }] =
      Backup{ bill, aNow + kBackupPromotionDelay };
  }
  return true;
}

void
BillJournal::HandleSuspectedInstance(TimePoint aNow, InstanceId aInstance)
{
  for (auto& [key, backup] : backups_) {
    if (key.first == aInstance) {
      backup.writeAt = aNow;
    }
  }
  for (const auto& [sequence, own] : ownBills_) {
    sendTimes_.emplace(aNow, sequence);
  }
  nextBackupCheck_ = aNow;
}

void
BillJournal::DropBackups(InstanceId aOrigin,
                         const std::vector<uint64_t>& aSequences)
{
  for (const uint64_t sequence : aSequences) {
    backups_.erase({ aOrigin, sequence });
  }
}

void
BillJournal::PromoteDueBackups(TimePoint aNow)
{
  if (aNow < nextBackupCheck_) {
    return;
  }
  nextBackupCheck_ = aNow + kBackupCheckInterval;
  std::erase_if(backups_, [&](const auto& aBackup) {
    const auto& [origin, sequence] = aBackup.first;
    if (aNow < aBackup.second.writeAt) {
      return false;
    }
    held_.push_back(HeldBill{ origin, aBackup.second.bill });
    return true;
  });
}

void
BillJournal::StartDueWrite(TimePoint aNow, CallId& aNextCall, Actions& aActions)
{
  PromoteDueBackups(aNow);
  if (call_ != 0 || aNow < nextWrite_ ||
      (held_.empty() && batchInFlight_.empty())) {
    return;
  }
  if (batchInFlight_.empty()) {
    while (!held_.empty() && batchInFlight_.size() < kMaxBillsPerObject) {
      batchInFlight_.push_back(std::move(held_.front()));
      held_.pop_front();
    }
    batchBody_ = EncodeBills(batchInFlight_);
  }
  call_ = aNextCall++;
  nextWrite_ = aNow + settings_.journal.billWriteInterval;
  const std::string key = "bills/" + settings_.At(self_).name + "." +
                          std::to_string(incarnation_) + "." +
                          std::to_string(nextBatch_);
  aActions.push_back(
    CallPlatform{ call_, PlatformOperation::Create, key, 0, batchBody_ });
}

bool
BillJournal::HandleResponse(const PlatformResponse& aResponse,
                            std::vector<AddressedBillReceipt>& aReceipts)
{
  if (aResponse.call != call_ || call_ == 0) {
    return false;
  }
  call_ = 0;
  // Only this process uses the object's name: a conflict means that an earlier
  // attempt to write the same body succeeded and its response was lost.
  const bool committed = aResponse.status == PlatformStatus::Ok ||
                         aResponse.status == PlatformStatus::Conflict;
  if (!committed) {
    return true;
  }
  ++nextBatch_;
  std::map<InstanceId, BillReceipt> byOrigin;
  for (const HeldBill& held : batchInFlight_) {
    byOrigin[held.origin].sequences.push_back(held.bill.sequence);
  }
  batchInFlight_.clear();
  for (auto& [origin, receipt] : byOrigin) {
    receipt.committed = true;
    aReceipts.push_back(AddressedBillReceipt{ origin, std::move(receipt) });
  }
  return true;
}

bool
BillJournal::Idle() const
{
  return ownBills_.empty() && held_.empty() && batchInFlight_.empty() &&
         backups_.empty();
}

} // namespace hibiscusnotch::core
