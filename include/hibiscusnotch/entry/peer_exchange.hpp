/// @file
/// @brief Exchanges reports between instances as datagrams.
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
  Duration period{
    200'000
  }; ///< Between reports, also those between aggregators.
  /// @brief After this time without totals the next instance acts as
  /// aggregator.
  Duration aggregatorTimeout{ 1'500'000 };
};

/// @brief Reports this instance's load, evidence on unfinished roll-outs,
/// crashes of upstreams and their limits to the zone's aggregator, which
/// replies with the totals of the others. Aggregators exchange what their zones
/// know, except the load.
///
/// A lost datagram delays a reaction but never causes a wrong one.
class PeerExchange
{
public:
  virtual ~PeerExchange() = default;
};

/// @brief Binds its socket; throws if the endpoint is unavailable.
std::unique_ptr<PeerExchange>
MakePeerExchange(boost::asio::io_context& aContext,
                 relay::Timers& aTimers,
                 PeerExchangeOptions aOptions,
                 FleetState& aFleet,
                 EventLog& aLog);

} // namespace hibiscusnotch::entry
