/// @file
/// @brief Keeps requests that crash upstreams from being sent.
#pragma once

#include "exchange.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"

namespace hibiscusnotch::entry {

/// @brief True if a trait of the request is quarantined. Grants the trait's
/// trial if one is due: then the request may be sent once.
bool
IsQuarantined(Exchange& aExchange,
              const RouterOptions& aOptions,
              FleetState& aFleet,
              TimePoint aNow);

} // namespace hibiscusnotch::entry
