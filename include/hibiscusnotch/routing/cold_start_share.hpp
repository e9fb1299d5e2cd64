/// @file
/// @brief Divides the request rate of a cold upstream among the instances.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace hibiscusnotch::routing {

/// @brief An instance that may send requests to the upstream.
struct ColdStartSender
{
  std::string_view name;
  bool sameZone = false; ///< In the upstream's zone.
};

/// @brief This instance's share of a cold upstream's request rate, per second.
///
/// Every instance computes the shares by itself; together they never exceed the
/// rate. Shares are whole requests. If the rate is lower than the number of
/// instances, the instances that rank first get one each: those in the
/// upstream's zone, then by a hash of the upstream's and the instance's name.
double
ColdStartShare(double aRate,
               std::string_view aUpstream,
               std::string_view aSelf,
               std::span<const ColdStartSender> aSenders);

} // namespace hibiscusnotch::routing
