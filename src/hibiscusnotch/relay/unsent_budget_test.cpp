#include "hibiscusnotch/relay/unsent_budget.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace hibiscusnotch::relay;

namespace {

constexpr Duration kSecond{ 1'000'000 };

struct Fixture
{
  std::vector<int> ended;
  std::vector<EndedExchange> reports;
  UnsentBudget budget{ 100, [this](const EndedExchange& aEnded) {
                        reports.push_back(aEnded);
                      } };
  TimePoint start{ 10 * kSecond };

  UnsentBudget::HolderId Add(int aName, TimePoint aNow)
  {
    return budget.Add([this, aName] { ended.push_back(aName); }, aNow);
  }
};

} // namespace

// Guards against ending the newest exchange, or one whose client reads.
TEST_CASE("the exchange that has gone unread longest is ended")
{
  Fixture fixture;
  const auto reading = fixture.Add(1, fixture.start);
  const auto stuck = fixture.Add(2, fixture.start + kSecond);
  const auto newest = fixture.Add(3, fixture.start + 3 * kSecond);
  fixture.budget.SetHeld(reading, 60, fixture.start);
  fixture.budget.SetHeld(stuck, 20, fixture.start + kSecond);
  fixture.budget.RecordProgress(reading, fixture.start + 2 * kSecond);
  fixture.budget.SetHeld(newest, 20, fixture.start + 3 * kSecond);
  CHECK(fixture.ended.empty());
  fixture.budget.SetHeld(newest, 21, fixture.start + 4 * kSecond);
  CHECK(fixture.ended == std::vector{ 2 });
  CHECK(fixture.budget.HeldBytes() == 81);
  CHECK(fixture.budget.EndedCount() == 1);
  REQUIRE(fixture.reports.size() == 1);
  CHECK(fixture.reports[0].bytes == 20);
  CHECK(fixture.reports[0].unread == 3 * kSecond);
}

// Guards against releasing an ended exchange's bytes twice.
TEST_CASE("an ended exchange holds nothing any more")
{
  Fixture fixture;
  const auto first = fixture.Add(1, fixture.start);
  const auto second = fixture.Add(2, fixture.start + kSecond);
  fixture.budget.SetHeld(first, 70, fixture.start);
  fixture.budget.SetHeld(second, 40, fixture.start + kSecond);
  fixture.budget.SetHeld(first, 90, fixture.start + kSecond);
  fixture.budget.Remove(first);
  CHECK(fixture.ended == std::vector{ 1 });
  CHECK(fixture.budget.HeldBytes() == 40);
  fixture.budget.Remove(second);
  CHECK(fixture.budget.HeldBytes() == 0);
}

// Guards against a bound at deployments that state no memory.
TEST_CASE("without a limit nothing is ended")
{
  std::vector<int> ended;
  UnsentBudget budget(0, {});
  const auto holder =
    budget.Add([&ended] { ended.push_back(1); }, TimePoint{ kSecond });
  budget.SetHeld(holder, std::size_t{ 1 } << 40, TimePoint{ kSecond });
  CHECK(ended.empty());
}
