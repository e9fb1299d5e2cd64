/// @file
/// @brief One instance's part of what a cold upstream bears.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace hibiscusnotch::routing {

/// @brief An instance that may send to the upstream.
struct ColdStartSender
{
  std::string_view name;
  bool sameZone = false; ///< As the upstream.
};

/// @brief Requests a second that an instance may send to a cold upstream.
///
/// The parts of all instances add up to at most the rate, without a message.
/// Where the rate is lower than the number of instances, whole requests go to
/// the first ones in an order that the upstream's name decides, those of its
/// zone first.
double
ColdStartShare(double aRate,
               std::string_view aUpstream,
               std::string_view aSelf,
               std::span<const ColdStartSender> aSenders);

} // namespace hibiscusnotch::routing
