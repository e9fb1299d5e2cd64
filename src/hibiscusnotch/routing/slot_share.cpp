#include "hibiscusnotch/routing/slot_share.hpp"

#include <algorithm>

namespace hibiscusnotch::routing {

namespace {

// Upstreams of a service at which each instance has a share at least, on
// average; with fewer some instances would have none.
constexpr std::size_t kMinUpstreams = 3;

} // namespace

SlotShare
ShareSlots(uint32_t aSlots,
           std::size_t aUpstreamsOfService,
           std::string_view aUpstream,
           std::string_view aSelf,
           std::span<const Sender> aSenders)
{
  const std::size_t slots = std::max<uint32_t>(aSlots, 1);
  const std::size_t upstreams = std::max<std::size_t>(aUpstreamsOfService, 1);
  const std::size_t needed =
    (kMinUpstreams * aSenders.size() + upstreams - 1) / upstreams;
  const std::size_t count = std::min(aSenders.size(), std::max(slots, needed));
  const auto rank = SenderRank(aUpstream, aSelf, aSenders);
  if (!rank || *rank >= count) {
    return {};
  }
  const std::size_t rest = slots % count;
  return { static_cast<uint32_t>(
             std::max<std::size_t>(1, slots / count + (*rank < rest ? 1 : 0))),
           count > slots };
}

} // namespace hibiscusnotch::routing
