#include "hibiscusnotch/entry/rollout_aggregator.hpp"

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

RolloutReport
MakeBadAnswers(double aCount, uint64_t aCreation = 5)
{
  RolloutEvidence evidence;
  evidence.creationRevision = aCreation;
  evidence.orderedVersion = "v2";
  evidence.target["r"] = { 0, aCount };
  evidence.baseline["r"] = { 10, 0 };
  return { { { "engine", evidence } }, {} };
}

} // namespace

TEST_CASE("failures at instances of two zones cause a rollback at a third")
{
  // Guards against a missed rollback when each of many instances sees only a
  // few failures of a version.
  FleetState member;
  member.rollouts.Apply(MakeOrder(), kNow);
  RolloutAggregator aggregator;
  aggregator.SetMemberReport("east-1", MakeBadAnswers(1), kNow);
  ApplyRolloutReport(aggregator.TotalExcluding("east-2", kNow), member, kNow);
  CHECK(member.rollouts.NextState("engine", kNow) != RolloutState::RolledBack);
  RolloutAggregator remoteAggregator;
  remoteAggregator.SetMemberReport("west-1", MakeBadAnswers(2), kNow);
  aggregator.SetZoneReport("west", remoteAggregator.TotalOfMembers(kNow), kNow);
  ApplyRolloutReport(aggregator.TotalExcluding("east-2", kNow), member, kNow);
  CHECK(member.rollouts.NextState("engine", kNow) == RolloutState::RolledBack);
}

TEST_CASE("totals exclude only the receiver's own answers")
{
  RolloutAggregator aggregator;
  aggregator.SetMemberReport("a", MakeBadAnswers(1), kNow);
  aggregator.SetMemberReport("b", MakeBadAnswers(2), kNow);
  aggregator.SetZoneReport("west", MakeBadAnswers(4), kNow);
  const auto bad = [](const RolloutReport& aTotal) {
    return aTotal.evidence.at("engine").target.at("r").bad;
  };
  CHECK(bad(aggregator.TotalExcluding("a", kNow)) == doctest::Approx(6));
  CHECK(bad(aggregator.TotalExcluding("b", kNow)) == doctest::Approx(5));
  CHECK(bad(aggregator.TotalExcluding("c", kNow)) == doctest::Approx(7));
  // A zone's total does not return to it through another zone.
  CHECK(bad(aggregator.TotalOfMembers(kNow)) == doctest::Approx(3));
}

TEST_CASE("a newer report replaces an older one, and reports expire")
{
  RolloutAggregator aggregator;
  aggregator.SetMemberReport("a", MakeBadAnswers(9), kNow);
  aggregator.SetMemberReport("a", MakeBadAnswers(1), kNow);
  CHECK(
    aggregator.TotalOfMembers(kNow).evidence.at("engine").target.at("r").bad ==
    1);
  CHECK(aggregator.TotalOfMembers(kNow + RolloutAggregator::kMaxReportAge * 2)
          .evidence.empty());
}

TEST_CASE("evidence on an earlier order does not count for the next one")
{
  RolloutAggregator aggregator;
  aggregator.SetMemberReport("a", MakeBadAnswers(9, 5), kNow);
  aggregator.SetMemberReport("b", MakeBadAnswers(1, 6), kNow);
  const RolloutReport total = aggregator.TotalOfMembers(kNow);
  CHECK(total.evidence.at("engine").creationRevision == 6);
  CHECK(total.evidence.at("engine").target.at("r").bad == 1);
}

TEST_CASE("evidence on an order that was replaced in place does not count")
{
  // Both orders are the same stored object; the later one is younger.
  RolloutReport former = MakeBadAnswers(9);
  former.evidence.at("engine").age = Duration{ 9'000'000 };
  RolloutReport later = MakeBadAnswers(1);
  later.evidence.at("engine").orderedVersion = "v3";
  later.evidence.at("engine").age = Duration{ 1'000'000 };
  for (const bool formerFirst : { true, false }) {
    RolloutAggregator aggregator;
    aggregator.SetMemberReport("a", formerFirst ? former : later, kNow);
    aggregator.SetMemberReport("b", formerFirst ? later : former, kNow);
    const RolloutReport total = aggregator.TotalOfMembers(kNow);
    CHECK(total.evidence.at("engine").orderedVersion == "v3");
    CHECK(total.evidence.at("engine").target.at("r").bad == 1);
  }
}

TEST_CASE("the furthest schedule and all recent traffic are reported")
{
  RolloutReport first = MakeBadAnswers(1);
  RolloutEvidence& evidence = first.evidence.at("engine");
  evidence.age = Duration{ 9'000'000 };
  evidence.progress = Duration{ 4'000'000 };
  evidence.recent = { 3, 1 };
  RolloutReport second = first;
  second.evidence.at("engine").progress = Duration{ 5'000'000 };
  RolloutReport total = first;
  Merge(total, second);
  CHECK(total.evidence.at("engine").progress == Duration{ 5'000'000 });
  CHECK(total.evidence.at("engine").recent.arrivals == 6);
  CHECK(total.evidence.at("engine").recent.answers == 2);
  // The schedule of an older build follows the order's age.
  second.evidence.at("engine").progress.reset();
  Merge(total, second);
  CHECK(total.evidence.at("engine").progress == Duration{ 9'000'000 });
}

TEST_CASE("a session pinned at one instance is pinned at all")
{
  // Guards against a session that changes version when the canary phase starts
  // between its requests and the next one reaches another instance.
  FleetState first;
  FleetState other;
  const TimePoint order = kNow + Duration{ 1'000'000 };
  for (FleetState* fleet : { &first, &other }) {
    fleet->rollouts.Apply(MakeOrder(), order);
  }
  constexpr uint64_t kCanarySession = 77; // a low hash is in any canary share
  first.rollouts.RecordSessionVersion("engine", kCanarySession, "v1", kNow);
  RolloutAggregator aggregator;
  aggregator.SetMemberReport("first", LocalRolloutReport(first, order), order);
  ApplyRolloutReport(aggregator.TotalExcluding("other", order), other, order);
  const TimePoint canaryPhase = order + Duration{ 2'000'000 };
  CHECK(other.rollouts.ConstraintFor("engine", kCanarySession, canaryPhase)
          .excluded == "v2");
  CHECK(other.rollouts.ConstraintFor("engine", kCanarySession + 1, canaryPhase)
          .required == "v2");
}
