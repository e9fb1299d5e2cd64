/// @file
/// @brief Chooses the versions that may answer a request, and keeps session
/// pins.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief The versions that the request may use now, at most one of each model,
/// cheapest first; if there is none, aLastReason says why.
std::vector<VersionId>
EligibleVersions(const RouterState& aState,
                 const RequestState& aRequest,
                 Reason& aLastReason);

/// @brief The one version that meets the targets of all classes of the
/// session's service.
VersionId
SessionVersion(RouterState& aState,
               const RequestState& aRequest,
               Reason& aLastReason);

/// @brief Decides a session's pin at its home: an existing pin wins over the
/// proposal unless its version was withdrawn.
PinReply
ResolvePin(RouterState& aState, const PinRequest& aRequest);

/// @brief The zone's home instance for the session's pin.
InstanceId
PinHome(const RouterState& aState, uint64_t aSession, ZoneId aZone);

/// @brief The instances that should hold a session's pin: the two that rank
/// highest in the fleet and the highest of each zone.
std::set<InstanceId>
PinHomes(const RouterState& aState, uint64_t aSession);

/// @brief Replicates a pin to all its homes, so that it survives the loss of
/// any instance and a network partition between zones.
void
ReplicatePin(RouterState& aState, const PinReply& aReply);

} // namespace hibiscusnotch::core
