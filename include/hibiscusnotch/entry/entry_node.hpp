/// @file
/// @brief One entry instance: its listeners, router and exchange with the store
/// and the peers.
#pragma once

#include "hibiscusnotch/entry/fleet_sync.hpp"
#include "hibiscusnotch/entry/header_codec.hpp"
#include "hibiscusnotch/entry/peer_exchange.hpp"
#include "hibiscusnotch/entry/request_router.hpp"
#include "hibiscusnotch/entry/store_codec.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::entry {

struct EntryNodeOptions
{
  std::string instanceName;
  core::Endpoint callerEndpoint; ///< For callers' requests.
  core::Endpoint
    readinessEndpoint; ///< For the load balancer's readiness checks.
  std::string readinessPath = "/ready";
  core::Endpoint metricsEndpoint;
  /// @brief UDP for reports, TCP for mirrors; the next port takes requests of
  /// instances that reach no upstream.
  core::Endpoint peerEndpoint;
  /// @brief Instances whose mirrors are read until the fleet is known. Some may
  /// be down. If this instance is one of them, it reads the store.
  std::vector<core::Endpoint> seeds;
  /// @brief From the termination signal to the end of the process.
  Duration shutdownGrace{ 8'000'000 };
  routing::RolloutOptions rollouts;
  RouterOptions router;
  /// @brief Unsent bytes of all responses together; zero for no bound.
  std::size_t unsentBudgetBytes = 0;
  /// @brief Bytes of request bodies together, of callers and instances; zero
  /// for no bound.
  std::size_t bodyBudgetBytes = 0;
  FleetSyncOptions sync;
};

/// @brief Collaborators that know the deployment's headers and objects.
struct EntryNodeDependencies
{
  const HeaderCodec& headerCodec;
  const StoreCodec& storeCodec;
  /// @brief Builds the store's client on top of the outbound client.
  std::function<std::unique_ptr<store::ObjectStore>(relay::OutboundClient&,
                                                    relay::Timers&)>
    makeStore;
};

class EntryNode
{
public:
  virtual ~EntryNode() = default;
  /// @brief Becomes unready, completes open requests, then calls back.
  virtual void Drain(const std::function<void()>& aDone) = 0;
  virtual bool IsReady() const = 0;
};

/// @brief Starts listening; throws if an endpoint is unavailable.
std::unique_ptr<EntryNode>
MakeEntryNode(boost::asio::io_context& aContext,
              EntryNodeOptions aOptions,
              const EntryNodeDependencies& aDependencies);

} // namespace hibiscusnotch::entry
