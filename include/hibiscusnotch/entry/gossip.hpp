/// @file
/// @brief Datagrams by which instances share what only some of them saw.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace hibiscusnotch::entry {

struct GossipOptions
{
  std::string instanceName;
  core::Endpoint endpoint;
  Duration period{ 300'000 };
};

/// @brief Sends evidence on open roll-outs and quarantined requests.
///
/// Nothing is sent while there is nothing to tell. Beliefs only ever become
/// more careful by a peer's word, so a lost datagram delays and never misleads.
class Gossip
{
public:
  virtual ~Gossip() = default;
};

/// @brief Binds at once; throws when the endpoint cannot be had.
std::unique_ptr<Gossip>
MakeGossip(boost::asio::io_context& aContext,
           relay::Timers& aTimers,
           GossipOptions aOptions,
           FleetState& aFleet,
           EventLog& aLog);

/// @brief One instance's message, encoded.
std::string
WriteGossip(const std::string& aInstance, FleetState& aFleet, TimePoint aNow);

/// @brief Takes a peer's message in; the reason when it cannot be read.
bool
ReadGossip(std::string_view aMessage,
           FleetState& aFleet,
           std::string& aLastReason);

} // namespace hibiscusnotch::entry
