#include "hibiscusnotch/testing/router_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <vector>

using namespace hibiscusnotch;
using hibiscusnotch::testing::RouterFleet;
using hibiscusnotch::testing::RouterFleetOptions;
using hibiscusnotch::testing::RunLoad;

namespace {

constexpr core::Duration kSecond{ 1'000'000 };
// The operators' bound on an upstream that has stated a limit.
constexpr core::Duration kLimitWindow = 4 * kSecond;
constexpr core::Duration kStableWindow = 3 * kSecond;

double
MostAllowed(double aLimit)
{
  return 1.5 * aLimit * core::Seconds(kLimitWindow) + 5;
}

struct LoadCase
{
  RouterFleetOptions fleet;
  std::size_t limited = 0; ///< The first upstreams.
  double limit = 1;
  double requestsPerSecond = 0; ///< Of all instances.
};

/// Passes limits on within a zone and between zones, as reports do. The
/// instances left out are cut off from the others.
void
PassLimitsOn(RouterFleet& aFleet, const std::set<std::size_t>& aLeftOut = {})
{
  std::map<std::string, std::vector<entry::LimitReport>> byZone;
  const core::TimePoint now = aFleet.timers.Now();
  for (std::size_t index = 0; index < aFleet.instances.size(); ++index) {
    if (!aLeftOut.contains(index)) {
      const auto reports =
        entry::LimitReports(*aFleet.instances[index].fleet,
                            { routing::LimitSource::Response },
                            now);
      auto& zone = byZone[aFleet.instances[index].zone];
      zone.insert(zone.end(), reports.begin(), reports.end());
    }
  }
  for (std::size_t index = 0; index < aFleet.instances.size(); ++index) {
    auto& instance = aFleet.instances[index];
    if (!aLeftOut.contains(index)) {
      for (auto& [zone, reports] : byZone) {
        std::ranges::sort(reports, {}, &entry::LimitReport::age);
        entry::MergeLimits(reports, *instance.fleet, *instance.log, now);
      }
    }
  }
}

/// The most requests that a limited upstream got in the operators' window,
/// against what the bound allows.
double
WorstExcess(const RouterFleet& aFleet, core::TimePoint aAfter)
{
  double worst = 0;
  for (const RouterFleet::Upstream& upstream : aFleet.upstreams) {
    if (upstream.limit) {
      worst = std::max(worst,
                       static_cast<double>(aFleet.MostFromToldWithin(
                         upstream, kLimitWindow, aAfter)) /
                         MostAllowed(*upstream.limit));
    }
  }
  return worst;
}

/// Fraction of the limits that was used since the time.
double
UsedFraction(const RouterFleet& aFleet, core::TimePoint aSince)
{
  double used = 0;
  double limits = 0;
  for (const RouterFleet::Upstream& upstream : aFleet.upstreams) {
    if (upstream.limit) {
      limits += *upstream.limit * core::Seconds(aFleet.timers.Now() - aSince);
      used += static_cast<double>(std::ranges::count_if(
        upstream.arrivals,
        [aSince](const RouterFleet::Upstream::Arrival& aOne) {
          return aOne.at >= aSince;
        }));
    }
  }
  return used / limits;
}

} // namespace

// Guards against N instances that each keep to the limit alone: together they
// send N times as many requests as the upstream takes.
TEST_CASE("an upstream's limit holds over all instances together")
{
  for (const LoadCase& load : {
         LoadCase{ { 8, 12, 3 }, 12, 1, 41 },
         LoadCase{ { 8, 12, 3 }, 2, 1.3, 41 },
         LoadCase{ { 65, 80, 4 }, 80, 0.4, 160 },
         LoadCase{ { 65, 80, 4 }, 26, 6, 300 },
         LoadCase{ { 295, 320, 5 }, 107, 1, 900 },
       }) {
    CAPTURE(load.fleet.instances);
    CAPTURE(load.limit);
    RouterFleet fleet(load.fleet);
    RunLoad(fleet, load.requestsPerSecond, kSecond);
    const core::TimePoint named = fleet.timers.Now();
    for (std::size_t index = 0; index < load.limited; ++index) {
      fleet.upstreams[index].limit = load.limit;
    }
    RunLoad(fleet, load.requestsPerSecond, 12 * kSecond);
    std::size_t most = 0;
    for (std::size_t index = 0; index < load.limited; ++index) {
      most = std::max(most,
                      fleet.MostFromToldWithin(fleet.upstreams[index],
                                               kLimitWindow,
                                               named + kStableWindow));
    }
    CHECK(static_cast<double>(most) <= MostAllowed(load.limit));
  }
}

// Guards against limits that are kept by leaving most of them unused.
TEST_CASE("under overload the limits of all upstreams are used")
{
  for (const LoadCase& load : {
         LoadCase{ { 8, 12, 3 }, 12, 1, 41 },
         LoadCase{ { 8, 12, 3 }, 12, 5, 120 },
         LoadCase{ { 65, 80, 4 }, 80, 1, 300 },
       }) {
    CAPTURE(load.fleet.instances);
    CAPTURE(load.limit);
    RouterFleet fleet(load.fleet);
    fleet.onReportPeriod = [&fleet] { PassLimitsOn(fleet); };
    for (RouterFleet::Upstream& upstream : fleet.upstreams) {
      upstream.limit = load.limit;
    }
    RunLoad(fleet, load.requestsPerSecond, 4 * kSecond);
    const core::TimePoint since = fleet.timers.Now();
    RunLoad(fleet, load.requestsPerSecond, 20 * kSecond);
    CHECK(UsedFraction(fleet, since) >= 0.8);
    CHECK(WorstExcess(fleet, since) <= 1);
  }
}

