/// @file
/// @brief Decides which instances watch the store and which read mirrors.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/store/mirrored_store.hpp"

#include <string_view>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief True if the zone has enough instances for most of them to read
/// mirrors: calls to the store are billed, traffic within a zone is not.
bool
ZoneUsesMirrors(const FleetState& aFleet, std::string_view aZone);

/// @brief The peers whose mirrors an instance reads, in order of preference;
/// empty for an instance that watches the store itself.
///
/// All instances derive the roles from the registered instances. They need not
/// agree: a disagreement costs a few calls to the store. Mirrors are only read
/// from higher-ranked peers, so there are no cycles.
std::vector<store::MirrorPeer>
MirrorPeers(const FleetState& aFleet,
            std::string_view aSelf,
            std::string_view aZone);

} // namespace hibiscusnotch::entry
