#include "hibiscusnotch/routing/slot_share.hpp"

#include <algorithm>

namespace hibiscusnotch::routing {

std::size_t
SlotHolderCount(uint32_t aSlots, std::size_t aInstances)
{
  return std::min<std::size_t>(aInstances, std::max<uint32_t>(aSlots, 1));
}

uint32_t
SlotShare(uint32_t aSlots,
          std::string_view aUpstream,
          std::string_view aSelf,
          std::span<const Sender> aSenders)
{
  const std::size_t holders = SlotHolderCount(aSlots, aSenders.size());
  const auto rank = SenderRank(aUpstream, aSelf, aSenders);
  if (!rank || *rank >= holders) {
    return 0;
  }
  const std::size_t slots = std::max<uint32_t>(aSlots, 1);
  return static_cast<uint32_t>(slots / holders +
                               (*rank < slots % holders ? 1 : 0));
}

} // namespace hibiscusnotch::routing
