/// @file
/// @brief Handles requests from arrival to dispatch.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief Admits and plans a new request.
void
HandleRequest(RouterState& aState, RequestArrived aRequest);

/// @brief Cancels a request whose caller disconnected.
void
HandleCallerGone(RouterState& aState, RequestHandle aHandle);

/// @brief Records a session's pin and continues the request that waits for it.
void
HandlePinReply(RouterState& aState, const PinReply& aReply);

/// @brief Continues or ends the request that waits for the claim.
void
HandleClaimReply(RouterState& aState, const ClaimReply& aReply);

/// @brief Makes new plans for the requests queued for the version.
void
ReplanQueue(RouterState& aState, VersionId aVersion);

/// @brief Dispatches queued requests while upstreams have capacity.
void
DispatchQueuedRequests(RouterState& aState);

} // namespace hibiscusnotch::core
