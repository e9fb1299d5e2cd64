/// @file
/// @brief Keeps the fleet's state in step with the store.
#pragma once

#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/store_codec.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hibiscusnotch::entry {

struct FleetSyncOptions
{
  std::string instanceName;
  core::Endpoint datagrams; ///< Where peers reach this instance.
  /// @brief How long the store may hold the watch of the configuration; each
  /// end of it confirms the keys, so it is well below their bound.
  Duration configurationWait{ 2'000'000 };
  Duration otherWait{ 8'000'000 };
};

struct FleetSyncParts
{
  store::ObjectStore& store;
  relay::Timers& timers;
  const StoreCodec& codec;
  FleetState& fleet;
  EventLog& log;
  /// @brief A newer configuration is in force.
  std::function<void()> onConfiguration;
};

class FleetSync
{
public:
  virtual ~FleetSync() = default;
  /// @brief Takes this instance's row out of the store.
  virtual void Leave() = 0;
};

std::unique_ptr<FleetSync>
MakeFleetSync(FleetSyncOptions aOptions, FleetSyncParts aParts);

} // namespace hibiscusnotch::entry
