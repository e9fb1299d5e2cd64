/// @file
/// @brief Gives instances that join, or take over, what they cannot know.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief Notes that the set of live members changed.
void
MembersChanged(RouterState& aState);

/// @brief Sends pins to their homes, and what was learnt to who joined.
void
StartStateTransfers(RouterState& aState);

/// @brief Takes in what a peer handed over.
void
ImportStateTransfer(RouterState& aState, const StateTransfer& aTransfer);

/// @brief Takes in pins that this instance is a home of.
void
ImportPins(RouterState& aState, const PinBatch& aBatch);

} // namespace hibiscusnotch::core
