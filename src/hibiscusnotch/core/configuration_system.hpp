/// @file
/// @brief Keeps the live configuration up to date, and writes operators'
/// changes.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief True once a configuration is known, or the wait for one from the
/// platform or a peer timed out and the settings alone are used.
bool
ConfigurationReady(const RouterState& aState);

/// @brief Called when the process was suspended for a while: holds dispatches
/// back until a peer or the platform confirms the configuration, or a timeout.
void
StartResync(RouterState& aState);

/// @brief True while dispatches are held back after a pause.
bool
IsResyncing(const RouterState& aState);

/// @brief Applies a configuration unless the current one is as new.
void
ApplyConfiguration(RouterState& aState,
                   uint64_t aRevision,
                   const std::string& aBody);

/// @brief Queues an operator's change.
void
QueueChange(RouterState& aState, AdminChange aChange);

/// @brief Halts a version on this instance, and queues its withdrawal on the
/// platform if aPropose is set or this instance is a watcher.
void
HaltVersion(RouterState& aState, VersionId aVersion, bool aPropose);

/// @brief Starts the watch and the next step of a pending change when due.
void
AdvanceConfiguration(RouterState& aState);

/// @brief Handles a response; true when the call was for the configuration.
bool
HandleConfigurationResponse(RouterState& aState,
                            const PlatformResponse& aResponse);

} // namespace hibiscusnotch::core
