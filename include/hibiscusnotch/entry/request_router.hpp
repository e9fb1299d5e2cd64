/// @file
/// @brief Routes each caller's request until it is answered or refused.
#pragma once

#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/header_codec.hpp"
#include "hibiscusnotch/observe/metrics.hpp"
#include "hibiscusnotch/relay/listener.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"
#include "hibiscusnotch/routing/model_cascade.hpp"
#include "hibiscusnotch/routing/retry_budget.hpp"
#include "hibiscusnotch/routing/wait_queue.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace hibiscusnotch::entry {

struct RouterOptions
{
  std::string instanceName;
  std::string zone;
  /// @brief API keys are accepted only if the configuration was confirmed
  /// within this time: the operators' bound on revoked keys, less a margin.
  Duration maxKeyAge{ 4'000'000 };
  bool enforceKeyRevocation = true;
  routing::RetryBudgetLimits retryBudget;
  routing::ModelCascadeOptions modelCascade;
  /// @brief Applied to a service's rate for cold upstreams: factor, then
  /// requests per second on top.
  double coldRateFactor = 1.0;
  double coldRateSlack = 0;
  routing::WaitQueueOptions waiting;
  /// @brief Upstreams end when their requests exceed their memory, and callers
  /// may read slowly.
  bool memoryPressure = false;
  /// @brief Chooses upstreams by expected time even if they do not state their
  /// slowdown.
  bool placeByTime = false;
  /// @brief Weighs what upstreams have likely cached of a prompt against their
  /// load, where the configuration states their memory.
  bool weighPromptCache = false;
  /// @brief Bytes of one response that may wait for a slow caller; above it,
  /// the upstream is paused.
  std::size_t maxUnsentBytes = std::size_t{ 256 } * 1024;
};

/// @brief Collaborators; all must outlive the router.
struct RouterDependencies
{
  relay::Timers& timers;
  relay::OutboundClient& client;
  const HeaderCodec& headerCodec;
  FleetState& fleet;
  EventLog& log;
  observe::Metrics& metrics;
};

/// @brief Who sent a request.
enum class RequestOrigin
{
  Caller,
  Instance, ///< One that reaches no upstream itself; it is not forwarded again.
};

class RequestRouter
{
public:
  virtual ~RequestRouter() = default;

  /// @brief Sets where responses to requests of the origin go; call before the
  /// first one.
  virtual void SetListener(RequestOrigin aOrigin,
                           relay::Listener& aListener) = 0;
  virtual void OnRequest(RequestOrigin aOrigin,
                         relay::ExchangeId aId,
                         net::HttpRequest aRequest) = 0;
  virtual void OnClientDisconnected(RequestOrigin aOrigin,
                                    relay::ExchangeId aId) = 0;
  virtual void OnWritten(RequestOrigin aOrigin, relay::ExchangeId aId) = 0;
  virtual std::size_t OpenRequestCount() const = 0;
  /// @brief Memory that upstreams' responses take until they are passed on,
  /// about.
  virtual std::size_t BufferedBytes() const = 0;
  /// @brief Requests that wait for an upstream.
  virtual std::size_t QueuedRequestCount() const = 0;
  /// @brief How long the oldest of them has been open.
  virtual Duration OldestQueuedAge() const = 0;
  /// @brief Refuses all further requests, as the process is about to end.
  virtual void RefuseNewRequests() = 0;
  /// @brief Ends all open requests before the process does: each gets its final
  /// response, or is aborted if its response has begun.
  virtual void EndOpenRequests() = 0;
  /// @brief True while no upstream accepts connections of this instance.
  virtual bool IsCutOff() const = 0;
  /// @brief Times that a request was sent through another instance.
  virtual uint64_t ForwardCount() const = 0;
  /// @brief True if the configuration is recent enough to accept API keys.
  virtual bool KeysAreFresh() const = 0;
};

std::unique_ptr<RequestRouter>
MakeRequestRouter(RouterOptions aOptions, RouterDependencies aDependencies);

} // namespace hibiscusnotch::entry