// Guards against a limit that each process learns anew: an instance that has
// just started, and one that takes over from another, must not add to it.
TEST_CASE("a limit holds while instances restart, leave and are cut off")
{
  RouterFleet fleet({ 8, 12, 3 });
  std::set<std::size_t> cutOff;
  fleet.onReportPeriod = [&] { PassLimitsOn(fleet, cutOff); };
  for (RouterFleet::Upstream& upstream : fleet.upstreams) {
    upstream.limit = 1;
  }
  RunLoad(fleet, 41, 3 * kSecond);
  const core::TimePoint since = fleet.timers.Now();
  RunLoad(fleet, 41, 2 * kSecond);
  fleet.Start(3);
  RunLoad(fleet, 41, 2 * kSecond);
  fleet.SetMember(5, false);
  RunLoad(fleet, 41, 2 * kSecond);
  cutOff.insert(1);
  RunLoad(fleet, 41, 4 * kSecond);
  fleet.SetMember(5, true);
  cutOff.clear();
  RunLoad(fleet, 41, 4 * kSecond);
  CHECK(WorstExcess(fleet, since) <= 1);
}

// Guards against instances that each find a limit out by a request of their
// own.
TEST_CASE("a limit is known to all instances though few of them asked")
{
  RouterFleet fleet({ 8, 4, 2 });
  fleet.onReportPeriod = [&fleet] { PassLimitsOn(fleet); };
  fleet.upstreams[0].limit = 2;
  for (int request = 0; request < 8; ++request) {
    fleet.Request(0, "unsafe");
  }
  for (int step = 0; step < 100; ++step) {
    fleet.Step();
  }
  for (const auto& instance : fleet.instances) {
    CAPTURE(instance.name);
    const auto id = instance.fleet->upstreams.FindByName("u0");
    REQUIRE(id);
    CHECK(instance.fleet->upstreams.Find(*id)->requestLimit == 2.0);
  }
}

// Guards against a limit that outlives its statement or its process.
TEST_CASE("a limit ends with a response without it and with a new incarnation")
{
  RouterFleet fleet({ 3, 1, 1 });
  fleet.onReportPeriod = [&fleet] { PassLimitsOn(fleet); };
  fleet.upstreams[0].limit = 2;
  RunLoad(fleet, 10, 3 * kSecond);
  auto& table = fleet.instances[0].fleet->upstreams;
  auto id = table.FindByName("u0");
  REQUIRE(id);
  CHECK(table.Find(*id)->requestLimit == 2.0);
  SUBCASE("without it")
  {
    fleet.upstreams[0].limit.reset();
    RunLoad(fleet, 10, 3 * kSecond);
    for (const auto& instance : fleet.instances) {
      CHECK_FALSE(instance.fleet->upstreams.Find(*id)->requestLimit);
    }
    const std::size_t before = fleet.upstreams[0].arrivals.size();
    RunLoad(fleet, 10, kSecond);
    CHECK(fleet.upstreams[0].arrivals.size() - before >= 9);
  }
  SUBCASE("new incarnation")
  {
    routing::UpstreamEntry entry = table.Find(*id)->entry;
    entry.incarnation = 7;
    table.Apply(entry, fleet.timers.Now());
    id = table.FindByName("u0");
    CHECK_FALSE(table.Find(*id)->requestLimit);
    // What peers know of the former process does not count.
    PassLimitsOn(fleet);
    CHECK_FALSE(table.Find(*id)->requestLimit);
  }
}

// Guards against callers who get nothing since their instance has no share of
// any upstream's limit, though others have shares to spare.
TEST_CASE("an instance without a share sends through those that have one")
{
  RouterFleet fleet({ 8, 2, 4 });
  fleet.onReportPeriod = [&fleet] { PassLimitsOn(fleet); };
  for (RouterFleet::Upstream& upstream : fleet.upstreams) {
    upstream.limit = 3;
  }
  RunLoad(fleet, 4, 4 * kSecond);
  const core::TimePoint since = fleet.timers.Now();
  std::vector<std::pair<std::size_t, relay::ExchangeId>> sent;
  for (std::size_t request = 0; request < 32; ++request) {
    const std::size_t instance = request % fleet.instances.size();
    sent.emplace_back(instance, fleet.Request(instance, "unsafe"));
    for (int step = 0; step < 25; ++step) {
      fleet.Step();
    }
  }
  RunLoad(fleet, 0, 2 * kSecond);
  const auto served =
    std::ranges::count_if(sent, [&fleet](const auto& aRequest) {
      auto& answers = fleet.instances[aRequest.first].listener.answers;
      return answers[aRequest.second].status == 200;
    });
  CHECK(served >= 30);
  CHECK(WorstExcess(fleet, since) <= 1);
}

// Guards against callers that wait for a turn that never comes, or are told
// that their request may have run.
TEST_CASE("what the limits cannot serve is refused at once as not run")
{
  RouterFleet fleet({ 3, 1, 1 });
  fleet.upstreams[0].limit = 0.5;
  for (std::size_t index = 0; index < 3; ++index) {
    fleet.Request(index, "unsafe");
  }
  for (int step = 0; step < 100; ++step) {
    fleet.Step();
  }
  for (std::size_t index = 0; index < 3; ++index) {
    const auto id = fleet.Request(index, "unsafe");
    const auto& response = fleet.instances[index].listener.answers[id];
    CHECK(response.status == 503);
    CHECK(response.body.find("not_run") != std::string::npos);
    CHECK(response.body.find("request_limit") != std::string::npos);
    CHECK(!response.Header("retry").empty());
  }
}
