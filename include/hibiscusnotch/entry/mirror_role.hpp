/// @file
/// @brief Decides which instances watch the store and which read mirrors.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/store/mirrored_store.hpp"

#include <optional>
#include <span>
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
/// The zone's instances form a tree: the one of the largest capacity reads the
/// store, and each serves as many others as its capacity allows. So an
/// instance's load does not grow with the zone.
///
/// All instances derive the roles from the registered instances. They need not
/// agree: a disagreement costs a few calls to the store. Mirrors are only read
/// from higher-ranked peers, so there are no cycles.
std::vector<store::MirrorPeer>
MirrorPeers(const FleetState& aFleet,
            std::string_view aSelf,
            std::string_view aZone);

/// @brief The seed that an instance asks at its given attempt; nothing if it is
/// a seed itself or there is none.
std::optional<store::MirrorPeer>
SeedPeer(std::span<const core::Endpoint> aSeeds,
         const core::Endpoint& aSelf,
         std::string_view aSelfName,
         std::size_t aAttempt);

} // namespace hibiscusnotch::entry
