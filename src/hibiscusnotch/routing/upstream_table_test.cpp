#include "hibiscusnotch/routing/upstream_table.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };
constexpr Duration kSecond{ 1'000'000 };

UpstreamEntry
MakeEntry(const std::string& aName, int64_t aIncarnation = 1)
{
  UpstreamEntry entry;
  entry.name = aName;
  entry.service = "engine";
  entry.endpoint = { "10.0.0.1", 80 };
  entry.zone = "east";
  entry.incarnation = aIncarnation;
  return entry;
}

} // namespace

TEST_CASE("a new incarnation of the same name starts without state")
{
  UpstreamTable table;
  const UpstreamId first = table.Apply(MakeEntry("u", 1), kNow);
  table.RecordSend(first, 100, kNow);
  table.RecordOutcome(first, false);
  const UpstreamId second = table.Apply(MakeEntry("u", 2), kNow);
  CHECK(first != second);
  CHECK(table.Find(first)->removed);
  CHECK(table.Find(second)->inFlight == 0);
  CHECK(table.Find(second)->outcomeCount == 0);
  CHECK(table.FindByName("u") == second);
}

TEST_CASE("an entry that changes its service is a new upstream")
{
  UpstreamTable table;
  const UpstreamId first = table.Apply(MakeEntry("u"), kNow);
  UpstreamEntry moved = MakeEntry("u");
  moved.service = "other";
  CHECK(table.Apply(moved, kNow) != first);
  CHECK(table.Find(first)->removed);
}

TEST_CASE("a removed entry goes at once, a lapsed one after its grace")
{
  UpstreamTable table;
  const UpstreamId gone = table.Apply(MakeEntry("gone"), kNow);
  const UpstreamId lapsed = table.Apply(MakeEntry("lapsed"), kNow);
  table.Remove("gone", kNow);
  table.Lapse("lapsed", kNow + UpstreamTable::kRestoreGrace);
  CHECK(table.Find(gone)->removed);
  CHECK_FALSE(table.Find(lapsed)->removed);
  table.Sweep(kNow + kSecond);
  CHECK(table.Find(gone) == nullptr);
  CHECK_FALSE(table.Find(lapsed)->removed);
  table.Sweep(kNow + UpstreamTable::kRestoreGrace);
  CHECK(table.Find(lapsed) == nullptr);
}

TEST_CASE("a lapsed entry that returns keeps its state")
{
  UpstreamTable table;
  const UpstreamId id = table.Apply(MakeEntry("u"), kNow);
  table.Lapse("u", kNow + UpstreamTable::kRestoreGrace);
  CHECK(table.Apply(MakeEntry("u"), kNow + kSecond) == id);
  table.Sweep(kNow + 10 * kSecond);
  CHECK_FALSE(table.Find(id)->removed);
}

TEST_CASE("a removed upstream is kept while it has requests in flight")
{
  UpstreamTable table;
  const UpstreamId id = table.Apply(MakeEntry("u"), kNow);
  table.RecordSend(id, 0, kNow);
  table.Remove("u", kNow);
  table.Sweep(kNow + kSecond);
  REQUIRE(table.Find(id) != nullptr);
  table.RecordEnd(id);
  table.Sweep(kNow + kSecond);
  CHECK(table.Find(id) == nullptr);
}

TEST_CASE("an upstream that was unreachable twice counts as cold")
{
  UpstreamTable table;
  const UpstreamId id = table.Apply(MakeEntry("u"), kNow);
  table.RecordUnreachable(id, 3 * kSecond, kNow);
  CHECK(table.Find(id)->coldUntil <= kNow);
  table.RecordUnreachable(id, 3 * kSecond, kNow);
  CHECK(table.Find(id)->coldUntil > kNow + 3 * kSecond);
  CHECK(table.Find(id)->suspectUntil > kNow);
  table.RecordReachable(id, kNow);
  CHECK(table.Find(id)->suspectUntil <= kNow);
}

// Guards against sound upstreams that get a cold one's few requests because
// they, or the links to them, paused for a second.
TEST_CASE("an upstream that did not answer for a while is not cold if its "
          "connections live on")
{
  UpstreamTable table;
  const UpstreamId id = table.Apply(MakeEntry("u"), kNow);
  table.RecordUnreachable(id, 5 * kSecond, kNow);
  table.RecordUnreachable(id, 5 * kSecond, kNow + kSecond / 2);
  CHECK(table.Find(id)->coldUntil > kNow + 5 * kSecond);
  table.RecordReachable(id, kNow - kSecond);
  CHECK(table.Find(id)->coldUntil <= kNow);
  // New connections still fail, as far as is known.
  CHECK(table.Find(id)->suspectUntil > kNow + kSecond / 2);
  table.RecordReachable(id, kNow + kSecond);
  CHECK(table.Find(id)->suspectUntil <= kNow);
}

TEST_CASE("other instances' load is the reported load less the own")
{
  UpstreamTable table;
  const UpstreamId id = table.Apply(MakeEntry("u"), kNow);
  table.RecordSend(id, 0, kNow);
  table.RecordReportedLoad(id, { 9, 2, 64 }, kNow);
  CHECK(UpstreamTable::Load(*table.Find(id), kNow) == doctest::Approx(11));
  // An old report loses weight.
  CHECK(UpstreamTable::Load(*table.Find(id), kNow + 5 * kSecond) < 2);
}

