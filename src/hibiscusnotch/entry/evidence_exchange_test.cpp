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
  order.creation = 5;
  return order;
}

EvidenceTable
MakeBadAnswers(double aCount, uint64_t aCreation = 5)
{
  RolloutEvidence evidence;
  evidence.creation = aCreation;
  evidence.target["r"] = { 0, aCount };
  evidence.others["r"] = { 10, 0 };
  return { { "engine", evidence } };
}

} // namespace

TEST_CASE("bad answers at instances of two zones roll back at a third one")
{
  // Pattern: many instances, each of which sees few answers of a bad version.
  FleetState member;
  member.rollouts.Apply(MakeOrder(), kNow);
  EvidenceHub hub;
  hub.TakeMember("east-1", MakeBadAnswers(1), kNow);
  ApplyOthersEvidence(hub.SumWithout("east-2", kNow), member, kNow);
  CHECK(member.rollouts.Wanted("engine", kNow) != RolloutState::RolledBack);
  EvidenceHub farHub;
  farHub.TakeMember("west-1", MakeBadAnswers(2), kNow);
  hub.TakeZone("west", farHub.SumOfMembers(kNow), kNow);
  ApplyOthersEvidence(hub.SumWithout("east-2", kNow), member, kNow);
  CHECK(member.rollouts.Wanted("engine", kNow) == RolloutState::RolledBack);
}

TEST_CASE("sums leave the receiver's own answers out, and no zone's out")
{
  EvidenceHub hub;
  hub.TakeMember("a", MakeBadAnswers(1), kNow);
  hub.TakeMember("b", MakeBadAnswers(2), kNow);
  hub.TakeZone("west", MakeBadAnswers(4), kNow);
  const auto bad = [](const EvidenceTable& aSum) {
    return aSum.at("engine").target.at("r").bad;
  };
  CHECK(bad(hub.SumWithout("a", kNow)) == doctest::Approx(6));
  CHECK(bad(hub.SumWithout("b", kNow)) == doctest::Approx(5));
  CHECK(bad(hub.SumWithout("c", kNow)) == doctest::Approx(7));
  // A zone's own sums do not come back to it by way of another zone.
  CHECK(bad(hub.SumOfMembers(kNow)) == doctest::Approx(3));
}

TEST_CASE("a report is replaced by the next one and forgotten when it is old")
{
  EvidenceHub hub;
  hub.TakeMember("a", MakeBadAnswers(9), kNow);
  hub.TakeMember("a", MakeBadAnswers(1), kNow);
  CHECK(hub.SumOfMembers(kNow).at("engine").target.at("r").bad == 1);
  CHECK(hub.SumOfMembers(kNow + EvidenceHub::kReportAge * 2).empty());
}

TEST_CASE("evidence on a former order does not count against the next one")
{
  EvidenceHub hub;
  hub.TakeMember("a", MakeBadAnswers(9, 5), kNow);
  hub.TakeMember("b", MakeBadAnswers(1, 6), kNow);
  const EvidenceTable sum = hub.SumOfMembers(kNow);
  CHECK(sum.at("engine").creation == 6);
  CHECK(sum.at("engine").target.at("r").bad == 1);
}
