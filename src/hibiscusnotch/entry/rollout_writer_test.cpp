#include "hibiscusnotch/entry/rollout_writer.hpp"

#include "hibiscusnotch/testing/fake_store.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::entry;
using namespace hibiscusnotch::routing;
using hibiscusnotch::store::EncodedValue;
using hibiscusnotch::store::Object;
using hibiscusnotch::store::StoreError;
using hibiscusnotch::testing::FakeStore;
using hibiscusnotch::testing::ManualTimers;

namespace {

constexpr Duration kSecond{ 1'000'000 };

/// Stores the state's number as the object's status.
class TestCodec : public StoreCodec
{
public:
  const StoreKinds& Kinds() const override { return kinds_; }
  void ReduceObject(const std::string& /*aKind*/,
                    Object& /*aObject*/) const override
  {
  }
  std::optional<Configuration> ReadConfiguration(
    const Object& /*aObject*/,
    std::string& /*aLastReason*/) const override
  {
    return std::nullopt;
  }
  std::optional<UpstreamEntry> ReadUpstream(
    const Object& /*aObject*/,
    std::string& /*aLastReason*/) const override
  {
    return std::nullopt;
  }
  std::optional<RolloutOrder> ReadRollout(
    const Object& aObject,
    std::string& /*aLastReason*/) const override
  {
    RolloutOrder order;
    order.service = aObject.name;
    order.target = "v2";
    order.duration = 20 * kSecond;
    order.revision = aObject.revision;
    order.creationRevision = aObject.creationRevision;
    order.state = static_cast<RolloutState>(
      aObject.status.IsNull() ? 0 : aObject.status.ToJson().get<int>());
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

struct Fixture
{
  FakeStore store;
  ManualTimers timers;
  TestCodec storeCodec;
  FleetState fleet;
  EventLog log{ timers, { "test", 0, 0 } };
  std::unique_ptr<RolloutWriter> writer;

  Fixture()
  {
    fleet.instances["self"] = { {}, "east" };
    writer =
      MakeRolloutWriter("self", { store, timers, storeCodec, fleet, log });
  }

  void Order(uint64_t aRevision, RolloutState aState = RolloutState::Ordered)
  {
    fleet.rollouts.Apply(*Read(aRevision, aState), timers.Now());
  }

  std::optional<RolloutOrder> Read(uint64_t aRevision, RolloutState aState)
  {
    std::string reason;
    return storeCodec.ReadRollout(MakeObject(aRevision, aState), reason);
  }

  static Object MakeObject(uint64_t aRevision, RolloutState aState)
  {
    Object object;
    object.name = "engine";
    object.revision = aRevision;
    object.creationRevision = 3;
    object.status = EncodedValue::FromJson(static_cast<int>(aState));
    return object;
  }
};

} // namespace

TEST_CASE("an order is written as running, then as succeeded")
{
  Fixture fixture;
  fixture.Order(3);
  fixture.timers.Advance(kSecond);
  REQUIRE(fixture.store.objects.size() == 1);
  CHECK(fixture.store.objects[0].verb == "status");
  CHECK(fixture.store.objects[0].object.revision == 3);
  fixture.store.objects[0].reply(Fixture::MakeObject(4, RolloutState::Running),
                                 StoreError::None);
  fixture.timers.Advance(18 * kSecond);
  CHECK(fixture.store.objects.size() == 1); // the target is unseen
  for (int answer = 0; answer < 8; ++answer) {
    fixture.fleet.rollouts.RecordAnswer(
      "engine", "v2", "r", "r", true, kSecond / 10, fixture.timers.Now());
  }
  fixture.timers.Advance(3 * kSecond);
  REQUIRE(fixture.store.objects.size() == 2);
  CHECK(fixture.store.objects[1].object.revision == 4);
  CHECK(fixture.store.objects[1].object.status.ToJson() ==
        static_cast<int>(RolloutState::Succeeded));
}

TEST_CASE("a write whose response is lost is read back first")
{
  Fixture fixture;
  fixture.Order(3);
  fixture.timers.Advance(kSecond);
  fixture.store.objects[0].reply(std::nullopt, StoreError::NoResponse);
  REQUIRE(fixture.store.objects.size() == 2);
  CHECK(fixture.store.objects[1].verb == "get");
  fixture.timers.Advance(5 * kSecond);
  CHECK(fixture.store.objects.size() == 2);
  fixture.store.objects[1].reply(Fixture::MakeObject(4, RolloutState::Running),
                                 StoreError::None);
  fixture.timers.Advance(kSecond);
  CHECK(fixture.store.objects.size() == 2); // the first write had succeeded
}

TEST_CASE("after a conflicting write the store's state is adopted")
{
  Fixture fixture;
  fixture.Order(3);
  fixture.timers.Advance(kSecond);
  fixture.store.objects[0].reply(std::nullopt, StoreError::Conflict);
  REQUIRE(fixture.store.objects.size() == 2);
  fixture.store.objects[1].reply(
    Fixture::MakeObject(6, RolloutState::RolledBack), StoreError::None);
  fixture.timers.Advance(30 * kSecond);
  CHECK(fixture.store.objects.size() == 2);
  CHECK(fixture.fleet.rollouts.ConstraintFor("engine", 0, fixture.timers.Now())
          .excluded == "v2");
}

TEST_CASE("lower-ranked instances delay their write")
{
  Fixture fixture;
  for (int peer = 0; peer < 40; ++peer) {
    fixture.fleet.instances["peer" + std::to_string(peer)] = { {}, "east" };
  }
  fixture.Order(3);
  fixture.timers.Advance(kSecond / 2);
  CHECK(fixture.store.objects.empty());
  fixture.timers.Advance(3 * kSecond);
  CHECK(fixture.store.objects.size() == 1);
}

TEST_CASE("refused writes are retried with backoff")
{
  // Guards against needless calls to a store that refuses this instance for
  // seconds while other instances write the same state.
  Fixture fixture;
  fixture.Order(3);
  fixture.timers.Advance(kSecond);
  std::size_t answered = 0;
  for (int step = 0; step < 50; ++step) {
    while (answered < fixture.store.objects.size()) {
      const auto reply = fixture.store.objects[answered++].reply;
      reply(std::nullopt, StoreError::Refused);
    }
    fixture.timers.Advance(kSecond / 5);
  }
  // Ten seconds with backoffs of 0.3, 0.6, 1.2, 2.4, 2.4, 2.4 s.
  CHECK(fixture.store.objects.size() >= 5);
  CHECK(fixture.store.objects.size() <= 8);
  for (const auto& call : fixture.store.objects) {
    CHECK(call.verb == "status"); // nothing was written, so no read-back
  }
}

TEST_CASE("an order of the former era is not written to a restored store")
{
  // Its revision may name another object there.
  Fixture fixture;
  fixture.Order(3);
  fixture.store.era = 1;
  fixture.timers.Advance(5 * kSecond);
  CHECK(fixture.store.objects.empty());
  RolloutOrder again = *fixture.Read(2, RolloutState::Ordered);
  again.era = 1;
  fixture.fleet.rollouts.Apply(again, fixture.timers.Now());
  fixture.timers.Advance(kSecond);
  REQUIRE(fixture.store.objects.size() == 1);
  CHECK(fixture.store.objects[0].object.revision == 2);
}
