/// @file
/// @brief Concurrency limits of upstreams that have started recently.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>

namespace hibiscusnotch::core {

/// @brief The fleet-wide limit of concurrent requests at an upstream of that
/// age.
/// @param aUpstream Declares the cold floor, the capacity and the ramp.
/// @param aAge Time since the start of its process.
uint32_t
ConcurrencyLimitAtAge(const Upstream& aUpstream, Duration aAge);

/// @brief An instance's share of a cold upstream's limit.
///
/// The shares of all instances add up to the limit without coordination: it is
/// divided among the declared instances of the upstream's zone, and a hash of
/// the upstream's name ranks who gets the remainder. Each share is monotonic in
/// the limit, so the sum never exceeds it while instances disagree on the
/// upstream's age or incarnation, or are partitioned.
uint32_t
ColdStartShare(const Settings& aSettings,
               UpstreamId aUpstream,
               uint32_t aLimit,
               InstanceId aInstance);

} // namespace hibiscusnotch::core
