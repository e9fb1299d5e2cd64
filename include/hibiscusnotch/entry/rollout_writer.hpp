/// @file
/// @brief Writes the state of roll-outs to the store.
#pragma once

#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/store_codec.hpp"

#include <memory>
#include <string>

namespace hibiscusnotch::entry {

struct RolloutWriterDependencies
{
  store::ObjectStore& store;
  relay::Timers& timers;
  const StoreCodec& storeCodec;
  FleetState& fleet;
  EventLog& log;
};

/// @brief Any instance may write; the store's revision check lets one succeed.
class RolloutWriter
{
public:
  virtual ~RolloutWriter() = default;
  /// @brief Number of states written by this instance, for tests and status.
  virtual std::size_t WriteCount() const = 0;
};

std::unique_ptr<RolloutWriter>
MakeRolloutWriter(std::string aInstanceName,
                  RolloutWriterDependencies aDependencies);

} // namespace hibiscusnotch::entry
