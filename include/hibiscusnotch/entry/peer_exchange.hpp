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

struct PeerExchangeOptions
{
  std::string instanceName;
  core::Endpoint endpoint;
  std::string zone;
  Duration period{ 200'000 }; ///< Of reports and of the hubs' exchange.
  /// @brief After so long without sums the next instance serves as hub.
  Duration aggregatorTimeout{ 1'500'000 };
};

/// @brief Reports own work, evidence on open roll-outs and quarantined requests
/// to the zone's hub, which sends the sums of the others back. Hubs exchange
/// their zones' evidence.
///
/// Beliefs on safety only ever become more careful by a peer's word, so a lost
/// datagram delays and never misleads.
class PeerExchange
{
public:
  virtual ~PeerExchange() = default;
};

/// @brief Binds at once; throws when the endpoint cannot be had.
std::unique_ptr<PeerExchange>
MakePeerExchange(boost::asio::io_context& aContext,
                 relay::Timers& aTimers,
                 PeerExchangeOptions aOptions,
                 FleetState& aFleet,
                 EventLog& aLog);

} // namespace hibiscusnotch::entry
