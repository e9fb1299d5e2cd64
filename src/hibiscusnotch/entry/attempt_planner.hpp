/// @file
/// @brief Decides where the next attempt of a request goes.
#pragma once

#include "exchange.hpp"
#include "hibiscusnotch/core/verdict.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/request_router.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::entry {

class AttemptPlanner
{
public:
  AttemptPlanner(const RouterOptions& aOptions,
                 FleetState& aFleet,
                 const relay::Timers& aTimers);

  /// @brief The service of the route's split that the request belongs to.
  std::string ChooseService(const Exchange& aExchange) const;

  /// @brief The upstream for one of the route's models.
  std::optional<core::UpstreamId> ChooseUpstream(
    const Exchange& aExchange,
    std::size_t aModelIndex,
    core::Reason& aLastReason) const;

  /// @brief Running and waiting requests for each slot of the service's
  /// upstreams in this zone, whose load is known best; of all, where the zone
  /// has none.
  double ServiceLoad(std::string_view aService) const;

  /// @brief Notes the version that the request's session is on.
  void RecordSessionVersion(const Exchange& aExchange,
                            const Attempt& aAttempt) const;

private:
  double ColdStartRateLimit(const routing::Upstream& aUpstream) const;

  const RouterOptions& options_;
  FleetState& fleet_;
  const relay::Timers& timers_;
};

/// @brief The model of a row of the route's sizes, or the caller's.
std::string
ModelName(const Exchange& aExchange, std::size_t aModelIndex);

/// @brief How long an attempt may take to connect.
Duration
ConnectTimeout(const Exchange& aExchange);

/// @brief How long an upstream may say nothing before it is probed.
Duration
SilenceLimit(const Exchange& aExchange);

} // namespace hibiscusnotch::entry
