#include "hibiscusnotch/core/bill_journal.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::core;

namespace {

Settings
MakeSettings()
{
  Settings settings;
  settings.instances = { { "a", ZoneId{ 0 }, {}, {} },
                         { "b", ZoneId{ 0 }, {}, {} } };
  settings.journal.maxQueuedBills = 3;
  return settings;
}

constexpr TimePoint kStart{ Duration(1'000'000'000) };
constexpr InstanceId kSelf{ 0 };
constexpr InstanceId kOther{ 1 };

} // namespace

TEST_CASE("a batch whose write response was lost is rewritten under its name")
{
  const Settings settings = MakeSettings();
  BillJournal journal(settings, kSelf, 7);
  REQUIRE(journal.StoreAsHome(kOther, { { "o/r", 5, 11 } }));
  CallId next = 1;
  Actions actions;
  journal.StartDueWrite(kStart, next, actions);
  const auto first = std::get<CallPlatform>(actions.at(0));
  std::vector<AddressedBillReceipt> receipts;
  journal.HandleResponse({ first.call, PlatformStatus::Lost, 0, {} }, receipts);
  CHECK(receipts.empty());
  actions.clear();
  journal.StartDueWrite(kStart + Duration(2'000'000), next, actions);
  const auto second = std::get<CallPlatform>(actions.at(0));
  CHECK(second.key == first.key);
  CHECK(second.body == first.body);
  journal.HandleResponse({ second.call, PlatformStatus::Conflict, 0, {} },
                         receipts);
  REQUIRE(receipts.size() == 1);
  CHECK(receipts[0].to == kOther);
  CHECK(receipts[0].receipt.committed);
  CHECK(journal.Idle());
}

TEST_CASE("bills are refused when the queue is full")
{
  const Settings settings = MakeSettings();
  BillJournal journal(settings, kSelf, 7);
  const Bill bill{ "o/r", 5, 11 };
  CHECK(journal.StoreAsHome(kOther, { bill, bill, bill }));
  CHECK_FALSE(journal.StoreAsHome(kOther, { bill }));
}

TEST_CASE("a backup is written if its origin is suspected, else dropped")
{
  const Settings settings = MakeSettings();
  BillJournal journal(settings, kSelf, 7);
  journal.StoreBackup(kStart, kOther, { { "o/r", 5, 11 } });
  CallId next = 1;
  Actions actions;
  journal.StartDueWrite(kStart, next, actions);
  CHECK(actions.empty());
  SUBCASE("silent")
  {
    journal.HandleSuspectedInstance(kStart, kOther);
    journal.StartDueWrite(kStart + Duration(1), next, actions);
    CHECK(actions.size() == 1);
  }
  SUBCASE("settled")
  {
    journal.DropBackups(kOther, { 11 });
    journal.StartDueWrite(kStart + Duration(60'000'000), next, actions);
    CHECK(actions.empty());
    CHECK(journal.Idle());
  }
}

TEST_CASE("sequence numbers are unique over restarts of an instance")
{
  const Settings settings = MakeSettings();
  BillJournal before(settings, kSelf, 7);
  BillJournal after(settings, kSelf, 8);
  CHECK(before.AddOwn(kStart, "o/r", 1) != after.AddOwn(kStart, "o/s", 1));
}
