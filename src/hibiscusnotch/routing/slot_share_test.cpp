#include "hibiscusnotch/routing/slot_share.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace hibiscusnotch::routing;

namespace {

struct Shares
{
  std::size_t sum = 0;
  std::size_t holders = 0;
};

Shares
SharesOfAll(std::size_t aInstances, uint32_t aSlots)
{
  std::vector<std::string> names;
  names.reserve(aInstances);
  for (std::size_t index = 0; index < aInstances; ++index) {
    names.push_back("instance-" + std::to_string(index));
  }
  std::vector<Sender> senders;
  senders.reserve(names.size());
  for (const std::string& name : names) {
    senders.push_back({ name, senders.size() % 2 == 0 });
  }
  Shares shares;
  for (const std::string& name : names) {
    const uint32_t share = SlotShare(aSlots, "u", name, senders);
    shares.sum += share;
    shares.holders += share > 0 ? 1 : 0;
  }
  return shares;
}

} // namespace

// Guards against shares that fill an upstream beyond its slots, or leave some.
TEST_CASE("the shares of all instances are the upstream's slots")
{
  for (const std::size_t instances : { 1, 3, 8, 65, 295 }) {
    for (const uint32_t slots : { 6U, 12U, 24U, 64U, 128U }) {
      CAPTURE(instances);
      CAPTURE(slots);
      const Shares shares = SharesOfAll(instances, slots);
      CHECK(shares.sum == slots);
      CHECK(shares.holders == SlotHolderCount(slots, instances));
    }
  }
}
