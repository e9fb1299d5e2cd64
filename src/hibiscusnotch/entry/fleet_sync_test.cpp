#include "hibiscusnotch/entry/fleet_sync.hpp"

#include "hibiscusnotch/testing/fake_store.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace hibiscusnotch::entry;
using namespace hibiscusnotch::routing;
using hibiscusnotch::store::EncodedValue;
using hibiscusnotch::store::Mirror;
using hibiscusnotch::store::Object;
using hibiscusnotch::testing::FakeStore;
using hibiscusnotch::testing::MakeObject;
using hibiscusnotch::testing::ManualTimers;

namespace {

constexpr Duration kSecond{ 1'000'000 };

/// The revision of an object is its configuration's version.
class TestCodec : public StoreCodec
{
public:
  const StoreKinds& Kinds() const override { return kinds_; }
  void ReduceObject(const std::string& /*aKind*/,
                    Object& /*aObject*/) const override
  {
  }
  std::optional<Configuration> ReadConfiguration(
    const Object& aObject,
    std::string& /*aLastReason*/) const override
  {
    Configuration configuration;
    configuration.version = aObject.spec.ToJson().get<uint64_t>();
    return configuration;
  }
  std::optional<UpstreamEntry> ReadUpstream(
    const Object& aObject,
    std::string& /*aLastReason*/) const override
  {
    UpstreamEntry entry;
    entry.name = aObject.name;
    entry.leaving = aObject.spec.ToJson() == "leaving";
    return entry;
  }
  std::optional<RolloutOrder> ReadRollout(
    const Object& aObject,
    std::string& /*aLastReason*/) const override
  {
    RolloutOrder order;
    order.service = aObject.name;
    order.target = "v2";
    order.duration = 20 * kSecond;
    order.era = aObject.era;
    order.revision = aObject.revision;
    order.creationRevision = aObject.creationRevision;
    return order;
  }
  nlohmann::json WriteRolloutStatus(const RolloutOrder& /*aOrder*/,
                                    RolloutState aState) const override
  {
    return static_cast<int>(aState);
  }

private:
  StoreKinds kinds_{ "c", "u", "r", "e", "i" };
};

class FakeMirrorServer : public hibiscusnotch::store::MirrorServer
{
public:
  Mirror& MirrorOf(const std::string& aKind) override
  {
    return mirrors_[aKind];
  }
  void Publish(const std::string& /*aKind*/) override {}
  void ConfirmUpTo(const std::string& /*aKind*/, TimePoint /*aTime*/) override
  {
  }
  void SetConnected(bool /*aConnected*/) override {}
  void SetRestoreEnd(TimePoint /*aTime*/) override {}

private:
  std::map<std::string, Mirror> mirrors_;
};

Object
MakeInstance(const std::string& aName)
{
  Object object = MakeObject(aName, 2);
  object.spec = EncodedValue::FromJson({ { "ip", "10.0.0.1" },
                                         { "port", 7000 },
                                         { "zone", "east" },
                                         { "capacity", 120 } });
  return object;
}

Object
MakeConfiguration(uint64_t aVersion)
{
  Object object = MakeObject("main", aVersion);
  object.spec = EncodedValue::FromJson(aVersion);
  return object;
}

struct Fixture
{
  FakeStore store;
  ManualTimers timers;
  TestCodec storeCodec;
  FakeMirrorServer mirrors;
  FleetState fleet;
  EventLog log{ timers, { "test", 0, 0 } };
  std::unique_ptr<FleetSync> sync;

  Fixture()
  {
    store.era = 1;
    FleetSyncOptions options;
    options.instanceName = "self";
    options.zone = "east";
    options.capacity = 120;
    sync = MakeFleetSync(
      options,
      { store, store, mirrors, timers, storeCodec, fleet, log, [] {} });
    timers.Advance(Duration{ 1 });
    // The instances' list starts the watches of the other kinds.
    store.AnswerList(
      0, { MakeInstance("self"), MakeInstance("a"), MakeInstance("b") }, 10);
  }

  /// Index of the last list call of the kind.
  std::size_t LastListOf(const std::string& aKind)
  {
    std::size_t found = store.lists.size();
    for (std::size_t index = 0; index < store.lists.size(); ++index) {
      if (store.lists[index].kind == aKind) {
        found = index;
      }
    }
    REQUIRE(found < store.lists.size());
    return found;
  }

