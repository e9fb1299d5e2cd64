/// @file
/// @brief Rates and sizes of the gossip between instances, by fleet size.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <cstddef>
#include <vector>

namespace hibiscusnotch::core {

/// @brief Rates and limits that bound the control traffic.
struct GossipParameters
{
  bool largeFleet = false; ///< Heartbeats go to a sample of the peers.
  Duration heartbeatInterval{ 0 };
  uint32_t fanOut = 0; ///< Recipients of each heartbeat.
  Duration suspectAfter{ 0 };
  Duration confirmAfter{ 0 };
  std::size_t membersPerHeartbeat = 0;
  std::size_t upstreamsPerHeartbeat = 0;
  std::size_t ratingsPerHeartbeat = 0;
  Duration pollInterval{ 0 };
  Duration upstreamStatusLifetime{ 0 }; ///< How long direct contact counts.
};

/// @brief The parameters for a fleet of the declared size.
GossipParameters
GossipParametersFor(const Settings& aSettings);

/// @brief For each upstream, whether the instance polls it periodically.
///
/// In a small fleet every instance polls all upstreams. In a large one each
/// polls a bounded number of its own zone, and every upstream has several
/// pollers.
std::vector<bool>
PolledUpstreams(const Settings& aSettings, InstanceId aSelf);

} // namespace hibiscusnotch::core
