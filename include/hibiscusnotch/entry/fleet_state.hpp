/// @file
/// @brief One instance's view of the fleet.
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

/// @brief An entry instance as registered in the store.
struct InstanceInfo
{
  core::Endpoint endpoint; ///< UDP for reports, TCP for mirrors.
  std::string zone;
};

/// @brief Shared state of this module's components.
struct FleetState
{
  std::shared_ptr<const routing::Configuration> configuration;
  /// @brief All configuration changes up to this time are known here.
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