  void List(const std::string& aKind,
            const std::vector<Object>& aObjects,
            uint64_t aAsOf)
  {
    store.AnswerList(LastListOf(aKind), aObjects, aAsOf);
  }

  /// The watch of the kind ends; the store has been restored.
  void Restore(const std::string& aKind,
               const std::vector<Object>& aObjects,
               uint64_t aAsOf)
  {
    store.era = 2;
    for (std::size_t index = store.watches.size(); index-- > 0;) {
      if (store.watches[index].kind == aKind) {
        store.FailWatch(index, hibiscusnotch::store::StoreError::HistoryGone);
        break;
      }
    }
    timers.Advance(kSecond / 10);
    List(aKind, aObjects, aAsOf);
  }

  std::size_t Registrations() const
  {
    std::size_t count = 0;
    for (const auto& call : store.objects) {
      count += call.verb == "create" ? 1 : 0;
    }
    return count;
  }
};

} // namespace

TEST_CASE("an instance's object that cannot be read is not used")
{
  Fixture fixture;
  Object broken = MakeInstance("c");
  nlohmann::json spec = broken.spec.ToJson();
  spec.erase("zone");
  broken.spec = EncodedValue::FromJson(spec);
  fixture.store.AnswerWatch(0, { { broken, false } }, 11);
  CHECK_FALSE(fixture.fleet.instances.contains("c"));
  CHECK(fixture.fleet.instances.at("a").capacity == 120);
}

TEST_CASE("an odd entry among the instances costs itself alone")
{
  // Guards against mirrors and hops at a port that was cut to 16 bits.
  Fixture fixture;
  std::vector<hibiscusnotch::store::Change> changes;
  const std::vector<nlohmann::json> ports{
    0, 65535, 70000, -1, 1e300, 18446744073709551615ULL, "7000", nullptr
  };
  for (std::size_t index = 0; index < ports.size(); ++index) {
    Object odd = MakeInstance("odd" + std::to_string(index));
    nlohmann::json spec = odd.spec.ToJson();
    spec["port"] = ports[index];
    odd.spec = EncodedValue::FromJson(spec);
    changes.push_back({ odd, false });
  }
  Object undecoded = MakeObject("undecoded", 3);
  undecoded.unreadable = "spec: nested too deeply";
  changes.push_back({ undecoded, false });
  changes.push_back({ MakeInstance("d"), false });
  fixture.store.AnswerWatch(0, changes, 11);
  CHECK(fixture.fleet.instances.size() == 4); // self, a, b and d
  CHECK(fixture.fleet.instances.contains("d"));
  CHECK(fixture.fleet.unreadableObjects.at("i").size() == ports.size() + 1);
}

TEST_CASE("an unreadable object counts until it can be read or is gone")
{
  Fixture fixture;
  Object odd = MakeInstance("c");
  odd.spec = {};
  fixture.store.AnswerWatch(
    0, { { odd, false }, { MakeObject("e", 3), false } }, 11);
  CHECK(fixture.fleet.unreadableObjects.at("i").size() == 2);
  fixture.timers.Advance(kSecond);
  std::size_t watch = fixture.store.watches.size();
  while (fixture.store.watches[--watch].kind != "i") {
  }
  fixture.store.AnswerWatch(
    watch, { { MakeInstance("c"), false }, { MakeObject("e", 3), true } }, 12);
  CHECK(fixture.fleet.unreadableObjects.at("i").empty());
  CHECK(fixture.fleet.instances.contains("c"));
}

TEST_CASE("an instance that a restored store has forgotten registers again")
{
  Fixture fixture;
  CHECK(fixture.Registrations() == 1);
  fixture.Restore("i", { MakeInstance("a") }, 6);
  fixture.timers.Advance(kSecond + kSecond / 10);
  CHECK(fixture.Registrations() == 2);
  // The others have the same time to do so before they count as gone.
  CHECK(fixture.fleet.instances.contains("b"));
  CHECK(fixture.fleet.storeEra == 2);
  fixture.timers.Advance(5 * kSecond);
  CHECK_FALSE(fixture.fleet.instances.contains("b"));
  CHECK(fixture.fleet.instances.contains("self"));
}

