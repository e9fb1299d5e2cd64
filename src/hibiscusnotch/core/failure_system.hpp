/// @file
/// @brief Retries, time limits and silent connections.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief Retries or refuses after a failed attempt.
void
HandleAttemptFailed(RouterState& aState, const AttemptFailed& aFailure);

/// @brief A new connection to the upstream works: silent ones are broken.
void
ProbeSucceeded(RouterState& aState, UpstreamId aUpstream);

/// @brief Deadlines, timeouts and silent connections.
void
CheckTimeouts(RouterState& aState);

} // namespace hibiscusnotch::core
