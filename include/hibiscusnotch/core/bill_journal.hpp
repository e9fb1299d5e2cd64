/// @file
/// @brief Bills on their way to the platform.
///
/// A bill is an element of a set, keyed by its request, so writing it twice
/// counts once. The origin keeps each bill until it is committed; a bill home
/// of the zone keeps a copy, and writes what it holds in batches to objects
/// that it alone names.
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

/// @brief A bill that this instance holds, with where it came from.
struct HeldBill
{
  InstanceId origin;
  Bill bill;
};

/// @brief A receipt that is due to one origin.
struct AddressedBillReceipt
{
  InstanceId to;
  BillReceipt receipt;
};

/// @brief The body of a batch object as JSON.
std::string
EncodeBills(const std::vector<HeldBill>& aBills);

/// @brief Both sides: the origin's bills and the home's batches.
class BillJournal
{
public:
  BillJournal(const Settings& aSettings,
              InstanceId aSelf,
              uint64_t aIncarnation);

  /// @brief Enters a bill of this instance; gives its sequence number.
  uint64_t AddOwn(TimePoint aNow, std::string aKey, uint64_t aMicroUnits);

  /// @brief Own bills that are due, by the number of times they were sent.
  std::map<uint32_t, std::vector<Bill>> TakeDueBills(TimePoint aNow);

  /// @brief Makes an own bill due at once, at the next home in order.
  void Resend(TimePoint aNow, uint64_t aSequence);

  /// @brief Takes in a receipt for own bills.
  void HandleReceipt(const BillReceipt& aReceipt);

  /// @brief Holds bills of an origin as their home; false when it is full.
  bool StoreAsHome(InstanceId aOrigin, const std::vector<Bill>& aBills);

  /// @brief Holds copies that are written only if their origin stays silent.
  bool StoreBackup(TimePoint aNow,
                   InstanceId aOrigin,
                   const std::vector<Bill>& aBills);

  /// @brief An instance is silent: its backups are written, own bills sent
  /// anew.
  void HandleSuspectedInstance(TimePoint aNow, InstanceId aInstance);

  /// @brief Makes the next write due at once.
  void WriteNow(TimePoint aNow) { nextWrite_ = aNow; }

  /// @brief Drops copies that the platform already has.
  void DropBackups(InstanceId aOrigin, const std::vector<uint64_t>& aSequences);

  /// @brief Writes the next batch when one is due.
  void StartDueWrite(TimePoint aNow, CallId& aNextCall, Actions& aActions);

  /// @brief Takes in an answer; true when the call was this journal's.
  bool HandleResponse(const PlatformResponse& aResponse,
                      std::vector<AddressedBillReceipt>& aReceipts);

  /// @brief True when no bill waits, own or held.
  bool Idle() const;

  std::size_t HeldCount() const
  {
    return held_.size() + writing_.size() + backups_.size();
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

  std::map<uint64_t, OwnBill> own_;
  std::set<std::pair<TimePoint, uint64_t>>
    sendTimes_; ///< When own bills are sent.
  TimePoint nextBackupCheck_;
  std::map<std::pair<InstanceId, uint64_t>, Backup> backups_;
  std::deque<HeldBill> held_;
  std::vector<HeldBill> writing_;
  std::string writingBody_;
  CallId call_ = 0;
  TimePoint nextWrite_;
};

} // namespace hibiscusnotch::core
