#include "hibiscusnotch/entry/peer_exchange.hpp"

#include "hibiscusnotch/entry/load_aggregator.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>
#include <set>

using namespace hibiscusnotch;
using namespace hibiscusnotch::entry;
using boost::asio::ip::udp;
using hibiscusnotch::testing::ManualTimers;

namespace {

/// An unused port.
uint16_t
FreePort(boost::asio::io_context& aContext)
{
  const udp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
  return udp::socket(aContext, any).local_endpoint().port();
}

/// Four instances in two zones, with loopback sockets and manual clocks.
struct Fleet
{
  static constexpr std::size_t kSize = 4;
  std::array<boost::asio::io_context, kSize> contexts;
  std::array<ManualTimers, kSize> timers;
  EventLog log{ timers[0], { "test", 0, 0 } };
  std::array<FleetState, kSize> states;
  std::set<std::size_t> frozen;
  std::array<std::unique_ptr<PeerExchange>, kSize> exchanges;

  static std::string NameOf(std::size_t aIndex)
  {
    return "i" + std::to_string(aIndex);
  }

  Fleet()
  {
    std::map<std::string, InstanceInfo> instances;
    for (std::size_t index = 0; index < kSize; ++index) {
      instances[NameOf(index)] = { { "127.0.0.1", FreePort(contexts[index]) },
                                   index < 2 ? "east" : "west" };
    }
    for (std::size_t index = 0; index < kSize; ++index) {
      states[index].instances = instances;
      PeerExchangeOptions options;
      options.instanceName = NameOf(index);
      options.endpoint = instances[NameOf(index)].endpoint;
      options.zone = instances[NameOf(index)].zone;
      exchanges[index] = MakePeerExchange(
        contexts[index], timers[index], options, states[index], log);
    }
  }

  /// Runs a number of report periods.
  void Run(int aPeriods)
  {
    for (int period = 0; period < aPeriods; ++period) {
      for (std::size_t index = 0; index < kSize; ++index) {
        if (!frozen.contains(index)) {
          timers[index].Advance(PeerExchangeOptions{}.period);
        }
      }
      // Loopback datagrams arrive at once; replies need another round.
      for (int round = 0; round < 3; ++round) {
        PollAll();
      }
    }
  }

  void PollAll()
  {
    for (std::size_t index = 0; index < kSize; ++index) {
      if (!frozen.contains(index)) {
        contexts[index].poll();
        contexts[index].restart();
      }
    }
  }

  /// All clocks that are not frozen agree.
  TimePoint Now() const
  {
    return std::max(timers.front().Now(), timers.back().Now());
  }
};

routing::UpstreamEntry
MakeEntry()
{
  routing::UpstreamEntry entry;
  entry.name = "u";
  entry.service = "engine";
  return entry;
}

routing::RolloutOrder
MakeOrder()
{
  routing::RolloutOrder order;
  order.service = "engine";
  order.target = "v2";
  order.duration = Duration{ 24'000'000 };
  order.creationRevision = 5;
  return order;
}

} // namespace

TEST_CASE("the load from one instance is known in its zone only")
{
  Fleet fleet;
  for (FleetState& state : fleet.states) {
    state.upstreams.Apply(MakeEntry(), fleet.Now());
  }
  fleet.states[0].upstreams.RecordSend(
    *fleet.states[0].upstreams.FindByName("u"), 5000, fleet.Now());
  fleet.Run(4);
  const auto loadAt = [&fleet](std::size_t aIndex) {
    const auto& upstreams = fleet.states[aIndex].upstreams;
    return routing::UpstreamTable::Load(
      *upstreams.Find(*upstreams.FindByName("u")), fleet.Now());
  };
  CHECK(loadAt(0) == doctest::Approx(1)); // excludes its own load
  CHECK(loadAt(1) == doctest::Approx(1));
  CHECK(loadAt(2) == doctest::Approx(0)); // load is not exchanged between zones
}

TEST_CASE("failures and crashes reach all zones and add up there")
{
  Fleet fleet;
  for (FleetState& state : fleet.states) {
    state.rollouts.Apply(MakeOrder(), fleet.Now());
  }
  for (int answer = 0; answer < 5; ++answer) {
    fleet.states[1].rollouts.RecordAnswer(
      "engine", "v2", "r", "r", false, Duration{ 1000 }, fleet.Now());
  }
  // No instance sees more than one crash.
  for (const uint32_t crash : { 0U, 1U, 3U }) {
    const routing::LostTrait fatal{ { 7, 2 }, fleet.Now() };
    fleet.states[crash].crashEvidence.RecordCrash(
      crash, { &fatal, 1 }, fleet.Now());
    fleet.Run(2);
  }
  fleet.Run(4);
  for (FleetState& state : fleet.states) {
    CHECK(state.rollouts.NextState("engine", fleet.Now()) ==
          routing::RolloutState::RolledBack);
    CHECK(state.crashEvidence.IsQuarantined(7));
  }
}

TEST_CASE("when an aggregator is silent the next instance takes over")
{
  // Guards against a frozen aggregator that delays a rollback.
  Fleet fleet;
  fleet.Run(2);
  const std::string aggregator = AggregatorRanking(fleet.states[0], "east")[1];
  const std::size_t rest = aggregator == "i0" ? 1 : 0;
  fleet.frozen.insert(1 - rest);
  for (FleetState& state : fleet.states) {
    state.rollouts.Apply(MakeOrder(), fleet.Now());
  }
  for (int answer = 0; answer < 5; ++answer) {
    fleet.states[2].rollouts.RecordAnswer(
      "engine", "v2", "r", "r", false, Duration{ 1000 }, fleet.Now());
  }
  fleet.Run(15); // three seconds, twice the aggregator timeout
  CHECK(fleet.states[rest].rollouts.NextState("engine", fleet.Now()) ==
        routing::RolloutState::RolledBack);
}
