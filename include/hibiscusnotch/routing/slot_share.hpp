/// @file
/// @brief Divides the slots of an upstream that must not reject requests.
#pragma once

#include "hibiscusnotch/routing/sender_rank.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace hibiscusnotch::routing {

/// @brief How many instances hold slots of the upstream.
std::size_t
SlotHolderCount(uint32_t aSlots, std::size_t aInstances);

/// @brief Requests that this instance may have at the upstream at once. The
/// shares of all instances add up to the slots; every instance computes them by
/// itself.
uint32_t
SlotShare(uint32_t aSlots,
          std::string_view aUpstream,
          std::string_view aSelf,
          std::span<const Sender> aSenders);

} // namespace hibiscusnotch::routing