TEST_CASE("a configuration older than the known one does not come back")
{
  // Keys that were taken away and routes that moved stay so.
  Fixture fixture;
  fixture.List("c", { MakeConfiguration(8) }, 10);
  fixture.Restore("c", { MakeConfiguration(5) }, 6);
  CHECK(fixture.fleet.configuration->version == 8);
}

TEST_CASE("what operators ordered holds until a restored store has it again")
{
  Fixture fixture;
  fixture.List("e", { MakeObject("west", 3) }, 10);
  fixture.List("r", { MakeObject("engine", 4) }, 10);
  const TimePoint ordered = fixture.timers.Now();
  fixture.Restore("e", {}, 6);
  fixture.Restore("r", {}, 6);
  CHECK(fixture.fleet.evacuatedZones.contains("west"));
  REQUIRE(fixture.fleet.rollouts.Find("engine"));
  // The roll-out is written again, with a number that was given out before.
  std::size_t watch = fixture.store.watches.size();
  while (fixture.store.watches[--watch].kind != "r") {
  }
  fixture.store.AnswerWatch(watch, { { MakeObject("engine", 7), false } }, 7);
  fixture.timers.Advance(6 * kSecond);
  REQUIRE(fixture.fleet.rollouts.Find("engine"));
  CHECK(fixture.fleet.rollouts.LocalEvidence(fixture.timers.Now())
          .at("engine")
          .age == fixture.timers.Now() - ordered);
  // The evacuation is not: it ended before the restore.
  CHECK(fixture.fleet.evacuatedZones.empty());
}

TEST_CASE("an upstream known to leave stays excluded after a restore")
{
  Fixture fixture;
  Object leaving = MakeObject("u", 4);
  leaving.spec = EncodedValue::FromJson("leaving");
  fixture.List("u", { leaving }, 10);
  fixture.Restore("u", { MakeObject("u", 2) }, 6);
  const auto id = fixture.fleet.upstreams.FindByName("u");
  REQUIRE(id);
  CHECK(fixture.fleet.upstreams.Find(*id)->announcedLeaving);
}

TEST_CASE("an instance that shuts down does not register again")
{
  // Its own removal arrives while it drains; a restored store may lack it, too.
  Fixture fixture;
  fixture.sync->Deregister();
  fixture.store.AnswerWatch(0, { { MakeInstance("self"), true } }, 11);
  fixture.timers.Advance(kSecond);
  CHECK(fixture.Registrations() == 1);
  fixture.Restore("i", { MakeInstance("a") }, 6);
  fixture.timers.Advance(2 * kSecond);
  CHECK(fixture.Registrations() == 1);
}

TEST_CASE("shares of limits pass between instances with a pause")
{
  // Guards against shares that two instances use: the one that had it until its
  // registration went, and those among which it was divided then.
  Fixture fixture;
  const auto senders = [&fixture] {
    return SendersTo(fixture.fleet, "east").size();
  };
  // The others count a new instance only after a while.
  CHECK(fixture.fleet.sharesFrom == fixture.timers.Now() + kShareHandover);
  Object self = MakeInstance("self");
  Object other = MakeInstance("b");
  fixture.store.AnswerWatch(0, { { other, true } }, 11);
  CHECK(fixture.fleet.instances.size() == 2);
  CHECK(senders() == 3);
  fixture.timers.Advance(kShareHandover + kSecond / 2);
  CHECK(senders() == 2);
  CHECK(fixture.fleet.sharesFrom <= fixture.timers.Now());
  // A peer that has deleted this instance as unreachable divides its shares.
  const auto answer = [&fixture](const Object& aObject, bool aRemoved) {
    const std::string& kind = fixture.storeCodec.Kinds().instances;
    for (std::size_t index = fixture.store.watches.size(); index-- > 0;) {
      if (fixture.store.watches[index].kind == kind) {
        fixture.store.AnswerWatch(
          index, { { aObject, aRemoved } }, aObject.revision);
        return;
      }
    }
  };
  self.revision = 12;
  answer(self, true);
  CHECK(fixture.fleet.sharesFrom == TimePoint::max());
  fixture.timers.Advance(kSecond);
  self.revision = 13;
  answer(self, false);
  CHECK(fixture.fleet.sharesFrom == fixture.timers.Now() + kShareHandover);
}
