/// @file
/// @brief Which instances watch the store, and which read their copies.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/store/mirrored_store.hpp"

#include <string_view>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief True when the zone has so many instances that most of them read
/// copies: each call to the store is paid for, bytes within a zone are not.
bool
ZoneUsesMirrors(const FleetState& aFleet, std::string_view aZone);

/// @brief The peers whose copies an instance reads, in its order of trying;
/// empty for an instance that watches the store itself.
///
/// All instances derive the same roles from the same rows. Roles need no
/// agreement: one that disagrees costs a few calls to the store, and a copy
/// is only ever read from peers that rank higher, so there is no circle.
std::vector<store::MirrorPeer>
MirrorPeers(const FleetState& aFleet,
            std::string_view aSelf,
            std::string_view aZone);

} // namespace hibiscusnotch::entry
