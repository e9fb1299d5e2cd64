/// @file
/// @brief Retries, timeouts and stalled connections.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief Retries or refuses a request after a failed attempt.
void
HandleAttemptFailed(RouterState& aState, const AttemptFailed& aFailure);

/// @brief A probe over a new connection succeeded, so connections to the
/// upstream that are still silent have failed: retries their requests.
void
ProbeSucceeded(RouterState& aState, UpstreamId aUpstream);

/// @brief Handles deadlines, timeouts and stalled connections of all requests.
void
CheckTimeouts(RouterState& aState);

} // namespace hibiscusnotch::core
