#include "hibiscusnotch/testing/router_fleet.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch;
using hibiscusnotch::testing::RouterFleet;
using hibiscusnotch::testing::RouterFleetOptions;

namespace {

constexpr core::Duration kSecond{ 1'000'000 };
constexpr core::Duration kStableWindow = 3 * kSecond;

struct BrittleCase
{
  RouterFleetOptions fleet;
  std::size_t rejections = 4; ///< With more in a second an upstream falls.
  double requestsPerSecond = 0;
};

struct Served
{
  double served = 0;
  double all = 0;
};

/// Runs the load, spread evenly over the instances, and counts what is served.
Served
ServeLoad(RouterFleet& aFleet, double aRequestsPerSecond, core::Duration aTime)
{
  std::vector<std::pair<std::size_t, relay::ExchangeId>> sent;
  const core::TimePoint start = aFleet.timers.Now();
  while (aFleet.timers.Now() - start < aTime) {
    const double due =
      core::Seconds(aFleet.timers.Now() - start) * aRequestsPerSecond;
    while (static_cast<double>(sent.size()) < due) {
      const std::size_t instance = sent.size() % aFleet.instances.size();
      sent.emplace_back(
        instance,
        aFleet.Request(instance, sent.size() % 2 == 0 ? "stream" : "unsafe"));
    }
    aFleet.Step();
  }
  for (core::Duration idle{ 0 }; idle < 3 * kSecond;
       idle += RouterFleet::kStep) {
    aFleet.Step();
  }
  Served result;
  for (const auto& [instance, id] : sent) {
    const auto& answer = aFleet.instances[instance].listener.answers[id];
    result.all += 1;
    result.served += answer.status == 200 && answer.finished ? 1 : 0;
  }
  return result;
}

} // namespace

// Guards against brittle upstreams that fall over because all instances
// together make them reject more than they bear, above all under overload.
TEST_CASE("brittle upstreams do not fall over")
{
  for (const BrittleCase& test : {
         // Half of what the upstreams can do, then twice as much.
         BrittleCase{ { 8, 12, 3, kSecond / 5, 8, 2 }, 4, 240 },
         BrittleCase{ { 8, 12, 3, kSecond / 5, 8, 2 }, 4, 960 },
         BrittleCase{ { 8, 3, 3, kSecond / 16, 6, 1 }, 3, 15 },
         BrittleCase{ { 8, 3, 3, kSecond / 16, 6, 1 }, 3, 600 },
         BrittleCase{ { 65, 40, 4, kSecond / 2, 6, 2 }, 4, 960 },
         // A plain service of a large fleet: more instances than slots.
         BrittleCase{ { 295, 5, 5, kSecond / 20, 6, 1 }, 4, 300 },
         BrittleCase{ { 295, 5, 5, kSecond / 20, 6, 1 }, 4, 1200 },
       }) {
    CAPTURE(test.fleet.instances);
    CAPTURE(test.fleet.upstreams);
    CAPTURE(test.requestsPerSecond);
    RouterFleet fleet(test.fleet);
    for (RouterFleet::Upstream& upstream : fleet.upstreams) {
      upstream.brittle = 1000; // stated, but in force only later
    }
    ServeLoad(fleet, test.requestsPerSecond, kStableWindow);
    for (RouterFleet::Upstream& upstream : fleet.upstreams) {
      upstream.brittle = test.rejections;
    }
    const Served served = ServeLoad(fleet, test.requestsPerSecond, 6 * kSecond);
    std::size_t falls = 0;
    for (const RouterFleet::Upstream& upstream : fleet.upstreams) {
      falls += upstream.falls;
    }
    const double count = static_cast<double>(test.fleet.upstreams);
    CHECK(static_cast<double>(falls) <= 2 + count / 10);
    const double capacity = count * static_cast<double>(test.fleet.slots) /
                            core::Seconds(test.fleet.serviceTime);
    const double due = std::min(1.0, capacity / test.requestsPerSecond);
    CHECK(served.served / served.all >= 0.8 * due);
  }
}

// Guards against instances without slots that go on over the hop for good, as
// they never hear that the upstreams are brittle no more.
TEST_CASE("all instances send directly again once upstreams are not brittle")
{
  RouterFleet fleet({ 30, 2, 3, kSecond / 20, 4, 1 });
  for (RouterFleet::Upstream& upstream : fleet.upstreams) {
    upstream.brittle = 4;
  }
  ServeLoad(fleet, 60, 2 * kSecond);
  const auto forwards = [&fleet] {
    uint64_t count = 0;
    for (const auto& instance : fleet.instances) {
      count += instance.router->ForwardCount();
    }
    return count;
  };
  CHECK(forwards() > 0);
  for (RouterFleet::Upstream& upstream : fleet.upstreams) {
    upstream.brittle.reset();
  }
  ServeLoad(fleet, 60, 2 * kSecond);
  const uint64_t before = forwards();
  ServeLoad(fleet, 60, 2 * kSecond);
  CHECK(forwards() == before);
}
