#include "hibiscusnotch/store/watcher.hpp"

#include "hibiscusnotch/testing/fake_store.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>
#include <optional>

using namespace hibiscusnotch::store;
using hibiscusnotch::testing::FakeStore;
using hibiscusnotch::testing::MakeObject;
using hibiscusnotch::testing::ManualTimers;

namespace {

constexpr Duration kSecond{ 1'000'000 };

struct Fixture
{
  FakeStore store;
  ManualTimers timers;
  std::vector<std::vector<Object>> listed;
  std::vector<Change> changes;
  TimePoint confirmed{};
  int disconnected = 0;
  int reconnected = 0;
  std::unique_ptr<Watcher> watcher;

  Fixture()
  {
    WatcherOptions options;
    options.kind = "kind";
    options.watchTimeout = 2 * kSecond;
    options.watchTimeoutAfterChange = kSecond / 2;
    WatcherObserver observer;
    observer.onList = [this](const std::vector<Object>& aObjects,
                             StoreVersion) { listed.push_back(aObjects); };
    observer.onChange = [this](const Change& aChange, StoreVersion) {
      changes.push_back(aChange);
    };
    observer.onConfirmed = [this](TimePoint aTime) { confirmed = aTime; };
    observer.onDisconnected = [this](StoreError) { ++disconnected; };
    observer.onReconnected = [this] { ++reconnected; };
    watcher = MakeWatcher(store, timers, options, observer);
  }
};

} // namespace

TEST_CASE("a list of several pages is reported once, when complete")
{
  Fixture fixture;
  fixture.store.AnswerList(0, { MakeObject("a", 1) }, 10, true);
  CHECK(fixture.listed.empty());
  REQUIRE(fixture.store.lists.size() == 2);
  CHECK(fixture.store.lists[1].after == "a");
  fixture.store.AnswerList(1, { MakeObject("b", 2) }, 12);
  REQUIRE(fixture.listed.size() == 1);
  CHECK(fixture.listed[0].size() == 2);
  // The watch also covers changes between the two pages.
  CHECK(fixture.store.watches.at(0).since.revision == 10);
}

TEST_CASE("items without a readable name do not end a list of several pages")
{
  Fixture fixture;
  Object nameless;
  nameless.unreadable = "metadata";
  fixture.store.AnswerList(0, { MakeObject("a", 1), nameless }, 10, true);
  REQUIRE(fixture.store.lists.size() == 2);
  CHECK(fixture.store.lists[1].after == "a");
  // A page from which it is not known how to go on is a failure: what it does
  // not show must not count as removed.
  fixture.store.AnswerList(1, { nameless }, 10, true);
  CHECK(fixture.listed.empty());
  CHECK(fixture.disconnected == 1);
}

TEST_CASE("a watch that times out confirms the state up to its end")
{
  Fixture fixture;
  const TimePoint start = fixture.timers.Now();
  fixture.store.AnswerList(0, {}, 10);
  CHECK(fixture.confirmed == start);
  fixture.timers.Advance(2 * kSecond + kSecond / 10);
  fixture.store.AnswerWatch(0, {}, 10);
  CHECK(fixture.confirmed == start + 2 * kSecond);
}

TEST_CASE("a change confirms the state only as of the watch's request")
{
  Fixture fixture;
  const TimePoint start = fixture.timers.Now();
  fixture.store.AnswerList(0, {}, 10);
  fixture.timers.Advance(kSecond);
  fixture.store.AnswerWatch(0, { { MakeObject("a", 11), false } }, 11);
  CHECK(fixture.confirmed == start);
  CHECK(fixture.changes.size() == 1);
  // The next watch is short, so that a confirmation follows soon.
  fixture.timers.Advance(kSecond / 2);
  REQUIRE(fixture.store.watches.size() == 2);
  CHECK(fixture.store.watches[1].wait == kSecond / 2);
  CHECK(fixture.store.watches[1].since.revision == 11);
}

TEST_CASE("an early empty response confirms only the time of its request")
{
  Fixture fixture;
  fixture.store.AnswerList(0, {}, 10);
  fixture.timers.Advance(kSecond / 10);
  const TimePoint sent = fixture.timers.Now() - kSecond / 10;
  fixture.store.AnswerWatch(0, {}, 10);
  CHECK(fixture.confirmed == sent);
}

