#include "hibiscusnotch/entry/load_aggregator.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::entry;
using hibiscusnotch::routing::UpstreamEntry;
using hibiscusnotch::routing::UpstreamTable;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };

UpstreamEntry
MakeEntry(const std::string& aName)
{
  UpstreamEntry entry;
  entry.name = aName;
  entry.service = "engine";
  return entry;
}

} // namespace

TEST_CASE("the total for an instance excludes its own load")
{
  LoadAggregator aggregator;
  aggregator.SetReport("a", { { 1, { 2, 500 } } }, kNow);
  aggregator.SetReport("b", { { 1, { 3, 100 } }, { 2, { 1, 0 } } }, kNow);
  const LoadTable forA = aggregator.TotalExcluding("a", kNow);
  CHECK(forA.at(1).requests == 3);
  CHECK(forA.at(1).promptTokens == 100);
  const LoadTable forC = aggregator.TotalExcluding("c", kNow);
  CHECK(forC.at(1).requests == 5);
  CHECK(forC.at(2).requests == 1);
}

TEST_CASE("a newer report replaces an older one, and reports expire")
{
  LoadAggregator aggregator;
  aggregator.SetReport("a", { { 1, { 9, 0 } } }, kNow);
  aggregator.SetReport("a", { { 1, { 1, 0 } } }, kNow);
  CHECK(aggregator.TotalExcluding("b", kNow).at(1).requests == 1);
  CHECK(aggregator.TotalExcluding("b", kNow + LoadAggregator::kMaxReportAge * 2)
          .empty());
}

TEST_CASE("totals count as upstream load until they expire")
{
  // Guards against overload by many instances, each of which sends only a
  // little of an upstream's load.
  FleetState fleet;
  const auto id = fleet.upstreams.Apply(MakeEntry("u"), kNow);
  fleet.upstreams.RecordSend(id, 1000, kNow);
  CHECK(LocalLoad(fleet).at(UpstreamHash("u")).requests == 1);
  ApplyPeerLoad({ { UpstreamHash("u"), { 30, 9000 } } }, fleet, kNow);
  const auto& upstream = *fleet.upstreams.Find(id);
  CHECK(UpstreamTable::Load(upstream, kNow) == doctest::Approx(31));
  CHECK(UpstreamTable::PendingTokens(upstream, kNow) == doctest::Approx(10000));
  const TimePoint later = kNow + Duration{ 5'000'000 };
  CHECK(UpstreamTable::Load(upstream, later) == doctest::Approx(1));
  // An upstream missing from the totals has no load from other instances.
  ApplyPeerLoad({}, fleet, kNow);
  CHECK(UpstreamTable::Load(*fleet.upstreams.Find(id), kNow) ==
        doctest::Approx(1));
}

TEST_CASE("the aggregator ranking contains the zone's instances only")
{
  FleetState fleet;
  for (int index = 0; index < 9; ++index) {
    fleet.instances["i" + std::to_string(index)] = { {},
                                                     index % 3 == 0 ? "west"
                                                                    : "east" };
  }
  CHECK(AggregatorRanking(fleet, "east").size() == 6);
  CHECK(AggregatorRanking(fleet, "west").size() == 3);
  CHECK(AggregatorRanking(fleet, "none").empty());
}

TEST_CASE("the running total of sixty members equals the sum of their reports")
{
  // The aggregator of a large zone replies to each member several times a
  // second; its total is kept and not summed anew.
  LoadAggregator aggregator;
  std::map<std::string, LoadTable> reports;
  std::map<std::string, TimePoint> at;
  TimePoint now = kNow;
  for (int step = 0; step < 2000; ++step) {
    now += Duration{ 20'000 + 1000 * (step % 7) };
    const std::string sender = "i" + std::to_string(step * 31 % 60);
    if (step % 400 > 350) {
      continue; // some fall silent
    }
    LoadTable load;
    for (int entry = 0; entry < step % 5; ++entry) {
      load[static_cast<uint32_t>((step + entry * 13) % 64)] = {
        1U + static_cast<uint32_t>(step % 3), static_cast<uint32_t>(step % 900)
      };
    }
    aggregator.SetReport(sender, load, now);
    reports[sender] = load;
    at[sender] = now;
    const std::string receiver = "i" + std::to_string(step * 17 % 60);
    LoadTable expected;
    for (const auto& [name, report] : reports) {
      if (name == receiver || now - at[name] > LoadAggregator::kMaxReportAge) {
        continue;
      }
      for (const auto& [upstream, one] : report) {
        expected[upstream].requests += one.requests;
        expected[upstream].promptTokens += one.promptTokens;
      }
    }
    const LoadTable total = aggregator.TotalExcluding(receiver, now);
    REQUIRE(total.size() == expected.size());
    for (const auto& [upstream, one] : expected) {
      REQUIRE(total.at(upstream).requests == one.requests);
      REQUIRE(total.at(upstream).promptTokens == one.promptTokens);
    }
  }
}
