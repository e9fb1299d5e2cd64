/// @file
/// @brief Keeps the newest accepted configuration in force here.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief True once a configuration is known, or neither the platform nor a
/// peer gave one for so long that the settings alone must do.
bool
ConfigurationReady(const RouterState& aState);

/// @brief Notes that the process did not run for a while: until a peer or the
/// platform was heard, or for a moment, it starts no work.
void
StartResync(RouterState& aState);

/// @brief True while a process that was paused does not know the present state.
bool
IsResyncing(const RouterState& aState);

/// @brief Puts a newer configuration in force; an older one changes nothing.
void
ApplyConfiguration(RouterState& aState,
                   uint64_t aRevision,
                   const std::string& aBody);

/// @brief Enters an operator's change.
void
QueueChange(RouterState& aState, AdminChange aChange);

/// @brief Stops a version here and asks the platform to withdraw it.
void
HaltVersion(RouterState& aState, VersionId aVersion, bool aPropose);

/// @brief Starts watches and steps of changes that are due.
void
AdvanceConfiguration(RouterState& aState);

/// @brief Takes in an answer; true when it was the configuration's.
bool
HandleConfigurationResponse(RouterState& aState,
                            const PlatformResponse& aResponse);

} // namespace hibiscusnotch::core
