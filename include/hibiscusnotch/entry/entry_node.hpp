/// @file
/// @brief One entry instance before services whose fleet changes while it runs.
#pragma once

#include "hibiscusnotch/entry/fleet_sync.hpp"
#include "hibiscusnotch/entry/header_codec.hpp"
#include "hibiscusnotch/entry/peer_exchange.hpp"
#include "hibiscusnotch/entry/request_router.hpp"
#include "hibiscusnotch/entry/store_codec.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hibiscusnotch::entry {

struct EntryNodeOptions
{
  std::string instanceName;
  core::Endpoint callerEndpoint;    ///< Takes requests.
  core::Endpoint readinessEndpoint; ///< Answers the balancer's question.
  std::string readinessPath = "/ready";
  core::Endpoint metricsEndpoint;
  core::Endpoint peerEndpoint; ///< Datagrams over UDP, mirrors over TCP.
  /// @brief From the signal to the end of the process.
  Duration shutdownGrace{ 8'000'000 };
  /// @brief Requests of a session follow each other within it.
  Duration sessionIdleTimeout{ 5'000'000 };
  RouterOptions router;
  FleetSyncOptions sync;
};

/// @brief Collaborators that speak the deployment's names.
struct EntryNodeDependencies
{
  const HeaderCodec& headerCodec;
  const StoreCodec& codec;
  /// @brief Builds the store's client over the node's caller.
  std::function<std::unique_ptr<store::ObjectStore>(relay::OutboundClient&,
                                                    relay::Timers&)>
    makeStore;
};

class EntryNode
{
public:
  virtual ~EntryNode() = default;
  /// @brief Stops being ready, finishes what is open, then calls back.
  virtual void Drain(const std::function<void()>& aDone) = 0;
  virtual bool Ready() const = 0;
};

/// @brief Listens at once; throws when an endpoint cannot be had.
std::unique_ptr<EntryNode>
MakeEntryNode(boost::asio::io_context& aContext,
              EntryNodeOptions aOptions,
              const EntryNodeDependencies& aDependencies);

} // namespace hibiscusnotch::entry
