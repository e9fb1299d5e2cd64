/// @file
/// @brief Takes callers' requests to an answer or a refusal.
#pragma once

#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/header_codec.hpp"
#include "hibiscusnotch/observe/metrics.hpp"
#include "hibiscusnotch/relay/listener.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"
#include "hibiscusnotch/routing/model_cascade.hpp"
#include "hibiscusnotch/routing/retry_budget.hpp"

#include <memory>
#include <string>

namespace hibiscusnotch::entry {

struct RouterOptions
{
  std::string instanceName;
  std::string zone;
  /// @brief A key counts only if the configuration was confirmed this lately.
  /// Source: the operators' bound on removed keys, less a margin.
  Duration maxKeyAge{ 4'000'000 };
  bool enforceKeyRevocation = true;
  routing::RetryBudgetLimits retryBudget;
  routing::ModelCascadeOptions modelCascade;
  /// @brief Requests a second that a cold upstream bears, all instances'.
  double coldRateFactor = 1.0;
  double coldRateSlack = 0;
};

/// @brief Collaborators; all outlive the router.
struct RouterDependencies
{
  relay::Timers& timers;
  relay::OutboundClient& caller;
  const HeaderCodec& headerCodec;
  FleetState& fleet;
  EventLog& log;
  observe::Metrics& metrics;
};

class RequestRouter
{
public:
  virtual ~RequestRouter() = default;

  /// @brief Sets where answers go; before the first request.
  virtual void SetListener(relay::Listener& aListener) = 0;
  virtual void OnRequest(relay::ExchangeId aId, net::HttpRequest aRequest) = 0;
  virtual void OnGone(relay::ExchangeId aId) = 0;
  virtual void OnDrained(relay::ExchangeId aId) = 0;
  virtual std::size_t OpenRequestCount() const = 0;
  /// @brief Refuses what comes from now on; the process is about to end.
  virtual void RefuseNewRequests() = 0;
  /// @brief True when keyed requests are served.
  virtual bool KeysAreFresh() const = 0;
};

std::unique_ptr<RequestRouter>
MakeRequestRouter(RouterOptions aOptions, RouterDependencies aDependencies);

} // namespace hibiscusnotch::entry
