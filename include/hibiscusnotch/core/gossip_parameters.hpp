/// @file
/// @brief How often and how much instances tell each other, by fleet size.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <cstddef>
#include <vector>

namespace hibiscusnotch::core {

/// @brief Rates and caps that keep control traffic within its bound.
struct GossipParameters
{
  bool largeFleet = false; ///< Heartbeats are sampled, not sent to all.
  Duration heartbeatInterval{ 0 };
  uint32_t fanOut = 0; ///< Peers that get each heartbeat.
  Duration suspectAfter{ 0 };
  Duration confirmAfter{ 0 };
  std::size_t membersPerHeartbeat = 0;
  std::size_t upstreamsPerHeartbeat = 0;
  std::size_t ratingsPerHeartbeat = 0;
  Duration pollInterval{ 0 };
  Duration upstreamStatusLifetime{ 0 }; ///< Of an upstream's own sign of life.
};

/// @brief The cadence of a fleet of the declared size.
GossipParameters
GossipParametersFor(const Settings& aSettings);

/// @brief For each upstream, whether the instance polls it without a need.
///
/// In a small fleet every instance polls all. In a large one each polls a
/// bounded number of its own zone, and every upstream has several pollers.
std::vector<bool>
PolledUpstreams(const Settings& aSettings, InstanceId aSelf);

} // namespace hibiscusnotch::core
