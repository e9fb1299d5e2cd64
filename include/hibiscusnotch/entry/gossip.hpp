/// @file
/// @brief Datagrams by which instances share what only some of them saw.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/load_exchange.hpp"

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
  std::string zone;
  Duration period{ 300'000 };     ///< Of evidence, while there is some.
  Duration loadPeriod{ 200'000 }; ///< Of reports on work, while there is some.
  /// @brief After so long without sums the next instance serves as hub.
  Duration hubSilence{ 1'500'000 };
};

/// @brief Sends evidence on open roll-outs and quarantined requests to all
/// instances, and reports on own work to the zone's hub, which sends sums back.
///
/// Nothing is sent while there is nothing to tell. Beliefs on safety only ever
/// become more careful by a peer's word, so a lost datagram delays and never
/// misleads.
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

enum class LoadMessageKind : uint8_t
{
  Report = 1, ///< Work of the sender.
  Sums = 2,   ///< Work of the zone's other instances.
};

struct LoadMessage
{
  LoadMessageKind kind = LoadMessageKind::Report;
  std::string sender;
  WorkTable work;
};

std::string
WriteLoadMessage(const LoadMessage& aMessage);
/// @brief Nothing for bytes that are no such message.
std::optional<LoadMessage>
ReadLoadMessage(std::string_view aBytes);

/// @brief One instance's evidence, encoded.
std::string
WriteGossip(const std::string& aInstance, FleetState& aFleet, TimePoint aNow);

/// @brief Takes a peer's message in; the reason when it cannot be read.
bool
ReadGossip(std::string_view aMessage,
           FleetState& aFleet,
           TimePoint aNow,
           std::string& aLastReason);

} // namespace hibiscusnotch::entry
