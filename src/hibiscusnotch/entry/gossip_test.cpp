#include "hibiscusnotch/entry/gossip.hpp"

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

} // namespace

TEST_CASE("bad answers at one instance roll back at another")
{
  FleetState sender;
  FleetState receiver;
  sender.rollouts.Apply(MakeOrder(), kNow);
  receiver.rollouts.Apply(MakeOrder(), kNow);
  for (int answer = 0; answer < 5; ++answer) {
    sender.rollouts.CountAnswer(
      "engine", "v2", "r", "r", false, Duration{ 1000 }, kNow);
  }
  std::string reason;
  CHECK(ReadGossip(WriteGossip("peer", sender, kNow), receiver, kNow, reason));
  CHECK(receiver.rollouts.Wanted("engine", kNow) == RolloutState::RolledBack);
}

TEST_CASE("a request that is quarantined at one instance is so at its peers")
{
  FleetState sender;
  FleetState receiver;
  sender.quarantine.CountLoss(7);
  sender.quarantine.CountLoss(7);
  sender.quarantine.CountLoss(8);
  std::string reason;
  CHECK(ReadGossip(WriteGossip("peer", sender, kNow), receiver, kNow, reason));
  CHECK(receiver.quarantine.Holds(7));
  CHECK(receiver.quarantine.Losses(8) == 0);
}

TEST_CASE("bytes that are no message change nothing and give a reason")
{
  FleetState sender;
  sender.rollouts.Apply(MakeOrder(), kNow);
  sender.quarantine.CountLoss(7);
  sender.quarantine.CountLoss(7);
  const std::string message = WriteGossip("peer", sender, kNow);
  for (std::size_t cut = 0; cut < message.size(); ++cut) {
    FleetState receiver;
    std::string reason;
    CHECK_FALSE(ReadGossip(message.substr(0, cut), receiver, kNow, reason));
    CHECK_FALSE(reason.empty());
  }
}
