#include "hibiscusnotch/entry/evidence_exchange.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::entry;
using namespace hibiscusnotch::routing;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };

RolloutOrder
MakeOrder()
{
  RolloutOrder order;
  order.service = "engine";
  order.target = "v2";
  order.duration = Duration{ 24'000'000 };
  order.creationRevision = 5;
  return order;
}

RolloutNews
MakeBadAnswers(double aCount, uint64_t aCreation = 5)
{
  RolloutEvidence evidence;
  evidence.creationRevision = aCreation;
  evidence.target["r"] = { 0, aCount };
  evidence.baseline["r"] = { 10, 0 };
  return { { { "engine", evidence } }, {} };
}

} // namespace

TEST_CASE("bad answers at instances of two zones roll back at a third one")
{
  // Pattern: many instances, each of which sees few answers of a bad version.
  FleetState member;
  member.rollouts.Apply(MakeOrder(), kNow);
  RolloutHub hub;
  hub.TakeMember("east-1", MakeBadAnswers(1), kNow);
  ApplyOthersNews(hub.SumWithout("east-2", kNow), member, kNow);
  CHECK(member.rollouts.NextState("engine", kNow) != RolloutState::RolledBack);
  RolloutHub farHub;
  farHub.TakeMember("west-1", MakeBadAnswers(2), kNow);
  hub.TakeZone("west", farHub.SumOfMembers(kNow), kNow);
  ApplyOthersNews(hub.SumWithout("east-2", kNow), member, kNow);
  CHECK(member.rollouts.NextState("engine", kNow) == RolloutState::RolledBack);
}

TEST_CASE("sums leave the receiver's own answers out, and no zone's out")
{
  RolloutHub hub;
  hub.TakeMember("a", MakeBadAnswers(1), kNow);
  hub.TakeMember("b", MakeBadAnswers(2), kNow);
  hub.TakeZone("west", MakeBadAnswers(4), kNow);
  const auto bad = [](const RolloutNews& aSum) {
    return aSum.evidence.at("engine").target.at("r").bad;
  };
  CHECK(bad(hub.SumWithout("a", kNow)) == doctest::Approx(6));
  CHECK(bad(hub.SumWithout("b", kNow)) == doctest::Approx(5));
  CHECK(bad(hub.SumWithout("c", kNow)) == doctest::Approx(7));
  // A zone's own sums do not come back to it by way of another zone.
  CHECK(bad(hub.SumOfMembers(kNow)) == doctest::Approx(3));
}

TEST_CASE("a report is replaced by the next one and forgotten when it is old")
{
  RolloutHub hub;
  hub.TakeMember("a", MakeBadAnswers(9), kNow);
  hub.TakeMember("a", MakeBadAnswers(1), kNow);
  CHECK(hub.SumOfMembers(kNow).evidence.at("engine").target.at("r").bad == 1);
  CHECK(hub.SumOfMembers(kNow + RolloutHub::kReportAge * 2).evidence.empty());
}

TEST_CASE("evidence on a former order does not count against the next one")
{
  RolloutHub hub;
  hub.TakeMember("a", MakeBadAnswers(9, 5), kNow);
  hub.TakeMember("b", MakeBadAnswers(1, 6), kNow);
  const RolloutNews sum = hub.SumOfMembers(kNow);
  CHECK(sum.evidence.at("engine").creationRevision == 6);
  CHECK(sum.evidence.at("engine").target.at("r").bad == 1);
}

TEST_CASE("a session that is held at one instance is held at all")
{
  // Pattern: a session's requests reach other instances each time, and a trial
  // begins in between.
  FleetState first;
  FleetState other;
  const TimePoint order = kNow + Duration{ 1'000'000 };
  for (FleetState* fleet : { &first, &other }) {
    fleet->rollouts.Apply(MakeOrder(), order);
  }
  constexpr uint64_t kSampled = 77; // a low hash is among the first to move
  first.rollouts.RecordSessionVersion("engine", kSampled, "v1", kNow);
  RolloutHub hub;
  hub.TakeMember("first", OwnNews(first, order), order);
  ApplyOthersNews(hub.SumWithout("other", order), other, order);
  const TimePoint trial = order + Duration{ 2'000'000 };
  CHECK(other.rollouts.ConstraintFor("engine", kSampled, trial).excluded ==
        "v2");
  CHECK(other.rollouts.ConstraintFor("engine", kSampled + 1, trial).required ==
        "v2");
}
