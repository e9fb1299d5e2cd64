/// @file
/// @brief What one instance believes of the fleet.
#pragma once

#include "hibiscusnotch/core/quarantine.hpp"
#include "hibiscusnotch/routing/configuration.hpp"
#include "hibiscusnotch/routing/rollout.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hibiscusnotch::entry {

using core::Duration;
using core::TimePoint;

/// @brief Another entry instance, as it registered itself.
struct InstanceInfo
{
  core::Endpoint endpoint; ///< For datagrams and, over TCP, for mirrors.
  std::string zone;
};

/// @brief Plain tables; the systems of this module run over them.
struct FleetState
{
  std::shared_ptr<const routing::Configuration> configuration;
  /// @brief All changes of the configuration up to then are known here.
  TimePoint configurationConfirmedAt{};
  bool upstreamsKnown = false;
  routing::UpstreamTable upstreams;
  std::set<std::string, std::less<>> evacuatedZones;
  routing::Rollouts rollouts;
  std::map<std::string, InstanceInfo> instances;
  core::Quarantine quarantine;

  std::size_t InstanceCount() const
  {
    return instances.empty() ? 1 : instances.size();
  }
};

} // namespace hibiscusnotch::entry
