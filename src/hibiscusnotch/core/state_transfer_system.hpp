/// @file
/// @brief State transfer to joining instances, and re-replication of session
/// pins.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief Schedules a pin synchronisation after the set of live members
/// changed.
void
MembersChanged(RouterState& aState);

/// @brief Starts the pin synchronisation when it is due, and transfers to
/// joiners.
void
StartStateTransfers(RouterState& aState);

/// @brief Merges a peer's state transfer.
void
ImportStateTransfer(RouterState& aState, const StateTransfer& aTransfer);

/// @brief Adds pins that this instance is a home of.
void
ImportPins(RouterState& aState, const PinBatch& aBatch);

} // namespace hibiscusnotch::core
