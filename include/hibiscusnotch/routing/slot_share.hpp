/// @file
/// @brief Divides the slots of an upstream that must not reject requests.
#pragma once

#include "hibiscusnotch/routing/sender_rank.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace hibiscusnotch::routing {

/// @brief This instance's part of an upstream's slots.
struct SlotShare
{
  uint32_t slots = 0; ///< Requests that it may have there at once.
  /// @brief The instances' parts add up to more than the slots, as each needs
  /// some upstreams of the service.
  bool isOvercommitted = false;
};

/// @brief Every instance computes the shares by itself.
/// @param aUpstreamsOfService Among which an instance finds its shares.
SlotShare
ShareSlots(uint32_t aSlots,
           std::size_t aUpstreamsOfService,
           std::string_view aUpstream,
           std::string_view aSelf,
           std::span<const Sender> aSenders);

} // namespace hibiscusnotch::routing
