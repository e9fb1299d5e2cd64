/// @file
/// @brief Talks with the other entry instances.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief Takes in one message of a peer.
void
HandlePeerMessage(RouterState& aState, InstanceId aFrom, PeerMessage aMessage);

/// @brief Sends a heartbeat when it is due, and sweeps silent members.
void
AdvanceMembership(RouterState& aState);

/// @brief Counts a rating, own or a peer's.
/// @param aShare True for an own one, which peers are told of.
void
HandleRating(RouterState& aState, const Rating& aRating, bool aShare);

} // namespace hibiscusnotch::core
