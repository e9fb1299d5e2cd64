#include "hibiscusnotch/entry/speed_aggregator.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace hibiscusnotch::entry;
using hibiscusnotch::core::FromSeconds;
using hibiscusnotch::routing::UpstreamEntry;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };

UpstreamEntry
MakeEntry(const std::string& aName, int64_t aIncarnation = 1)
{
  UpstreamEntry entry;
  entry.name = aName;
  entry.service = "engine";
  entry.incarnation = aIncarnation;
  return entry;
}

} // namespace

TEST_CASE("totals exclude the receiver, replace former reports and decay")
{
  SpeedAggregator aggregator;
  aggregator.SetReport("a", { { 1, 2, 1 } }, kNow);
  aggregator.SetReport("a", { { 1, 4, 2 } }, kNow);
  aggregator.SetReport("b", { { 1, 3, 3 }, { 2, 1, 1 } }, kNow);
  const auto forA = aggregator.NextTotals("a", 8, kNow);
  REQUIRE(forA.size() == 2);
  CHECK(forA[0].observed == doctest::Approx(3));
  CHECK(forA[0].expected == doctest::Approx(3));
  const auto forC = aggregator.NextTotals("c", 8, kNow);
  REQUIRE(forC.size() == 2);
  CHECK(forC[0].observed == doctest::Approx(7));
  CHECK(forC[0].expected == doctest::Approx(5));
  // An upstream that only the receiver has seen is unknown to the others.
  CHECK(aggregator.NextTotals("b", 8, kNow).size() == 1);
  const auto later = aggregator.NextTotals("c", 8, kNow + FromSeconds(10));
  REQUIRE(later.size() == 2);
  CHECK(later[0].expected < 2.5);
  CHECK(later[0].observed / later[0].expected == doctest::Approx(1.4));
  CHECK(aggregator.NextTotals("c", 8, kNow + FromSeconds(200)).empty());
}

TEST_CASE("each receiver gets all upstreams in turn")
{
  // Guards against upstreams that some instance never hears of.
  SpeedAggregator aggregator;
  std::vector<SpeedReport> reports;
  for (uint32_t upstream = 1; upstream <= 47; ++upstream) {
    reports.push_back({ upstream * 90'000'000U, 1, 1 });
  }
  aggregator.SetReport("a", reports, kNow);
  std::set<uint32_t> heard;
  for (int round = 0; round < 6; ++round) {
    for (const char* receiver : { "b", "c" }) {
      for (const SpeedReport& report :
           aggregator.NextTotals(receiver, kSpeedsPerTotal, kNow)) {
        if (receiver == std::string_view("b")) {
          heard.insert(report.incarnation);
        }
      }
    }
  }
  CHECK(heard.size() == 47);
  SpeedRotation rotation;
  std::map<uint32_t, SpeedReport> own;
  for (const SpeedReport& report : reports) {
    own[report.incarnation] = report;
  }
  heard.clear();
  for (int round = 0; round < 16; ++round) {
    for (const SpeedReport& report : rotation.Next(own, 3)) {
      heard.insert(report.incarnation);
    }
  }
  CHECK(heard.size() == 47);
  CHECK(rotation.Next({}, 3).empty());
}

TEST_CASE("a replaced upstream does not inherit the speed of the former one")
{
  FleetState fleet;
  const auto former = fleet.upstreams.Apply(MakeEntry("u"), kNow);
  fleet.upstreams.RecordResponseTime(former, 4, 1, kNow);
  const auto speeds = LocalSpeeds(fleet, kNow);
  REQUIRE(speeds.size() == 1);
  CHECK(speeds.begin()->second.observed == doctest::Approx(4));
  const auto latter = fleet.upstreams.Apply(MakeEntry("u", 2), kNow);
  ApplyPeerSpeeds({ speeds.begin()->second }, fleet, kNow);
  CHECK(fleet.upstreams.Find(latter)->peerSpeed.expected == 0);
  CHECK(fleet.upstreams.Find(latter)->speed == 1);
  CHECK(LocalSpeeds(fleet, kNow).empty());
}

TEST_CASE("an instance that sees little of an upstream learns from its zone")
{
  FleetState fleet;
  std::vector<hibiscusnotch::core::UpstreamId> ids;
  std::vector<SpeedReport> reports;
  for (int index = 0; index < 5; ++index) {
    const UpstreamEntry entry = MakeEntry("u" + std::to_string(index));
    ids.push_back(fleet.upstreams.Apply(entry, kNow));
    reports.push_back(
      { IncarnationHash(entry), index == 0 ? 24.0 : 10.0, 10.0 });
  }
  ApplyPeerSpeeds(reports, fleet, kNow);
  fleet.upstreams.RecordResponseTime(ids[1], 0.1, 0.1, kNow);
  CHECK(fleet.upstreams.Find(ids[0])->speed > 2);
  CHECK(fleet.upstreams.Find(ids[1])->speed == doctest::Approx(1));
  // Without reports it decays to the median.
  const TimePoint later = kNow + FromSeconds(90);
  fleet.upstreams.RecordResponseTime(ids[1], 0.1, 0.1, later);
  CHECK(fleet.upstreams.Find(ids[0])->speed < 1.1);
}
