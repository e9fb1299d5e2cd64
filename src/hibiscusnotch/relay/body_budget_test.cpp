#include "hibiscusnotch/relay/body_budget.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace hibiscusnotch::relay;

namespace {

struct Fixture
{
  int exhausted = 0;
  BodyBudget budget{ 100, [this] { ++exhausted; } };
  std::string taken;

  BodyBudget::WaiterId Wait(std::size_t aBytes, char aName)
  {
    return budget.Wait(aBytes, [this, aName] { taken += aName; });
  }
};

} // namespace

TEST_CASE("bodies that do not fit are admitted in the order of arrival")
{
  Fixture fixture;
  CHECK(fixture.budget.TryTake(60));
  CHECK(fixture.budget.TryTake(40));
  CHECK_FALSE(fixture.budget.TryTake(1));
  fixture.Wait(50, 'a');
  fixture.Wait(10, 'b');
  fixture.Wait(90, 'c');
  CHECK(fixture.exhausted == 1);
  fixture.budget.Release(40);
  CHECK(fixture.taken.empty()); // a short one does not overtake a long one
  CHECK_FALSE(fixture.budget.TryTake(10));
  fixture.budget.Release(60);
  CHECK(fixture.taken == "ab");
  CHECK(fixture.budget.HeldBytes() == 60);
  fixture.budget.Release(60);
  CHECK(fixture.taken == "abc");
  CHECK(fixture.budget.WaitingCount() == 0);
}

TEST_CASE("a body that no longer waits makes room for those behind it")
{
  Fixture fixture;
  CHECK(fixture.budget.TryTake(60));
  const auto longBody = fixture.Wait(90, 'a');
  fixture.Wait(30, 'b');
  fixture.budget.CancelWait(longBody);
  CHECK(fixture.taken == "b");
  fixture.budget.CancelWait(longBody);
  CHECK(fixture.budget.HeldBytes() == 90);
}

TEST_CASE("a body above the limit is admitted alone")
{
  Fixture fixture;
  CHECK(fixture.budget.TryTake(500));
  CHECK_FALSE(fixture.budget.TryTake(1));
  fixture.budget.Release(500);
  CHECK(fixture.budget.TryTake(1));
  BodyBudget unbounded(0, [] {});
  CHECK(unbounded.TryTake(1'000'000));
  CHECK(unbounded.TryTake(1'000'000));
}