TEST_CASE("a lost change history leads to a new list, not to missed changes")
{
  Fixture fixture;
  fixture.store.AnswerList(0, { MakeObject("a", 1) }, 10);
  fixture.store.FailWatch(0, StoreError::HistoryGone);
  fixture.timers.Advance(kSecond);
  REQUIRE(fixture.store.lists.size() == 2);
  fixture.store.AnswerList(1, {}, 30);
  CHECK(fixture.listed.back().empty());
}

TEST_CASE("after a failure the watch resumes from its last revision")
{
  Fixture fixture;
  fixture.store.AnswerList(0, {}, 10);
  fixture.store.FailWatch(0, StoreError::NoResponse);
  CHECK(fixture.disconnected == 1);
  CHECK(fixture.watcher->Disconnected());
  fixture.timers.Advance(kSecond);
  REQUIRE(fixture.store.watches.size() == 2);
  CHECK(fixture.store.watches[1].since.revision == 10);
  fixture.store.restoreTimeLeft = 2 * kSecond;
  fixture.store.AnswerWatch(1, { { MakeObject("a", 12), false } }, 12);
  CHECK(fixture.reconnected == 1);
  // As its source says, which also knows of the other kinds' calls.
  CHECK(fixture.watcher->RestoreEnd() == fixture.timers.Now() + 2 * kSecond);
}

TEST_CASE("a list from a lagging mirror is ignored, and the mirror is watched")
{
  Fixture fixture;
  fixture.store.AnswerList(0, { MakeObject("a", 1) }, 10);
  fixture.store.FailWatch(0, StoreError::HistoryGone);
  fixture.timers.Advance(kSecond / 10);
  REQUIRE(fixture.store.lists.size() == 2);
  fixture.store.AnswerList(1, {}, 9);
  CHECK(fixture.listed.size() == 1);
  // The mirror must be watched. Listing it over and over would leave the kind
  // unconfirmed until the mirror's next change.
  fixture.timers.Advance(kSecond / 10);
  CHECK(fixture.store.lists.size() == 2);
  REQUIRE(fixture.store.watches.size() == 2);
  CHECK(fixture.store.watches[1].since.revision == 10);
  CHECK(fixture.changes.empty());
  fixture.store.AnswerWatch(1, { { MakeObject("b", 12), false } }, 12);
  CHECK(fixture.changes.size() == 1);
}

TEST_CASE("a reader that leaves a mirror goes on from its version")
{
  // Guards against a herd of lists: all readers of a slow mirror leave it at
  // about the same time.
  Fixture fixture;
  fixture.store.AnswerList(0, { MakeObject("a", 1) }, 10);
  fixture.store.FailWatch(0, StoreError::MirrorFailed);
  CHECK(fixture.disconnected == 0); // another source is asked first
  fixture.timers.Advance(kSecond / 10);
  CHECK(fixture.store.lists.size() == 1);
  REQUIRE(fixture.store.watches.size() == 2);
  CHECK(fixture.store.watches[1].since.revision == 10);
}

TEST_CASE("a mirror's response confirms what it says, whatever it was held for")
{
  // The mirror held the poll for 0.7 s and confirmed its data 0.1 s before the
  // response, which is 0.6 s after the request.
  Fixture fixture;
  const TimePoint start = fixture.timers.Now();
  fixture.store.AnswerList(0, {}, 10);
  fixture.timers.Advance(kSecond);
  ChangeBatch batch;
  batch.asOf = { 0, 10 };
  batch.fromMirror = true;
  batch.age = kSecond / 10 - 7 * kSecond / 10;
  const auto reply = fixture.store.watches.at(0).reply;
  reply(batch, StoreError::None);
  CHECK(fixture.confirmed == start + 6 * kSecond / 10);
  CHECK(fixture.store.watches.size() == 2); // the next one follows at once
  // Also after a whole wait the mirror's word counts, not the time waited.
  const TimePoint second = fixture.timers.Now();
  fixture.timers.Advance(2 * kSecond);
  batch.age = -kSecond;
  const auto again = fixture.store.watches.at(1).reply;
  again(batch, StoreError::None);
  CHECK(fixture.confirmed == second + kSecond);
}

