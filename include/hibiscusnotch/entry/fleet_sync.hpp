/// @file
/// @brief Keeps the fleet's state in step with the store.
#pragma once

#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/store_codec.hpp"

#include "hibiscusnotch/store/mirror_server.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hibiscusnotch::entry {

struct FleetSyncOptions
{
  std::string instanceName;
  std::string zone;
  /// @brief The whole system starts for the first time: its instances' rows
  /// are not in the store yet.
  bool bootstrap = false;
  core::Endpoint peerEndpoint; ///< Where peers reach this instance.
  /// @brief How long the store may hold the watch of the configuration; each
  /// end of it confirms the keys, so it is well below their bound.
  Duration configurationWatchTimeout{ 2'000'000 };
  Duration watchTimeout{ 8'000'000 };
  /// @brief The configuration's wait where mirrors are read: the ages of both
  /// hops add up.
  Duration mirroredConfigurationWatchTimeout{ 1'000'000 };
};

struct FleetSyncDependencies
{
  store::ObjectStore& directStore;   ///< For this instance's own row.
  store::ObjectStore& mirroredStore; ///< For everything that is followed.
  store::MirrorServer& mirrors;
  relay::Timers& timers;
  const StoreCodec& codec;
  FleetState& fleet;
  EventLog& log;
  /// @brief A newer configuration is in force.
  std::function<void()> onConfigurationApplied;
};

class FleetSync
{
public:
  virtual ~FleetSync() = default;
  /// @brief Takes this instance's row out of the store.
  virtual void Deregister() = 0;
  /// @brief A peer's mirror fails; a row whose owner is gone is deleted.
  virtual void OnPeerUnreachable(const std::string& aPeer,
                                 uint32_t aFailureCount) = 0;
};

std::unique_ptr<FleetSync>
MakeFleetSync(FleetSyncOptions aOptions, FleetSyncDependencies aDependencies);

} // namespace hibiscusnotch::entry
