/// @file
/// @brief How much work a freshly started upstream may get.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>

namespace hibiscusnotch::core {

/// @brief Concurrent requests that the upstream bears at that age, fleet-wide.
/// @param aUpstream Its floor, capacity and ramp.
/// @param aAge Time since the start of its process.
uint32_t
ConcurrencyLimitAtAge(const Upstream& aUpstream, Duration aAge);

/// @brief This instance's part of a cold upstream's limit.
///
/// The parts of all instances add up to the limit by construction, without a
/// message: the limit is divided among the declared instances of the
/// upstream's zone in an order that the upstream's name decides. Each part
/// grows with the limit, so the sum holds while instances disagree on the
/// upstream's age or incarnation, or are cut off from each other.
uint32_t
ColdStartShare(const Settings& aSettings,
               UpstreamId aUpstream,
               uint32_t aLimit,
               InstanceId aInstance);

} // namespace hibiscusnotch::core