TEST_CASE("an announced leaving ends only with the next incarnation")
{
  UpstreamTable table;
  const UpstreamId id = table.Apply(MakeEntry("u"), kNow);
  table.RecordLeaving(id, kNow);
  // A list that lags says that it is ready.
  CHECK(table.Apply(MakeEntry("u"), kNow + kSecond) == id);
  CHECK(table.Find(id)->announcedLeaving);
  // Its entry is removed, and a restored store brings it back.
  table.Remove("u", kNow + 2 * kSecond);
  table.Sweep(kNow + 2 * kSecond);
  const UpstreamId back = table.Apply(MakeEntry("u"), kNow + 3 * kSecond);
  CHECK(table.Find(back)->announcedLeaving);
  const UpstreamId next = table.Apply(MakeEntry("u", 2), kNow + 4 * kSecond);
  CHECK_FALSE(table.Find(next)->announcedLeaving);
}

TEST_CASE("an entry that said leaving stays so after a restore")
{
  UpstreamTable table;
  UpstreamEntry entry = MakeEntry("u");
  table.Apply(entry, kNow);
  entry.leaving = true;
  table.Apply(entry, kNow + kSecond);
  entry.leaving = false;
  table.OnStoreRestored(kNow + 2 * kSecond);
  const UpstreamId id = table.Apply(entry, kNow + 2 * kSecond);
  CHECK(table.Find(id)->announcedLeaving);
}

TEST_CASE("a removed entry that a restore brings back is held")
{
  // The upstream may have ended: then its entry expires within the hold.
  UpstreamTable table;
  table.Apply(MakeEntry("gone"), kNow);
  table.Apply(MakeEntry("alive"), kNow);
  table.Remove("gone", kNow + kSecond);
  const TimePoint restored = kNow + 4 * kSecond;
  table.OnStoreRestored(restored);
  const UpstreamId gone = table.Apply(MakeEntry("gone"), restored);
  CHECK(table.Find(gone)->heldUntil ==
        restored + UpstreamTable::kRestoredEntryHold);
  const UpstreamId alive = table.Apply(MakeEntry("alive"), restored);
  CHECK(table.Find(alive)->heldUntil == TimePoint{});
  const UpstreamId fresh = table.Apply(MakeEntry("gone", 2), restored);
  CHECK(table.Find(fresh)->heldUntil == TimePoint{});
}

TEST_CASE("an entry that a restored copy lacks is used once it is back")
{
  UpstreamTable table;
  table.Apply(MakeEntry("u"), kNow);
  const TimePoint restored = kNow + kSecond;
  table.OnStoreRestored(restored);
  CHECK(table.RestoreEnd() > restored);
  table.Remove("u", restored); // the list of the copy
  const UpstreamId id = table.Apply(MakeEntry("u"), restored + kSecond);
  CHECK(table.Find(id)->heldUntil == TimePoint{});
}

TEST_CASE("an entry that returns without a restore is used at once")
{
  UpstreamTable table;
  table.Apply(MakeEntry("u"), kNow);
  table.Remove("u", kNow + kSecond);
  const UpstreamId id = table.Apply(MakeEntry("u"), kNow + 2 * kSecond);
  CHECK(table.Find(id)->heldUntil == TimePoint{});
  CHECK_FALSE(table.Find(id)->announcedLeaving);
}

// Guards against instances that pass an upstream over for good, as they missed
// the reports of its limit's end and ask it nothing themselves.
TEST_CASE("a limit that nobody restates ends at instances without a share")
{
  UpstreamTable table;
  const UpstreamId without = table.Apply(MakeEntry("u"), kNow);
  const UpstreamId holder = table.Apply(MakeEntry("v"), kNow);
  for (const UpstreamId id : { without, holder }) {
    table.RecordRequestLimit(id, 2, kNow, LimitSource::Peer);
  }
  table.SetSendRate(holder, 1, kNow);
  table.Sweep(kNow + UpstreamTable::kUnheardLimitLifetime);
  CHECK(table.Find(without)->requestLimit);
  table.Sweep(kNow + UpstreamTable::kUnheardLimitLifetime + kSecond);
  CHECK_FALSE(table.Find(without)->requestLimit);
  CHECK(table.Find(holder)->requestLimit); // it asks by itself
}

TEST_CASE("a stated slowdown counts while it is fresh")
{
  // Guards against a momentary figure that steers work for seconds.
  UpstreamTable table;
  UpstreamEntry entry;
  entry.name = "u";
  entry.service = "engine";
  const UpstreamId id = table.Apply(entry, kNow);
  CHECK_FALSE(table.StatesSlowdown("engine"));
  table.RecordSlowdown(id, 2.5, kNow);
  CHECK(table.StatesSlowdown("engine"));
  CHECK_FALSE(table.StatesSlowdown("other"));
  const Upstream& upstream = *table.Find(id);
  CHECK(UpstreamTable::Slowdown(upstream, kNow) == 2.5);
  CHECK(UpstreamTable::Slowdown(upstream,
                                kNow + UpstreamTable::kSlowdownLifetime) == 1);
}

TEST_CASE("unreadable loads are logged at a bounded rate")
{
  // Guards against a log line for each response of a faulty upstream.
  UpstreamTable table;
  CHECK(table.RecordUnreadableLoad(kNow) == 1);
  CHECK_FALSE(table.RecordUnreadableLoad(kNow));
  CHECK_FALSE(table.RecordUnreadableLoad(kNow));
  CHECK(table.RecordUnreadableLoad(
          kNow + UpstreamTable::kUnreadableLoadLogInterval) == 3);
}
