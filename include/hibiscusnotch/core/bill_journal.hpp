/// @file
/// @brief Delivery of bills to the platform, each counted exactly once.
///
/// Bills are idempotent: they are keyed by request, so writing one twice counts
/// once. The origin, which answered the request, keeps each bill until it is
/// committed. It sends a copy to a bill home, an instance, preferably of its
/// zone, that writes bills in batches to objects whose names only it uses, and
/// a backup copy to another instance.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscusnotch::core {

/// @brief A bill stored here, with the instance that it came from.
struct HeldBill
{
  InstanceId origin;
  Bill bill;
};

/// @brief A receipt with the origin that it is for.
struct AddressedBillReceipt
{
  InstanceId to;
  BillReceipt receipt;
};

/// @brief Encodes a batch object as JSON.
std::string
EncodeBills(const std::vector<HeldBill>& aBills);

/// @brief The bills of this instance as origin, and those it stores for others.
class BillJournal
{
public:
  BillJournal(const Settings& aSettings,
              InstanceId aSelf,
              uint64_t aIncarnation);

  /// @brief Adds a bill of this instance; returns its sequence number.
  uint64_t AddOwn(TimePoint aNow, std::string aKey, uint64_t aMicroUnits);

  /// @brief This instance's bills to send now, by how often they were sent
  /// before.
  std::map<uint32_t, std::vector<Bill>> TakeDueBills(TimePoint aNow);

  /// @brief Schedules one of this instance's bills to be sent at once, to the
  /// next home in order.
  void Resend(TimePoint aNow, uint64_t aSequence);

  /// @brief Drops this instance's bills that the receipt says are committed.
  void HandleReceipt(const BillReceipt& aReceipt);

  /// @brief Stores bills to be written; false when the queue is full.
  bool StoreAsHome(InstanceId aOrigin, const std::vector<Bill>& aBills);

  /// @brief Stores backup copies, which are written only if their origin does
  /// not drop them in time; false when the queue is full.
  bool StoreBackup(TimePoint aNow,
                   InstanceId aOrigin,
                   const std::vector<Bill>& aBills);

  /// @brief Makes the backups of a suspected instance due, and sends this
  /// instance's bills again, since the suspected one may have held them.
  void HandleSuspectedInstance(TimePoint aNow, InstanceId aInstance);

  /// @brief Makes the next write due at once.
  void WriteNow(TimePoint aNow) { nextWrite_ = aNow; }

  /// @brief Drops backup copies of committed bills.
  void DropBackups(InstanceId aOrigin, const std::vector<uint64_t>& aSequences);

  /// @brief Writes the next batch when one is due.
  void StartDueWrite(TimePoint aNow, CallId& aNextCall, Actions& aActions);

  /// @brief Handles a response; true when the call was this journal's.
  bool HandleResponse(const PlatformResponse& aResponse,
                      std::vector<AddressedBillReceipt>& aReceipts);

  /// @brief True when no bill of this or another instance is pending.
  bool Idle() const;

  std::size_t StoredBillCount() const
  {
    return held_.size() + batchInFlight_.size() + backups_.size();
  }

private:
  void PromoteDueBackups(TimePoint aNow);

  struct OwnBill
  {
    Bill bill;
    uint32_t sendCount = 0;
  };

  const Settings& settings_;
  InstanceId self_;
  uint64_t incarnation_;
  uint64_t nextSequence_;
  uint64_t nextBatch_ = 1;
  struct Backup
  {
    Bill bill;
    TimePoint writeAt;
  };

  std::map<uint64_t, OwnBill> ownBills_;
  std::set<std::pair<TimePoint, uint64_t>>
    sendTimes_; ///< Of this instance's bills.
  TimePoint nextBackupCheck_;
  std::map<std::pair<InstanceId, uint64_t>, Backup> backups_;
  std::deque<HeldBill> held_;
  std::vector<HeldBill> batchInFlight_;
  std::string batchBody_;
  CallId call_ = 0;
  TimePoint nextWrite_;
};

} // namespace hibiscusnotch::core
