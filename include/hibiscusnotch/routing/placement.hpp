/// @file
/// @brief Chooses the upstream for one attempt.
#pragma once

#include "hibiscusnotch/core/verdict.hpp"
#include "hibiscusnotch/routing/service_timing.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::routing {

/// @brief What an attempt needs of its upstream.
struct PlacementRequest
{
  std::string_view service;
  std::string_view model;           ///< Empty for services without models.
  std::string_view affinityKey;     ///< Id of the longest shared prompt prefix.
  double sharedTokens = 0;          ///< Prompt tokens of that prefix.
  std::string_view requiredVersion; ///< Software version; empty for any.
  std::string_view excludedVersion; ///< Software version; empty for none.
  std::span<const std::string> unprovenVersions; ///< Excluded as well.
  std::span<const UpstreamId> tried;
  double promptTokens = 0;
  double outputTokens = 0; ///< Expected.
  uint64_t drawKey = 0;    ///< Differs between requests; seeds the draw.
};

/// @brief The state that placement reads, beside the request.
struct PlacementContext
{
  const UpstreamTable& upstreams;
  const std::set<std::string, std::less<>>& evacuatedZones;
  std::string_view localZone;
  /// @brief This instance's share of a cold upstream's rate, in requests per
  /// second.
  std::function<double(const Upstream&)> coldStartRateLimit;
  TimePoint now;
  /// @brief This instance's share of the slots of a brittle upstream; nothing
  /// if it is not brittle.
  std::function<std::optional<uint32_t>(const Upstream&)> slotShare = {};
  /// @brief Places by expected time even if no upstream of the service states
  /// its slowdown.
  bool placeByTime = false;
  const ServiceTimings* timings = nullptr; ///< Nothing is learnt if null.
  /// @brief True if the part of a prompt that an upstream has cached is weighed
  /// against its load. Otherwise the first owner is assumed to cache all of it.
  bool weighsPromptCache = false;
  /// @brief Prompt tokens of the request that are likely not to be prefilled
  /// again at the upstream, by its place in the rendezvous order of the prefix;
  /// nothing if it is not among the first owners. Used if weighsPromptCache.
  std::function<double(UpstreamId, const Upstream&, std::optional<std::size_t>)>
    savedTokens = {};
  /// @brief Zones whose upstreams cannot be connected to; none if null.
  const std::set<std::string, std::less<>>* unreachableZones = nullptr;
};

/// @brief The upstream's place among the owners of the prompt prefix in this
/// zone; nothing if it is not among the first PromptCache::kMaxOwners.
std::optional<std::size_t>
CacheOwnerRank(const PlacementContext& aContext,
               const PlacementRequest& aRequest,
               UpstreamId aId);

/// @brief True if the upstream may get a new request now. The reason stays as
/// it is if the upstream's zone cannot be reached.
bool
IsEligible(const PlacementContext& aContext,
           const Upstream& aUpstream,
           core::Reason& aLastReason);

/// @brief When upstreams that hold back requests take them again.
struct Opening
{
  TimePoint at; ///< Of the first; the latest time if never from this instance.
  double perSecond = 0; ///< Requests that they then take from this instance.
  core::Reason reason = core::Reason::None; ///< Why the first holds back.
};

/// @brief The next opening if each upstream of the service and version is in
/// backoff, keeps its limit, or takes no requests at all.
std::optional<Opening>
NextOpening(const PlacementContext& aContext, const PlacementRequest& aRequest);

/// @brief The upstreams of the service and version, if each divides what it
/// takes among the instances and none has a share for this one.
std::vector<UpstreamId>
UpstreamsOfOthers(const PlacementContext& aContext,
                  const PlacementRequest& aRequest);

/// @brief True if the upstream of the request is chosen by expected time.
bool
PlacesByTime(const PlacementContext& aContext, std::string_view aService);

/// @brief What a request finds at the upstream to which it is sent now.
SendObservation
ObserveSend(const Upstream& aUpstream,
            const PlacementRequest& aRequest,
            TimePoint aNow);

/// @brief The eligible upstream of the lowest expected cost; sets the reason if
/// there is none.
///
/// If the context asks for it or upstreams of the service state their slowdown,
/// the cost is the expected time to finish, and the best of a few upstreams is
/// taken that are drawn by their free slots: instances with the same report
/// would otherwise all choose the same upstream.
std::optional<UpstreamId>
ChooseUpstream(const PlacementContext& aContext,
               const PlacementRequest& aRequest,
               core::Reason& aLastReason);

} // namespace hibiscusnotch::routing
