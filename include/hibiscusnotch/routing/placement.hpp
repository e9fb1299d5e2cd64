/// @file
/// @brief Chooses the upstream for one attempt.
#pragma once

#include "hibiscusnotch/core/verdict.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace hibiscusnotch::routing {

/// @brief One attempt that looks for an upstream.
struct PlacementRequest
{
  std::string_view service;
  std::string_view model;           ///< Empty for plain services.
  std::string_view affinityKey;     ///< The deepest shared part of the prompt.
  double sharedTokens = 0;          ///< Prompt tokens under that key.
  std::string_view requiredVersion; ///< Software version; empty for any.
  std::string_view excludedVersion; ///< Software version to avoid.
  std::span<const std::string> unprovenVersions; ///< To avoid as well.
  std::span<const UpstreamId> tried;
};

/// @brief What the choice depends on beside the table.
struct PlacementContext
{
  const UpstreamTable& upstreams;
  const std::set<std::string, std::less<>>& evacuatedZones;
  std::string_view localZone;
  /// @brief This instance's part of what a cold upstream bears.
  std::function<double(const Upstream&)> coldStartRateLimit;
  TimePoint now;
};

/// @brief True when the upstream may be sent new work now.
bool
IsEligible(const PlacementContext& aContext,
           const Upstream& aUpstream,
           core::Reason& aLastReason);

/// @brief The upstream of least expected cost; the reason when there is none.
std::optional<UpstreamId>
ChooseUpstream(const PlacementContext& aContext,
               const PlacementRequest& aRequest,
               core::Reason& aLastReason);

} // namespace hibiscusnotch::routing