TEST_CASE(
  "the list of a restored store is applied though its revision is lower")
{
  Fixture fixture;
  fixture.store.era = 4;
  fixture.store.AnswerList(0, { MakeObject("a", 1), MakeObject("b", 9) }, 10);
  fixture.store.FailWatch(0, StoreError::HistoryGone);
  fixture.timers.Advance(kSecond);
  fixture.store.era = 5;
  fixture.store.AnswerList(1, { MakeObject("a", 1) }, 7);
  REQUIRE(fixture.listed.size() == 2);
  CHECK(fixture.listed.back().size() == 1);
  CHECK(fixture.listed.back()[0].era == 5);
  REQUIRE(fixture.store.watches.size() == 2);
  CHECK(fixture.store.watches[1].since == StoreVersion{ 5, 7 });
}

TEST_CASE("a watch that a restored store answers leads to a new list")
{
  // The revision after which it watches names another change now.
  Fixture fixture;
  fixture.store.era = 4;
  fixture.store.AnswerList(0, { MakeObject("a", 1) }, 10);
  fixture.store.era = 5;
  fixture.store.AnswerWatch(0, { { MakeObject("b", 11), false } }, 11);
  CHECK(fixture.changes.empty());
  fixture.timers.Advance(kSecond);
  CHECK(fixture.store.lists.size() == 2);
}

TEST_CASE("a mirror of the former era is not read")
{
  Fixture fixture;
  fixture.store.era = 5;
  fixture.store.AnswerList(0, { MakeObject("a", 1) }, 10);
  fixture.store.FailWatch(0, StoreError::HistoryGone);
  fixture.timers.Advance(kSecond);
  const TimePoint confirmed = fixture.confirmed;
  fixture.store.era = 4;
  fixture.store.AnswerList(1, { MakeObject("a", 1), MakeObject("b", 11) }, 12);
  CHECK(fixture.listed.size() == 1);
  CHECK(fixture.confirmed == confirmed);
  fixture.timers.Advance(kSecond);
  CHECK(fixture.store.lists.size() == 3); // another source is asked
}

TEST_CASE("a store that is restored between two pages is listed again")
{
  Fixture fixture;
  fixture.store.era = 4;
  fixture.store.AnswerList(0, { MakeObject("a", 1) }, 10, true);
  fixture.store.era = 5;
  fixture.store.AnswerList(1, { MakeObject("b", 2) }, 8);
  CHECK(fixture.listed.empty());
  fixture.timers.Advance(kSecond);
  CHECK(fixture.store.lists.size() == 3);
  CHECK(fixture.store.lists[2].after.empty());
}

TEST_CASE("failures are retried with an increasing, bounded backoff")
{
  Fixture fixture;
  fixture.store.AnswerList(0, {}, 10);
  std::size_t failed = 0;
  for (int step = 0; step < 1000; ++step) {
    while (failed < fixture.store.watches.size()) {
      fixture.store.FailWatch(failed++, StoreError::Refused);
    }
    fixture.timers.Advance(kSecond / 100);
  }
  CHECK(failed > 8);  // still retried about every second
  CHECK(failed < 30); // and not in a tight loop
}

TEST_CASE("a third of the fleet without mirrors during a roll-out: few calls")
{
  // Cut off from its peers, a reader falls back to the store while upstreams
  // change all the time; a hundred others do the same.
  Fixture fixture;
  fixture.store.AnswerList(0, {}, 10);
  std::size_t answered = 0;
  for (uint64_t step = 1; step <= 100; ++step) {
    fixture.timers.Advance(kSecond / 10);
    if (answered == fixture.store.watches.size()) {
      continue; // no watch is open
    }
    ChangeBatch batch;
    batch.asOf = { 0, 10 + step };
    batch.changes = { { MakeObject("a", 10 + step), false } };
    batch.isFallback = true;
    const auto reply = fixture.store.watches[answered++].reply;
    reply(batch, StoreError::None);
  }
  CHECK(fixture.store.watches.size() <= 11); // one a second
}

TEST_CASE("a lost history is no outage")
{
  // The store forgets its history: the zone's first reader lists again and goes
  // on serving the others, which would all turn to the store otherwise.
  Fixture fixture;
  fixture.store.AnswerList(0, { MakeObject("a", 1) }, 10);
  fixture.store.FailWatch(0, StoreError::HistoryGone);
  CHECK_FALSE(fixture.watcher->Disconnected());
  CHECK(fixture.disconnected == 0);
  fixture.timers.Advance(kSecond / 50);
  REQUIRE(fixture.store.lists.size() == 2);
  fixture.store.AnswerList(1, { MakeObject("a", 1) }, 30);
  CHECK(fixture.watcher->RestoreEnd() <= fixture.timers.Now());
}
