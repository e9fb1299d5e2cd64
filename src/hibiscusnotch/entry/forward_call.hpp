/// @file
/// @brief Builds the call that sends a request through another instance.
#pragma once

#include "exchange.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"

#include <string>

namespace hibiscusnotch::entry {

/// @brief The attempt without its service.
Attempt
MakeForwardAttempt(const Exchange& aExchange,
                   const std::string& aPeer,
                   TimePoint aNow);

relay::OutboundCall
MakeForwardCall(const Exchange& aExchange,
                const HeaderCodec& aHeaderCodec,
                const InstanceInfo& aPeer,
                TimePoint aNow);

} // namespace hibiscusnotch::entry
