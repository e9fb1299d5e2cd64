/// @file
/// @brief Messages to and from the other entry instances.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief Handles a message from a peer.
void
HandlePeerMessage(RouterState& aState, InstanceId aFrom, PeerMessage aMessage);

/// @brief Sends a heartbeat when it is due, and handles silent members.
void
AdvanceMembership(RouterState& aState);

/// @brief Counts a rating, made here or received from a peer.
/// @param aShareWithPeers True for a rating made here, which is sent to peers.
void
HandleRating(RouterState& aState, const Rating& aRating, bool aShareWithPeers);

} // namespace hibiscusnotch::core
