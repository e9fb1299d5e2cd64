#include "hibiscusnotch/store/loss_detecting_store.hpp"

#include "hibiscusnotch/store/watcher.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"
#include "hibiscusnotch/testing/simulated_store.hpp"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace hibiscusnotch::store;
using hibiscusnotch::testing::ManualTimers;
using hibiscusnotch::testing::SimulatedStore;

namespace {

constexpr Duration kSecond{ 1'000'000 };
// A disrupted store counts as stable after three seconds, and changes have two
// more to take effect.
constexpr Duration kCatchUpTime = 5 * kSecond;

/// Watches a kind with a short timeout, "canary", and two with a long one.
struct Fixture
{
  ManualTimers timers;
  SimulatedStore direct{ timers };
  std::map<std::string, WatchLoss> lost;
  std::unique_ptr<ObjectStore> store = MakeLossDetectingStore(
    direct,
    timers,
    {},
    { [this](const std::string& aKind, WatchLoss aReason, Duration) {
      lost[aKind] = aReason;
    } });
  std::map<std::string, std::set<std::string>> known;
  std::map<std::string, std::unique_ptr<Watcher>> watchers;

  Fixture()
  {
    direct.Put("upstreams", "a");
    Watch("canary", kSecond);
    Watch("upstreams", 8 * kSecond);
    Watch("evacuations", 8 * kSecond);
    timers.Advance(3 * kSecond);
  }

  void Watch(const std::string& aKind, Duration aTimeout)
  {
    WatcherOptions options;
    options.kind = aKind;
    options.watchTimeout = aTimeout;
    WatcherObserver observer;
    observer.onList = [this, aKind](const std::vector<Object>& aObjects,
                                    StoreVersion) {
      known[aKind].clear();
      for (const Object& object : aObjects) {
        known[aKind].insert(object.name);
      }
    };
    observer.onChange = [this, aKind](const Change& aChange, StoreVersion) {
      if (aChange.removed) {
        known[aKind].erase(aChange.object.name);
      } else {
        known[aKind].insert(aChange.object.name);
      }
    };
    observer.onConfirmed = [](TimePoint) {};
    observer.onDisconnected = [](StoreError) {};
    observer.onReconnected = [] {};
    watchers[aKind] = MakeWatcher(*store, timers, options, observer);
  }

  bool Knows(const std::string& aKind, const std::string& aName) const
  {
    return known.at(aKind).contains(aName);
  }
};

} // namespace

TEST_CASE("a change during a short silence of the store is seen soon after")
{
  // Guards against requests to upstreams that left while a watch was mute: its
  // response was lost, and it would only time out after almost nine seconds.
  for (int start = 0; start < 20; ++start) {
    for (const Duration silence :
         { kSecond / 5, 3 * kSecond / 2, 4 * kSecond }) {
      Fixture fixture;
      fixture.timers.Advance(start * kSecond / 20);
      fixture.direct.GoSilent(silence);
      fixture.timers.Advance(silence / 2);
      fixture.direct.Put("upstreams", "b");
      fixture.direct.Remove("upstreams", "a");
      fixture.timers.Advance(silence - silence / 2 + kCatchUpTime);
      CAPTURE(start);
      CAPTURE(silence.count());
      CHECK(fixture.Knows("upstreams", "b"));
      CHECK_FALSE(fixture.Knows("upstreams", "a"));
    }
  }
}

TEST_CASE("a watch that a silent store did not receive is sent again")
{
  // The upstreams' watch answers just before the silence; the next one is lost.
  Fixture fixture;
  fixture.direct.Put("upstreams", "b");
  fixture.timers.Advance(kSecond / 100);
  fixture.direct.GoSilent(3 * kSecond / 2);
  fixture.timers.Advance(3 * kSecond / 2);
  fixture.timers.Advance(kSecond);
  fixture.direct.Put("upstreams", "c");
  fixture.timers.Advance(kCatchUpTime - kSecond);
  CHECK(fixture.Knows("upstreams", "c"));
  CHECK(fixture.lost.at("upstreams") == WatchLoss::Outage);
  // An upstream whose entry expired meanwhile may return.
  CHECK(fixture.lost.at("evacuations") == WatchLoss::Outage);
}

TEST_CASE("a lost response of one watch shows in the revision of another")
{
  // A silence that no other call runs into.
  Fixture fixture;
  fixture.timers.Advance(kSecond / 2);
  fixture.direct.GoSilent(kSecond / 10);
  fixture.direct.Put("evacuations", "east");
  fixture.timers.Advance(kCatchUpTime);
  CHECK(fixture.Knows("evacuations", "east"));
  CHECK(fixture.lost.at("evacuations") == WatchLoss::Revision);
  // That is no sign that entries have expired.
  CHECK(fixture.watchers.at("evacuations")->RestoreEnd() <=
        fixture.timers.Now());
}

TEST_CASE("a store that does not fail gets no call more")
{
  // The calls of ten minutes in which an upstream changes every 0.7 s, beside
  // those of the same watchers without the detection of losses.
  const auto calls = [](bool aDetect) {
    ManualTimers timers;
    SimulatedStore direct(timers);
    const auto detecting = MakeLossDetectingStore(
      direct, timers, {}, { [](const std::string&, WatchLoss, Duration) {
        FAIL("no watch is lost");
      } });
    ObjectStore& store = aDetect ? *detecting : direct;
    std::vector<std::unique_ptr<Watcher>> watchers;
    for (const auto& [kind, timeout] :
         std::map<std::string, Duration>{ { "canary", kSecond },
                                          { "upstreams", 8 * kSecond },
                                          { "evacuations", 8 * kSecond } }) {
      WatcherOptions options;
      options.kind = kind;
      options.watchTimeout = timeout;
      WatcherObserver observer{ [](const std::vector<Object>&, StoreVersion) {},
                                [](const Change&, StoreVersion) {},
                                [](TimePoint) {},
                                [](StoreError) {},
                                [] {} };
      watchers.push_back(MakeWatcher(store, timers, options, observer));
    }
    for (int step = 0; step < 850; ++step) {
      timers.Advance(7 * kSecond / 10);
      direct.Put("upstreams", "a" + std::to_string(step % 7));
      if (step % 3 == 0) {
        direct.Remove("upstreams", "a" + std::to_string(step % 7));
      }
    }
    return direct.CallCount();
  };
  CHECK(calls(true) == calls(false));
}

TEST_CASE("a restored store is listed again though its watches stay open")
{
  Fixture fixture;
  fixture.direct.Restore();
  fixture.timers.Advance(3 * kSecond);
  CHECK(fixture.lost.at("upstreams") == WatchLoss::Restored);
  CHECK(fixture.Knows("upstreams", "a"));
  fixture.direct.Put("upstreams", "b");
  fixture.timers.Advance(kSecond);
  CHECK(fixture.Knows("upstreams", "b"));
}
