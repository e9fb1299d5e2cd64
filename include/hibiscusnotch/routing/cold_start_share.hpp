/// @file
/// @brief Divides the request rate of a cold upstream among the instances.
#pragma once

#include "hibiscusnotch/routing/sender_rank.hpp"

#include <span>
#include <string>
#include <string_view>

namespace hibiscusnotch::routing {

/// @brief This instance's share of a cold upstream's request rate, per second.
///
/// Every instance computes the shares by itself; together they never exceed the
/// rate. Shares are whole requests. If the rate is lower than the number of
/// instances, the instances that rank first get one each.
double
ColdStartShare(double aRate,
               std::string_view aUpstream,
               std::string_view aSelf,
               std::span<const Sender> aSenders);

} // namespace hibiscusnotch::routing
