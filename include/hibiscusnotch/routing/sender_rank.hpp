/// @file
/// @brief Ranks the instances that may send requests to an upstream.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::routing {

/// @brief An instance that may send requests to the upstream.
struct Sender
{
  std::string_view name;
  bool sameZone = false; ///< In the upstream's zone.
};

/// @brief The instance's place among the senders, from 0; nothing if the list
/// lacks it.
///
/// Every instance computes the same order by itself: those in the upstream's
/// zone first, then by a hash of the upstream's and the instance's name.
std::optional<std::size_t>
SenderRank(std::string_view aUpstream,
           std::string_view aSelf,
           std::span<const Sender> aSenders);

/// @brief The names of the senders that rank first.
std::vector<std::string>
FirstSenders(std::string_view aUpstream,
             std::span<const Sender> aSenders,
             std::size_t aCount);

} // namespace hibiscusnotch::routing
