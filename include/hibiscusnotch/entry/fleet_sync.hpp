/// @file
/// @brief Keeps the fleet state up to date with the store.
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
  /// @brief The whole fleet starts for the first time, so its instances are not
  /// registered in the store yet.
  bool bootstrap = false;
  core::Endpoint peerEndpoint; ///< Where peers reach this instance.
  uint32_t capacity = 0;       ///< As in InstanceInfo.
  /// @brief How long the store may hold a watch of the configuration. The end
  /// of each watch confirms the API keys, so it is well below their maximum
  /// age.
  Duration configurationWatchTimeout{ 2'000'000 };
  Duration watchTimeout{ 8'000'000 };
  /// @brief The same when it is watched through a mirror: the delays of both
  /// hops add up.
  Duration mirroredConfigurationWatchTimeout{ 1'000'000 };
};

struct FleetSyncDependencies
{
  store::ObjectStore& directStore;   ///< For the registration of instances.
  store::ObjectStore& mirroredStore; ///< For all watches.
  store::MirrorServer& mirrors;
  relay::Timers& timers;
  const StoreCodec& storeCodec;
  FleetState& fleet;
  EventLog& log;
  /// @brief Called after a newer configuration was applied.
  std::function<void()> onConfigurationApplied;
};

class FleetSync
{
public:
  virtual ~FleetSync() = default;
  /// @brief Removes this instance's registration from the store. It may go on
  /// sending with its shares of upstreams' limits for a second.
  virtual void Deregister() = 0;
  /// @brief This instance uses no share of upstreams' limits any more.
  virtual void GiveUpShares() = 0;
  /// @brief Reports a failed call to a peer's mirror; after several failures
  /// the peer's registration is deleted.
  virtual void OnPeerUnreachable(const std::string& aPeer,
                                 uint32_t aFailureCount) = 0;
};

std::unique_ptr<FleetSync>
MakeFleetSync(FleetSyncOptions aOptions, FleetSyncDependencies aDependencies);

} // namespace hibiscusnotch::entry
