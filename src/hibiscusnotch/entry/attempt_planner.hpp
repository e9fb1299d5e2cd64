/// @file
/// @brief Chooses service and upstream for a request's next attempt.
#pragma once

#include "exchange.hpp"
#include "hibiscusnotch/core/verdict.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/request_router.hpp"
#include "hibiscusnotch/routing/placement.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::entry {

class AttemptPlanner
{
public:
  AttemptPlanner(const RouterOptions& aOptions,
                 FleetState& aFleet,
                 const relay::Timers& aTimers);

  /// @brief The service for the request by the route's traffic split.
  std::string ChooseService(const Exchange& aExchange) const;

  /// @brief The upstream for one of the route's models.
  std::optional<core::UpstreamId> ChooseUpstream(
    const Exchange& aExchange,
    std::size_t aModelIndex,
    core::Reason& aLastReason) const;

  /// @brief True if all upstreams of the request's service are in zones that
  /// this instance cannot reach.
  bool IsBeyondReach(const Exchange& aExchange) const;

  /// @brief As routing::NextOpening, for one of the route's models.
  std::optional<routing::Opening> NextOpening(const Exchange& aExchange,
                                              std::size_t aModelIndex) const;

  /// @brief As routing::NextKnownOpening.
  std::optional<TimePoint> NextKnownOpening(std::string_view aService) const;

  /// @brief The instances that have shares of the service's upstreams, if each
  /// upstream divides what it takes and this instance has no share.
  std::set<std::string> ShareHolders(const Exchange& aExchange,
                                     std::size_t aModelIndex) const;

  /// @brief Running and waiting requests per slot of the service's upstreams in
  /// this zone, whose load is known best; of all its upstreams if the zone has
  /// none.
  double ServiceLoad(std::string_view aService) const;

  /// @brief Records that the request's prompt is sent to the upstream. Call
  /// before the send itself is recorded. Nothing if the service's upstreams are
  /// not chosen by what they have cached.
  std::optional<routing::SentPrompt> RecordPrompt(
    const Exchange& aExchange,
    std::size_t aModelIndex,
    core::UpstreamId aUpstream) const;

  /// @brief Records the version that the request's session is on.
  void RecordSessionVersion(const Exchange& aExchange,
                            const Attempt& aAttempt) const;

  /// @brief Keeps what the attempt finds at its upstream, to learn from the
  /// response. To be called before the send is counted there.
  void RecordSend(const Exchange& aExchange, Attempt& aAttempt) const;
  /// @brief Learns from the head of a valid response to the attempt.
  void RecordHead(Attempt& aAttempt);
  /// @brief The time that an upstream of usual speed would have taken.
  Duration AtUsualSpeed(const Attempt& aAttempt, Duration aTook) const;
  /// @brief Learns from the complete response to the attempt.
  void RecordComplete(const Attempt& aAttempt);

private:
  /// What an attempt at one of the route's models needs of its upstream.
  struct Plan
  {
    std::string service;
    std::string model;
    routing::VersionConstraint constraint;
    routing::PlacementRequest request; ///< Refers to the other members.
  };

  /// The memory of the service's upstreams if their prompt caches are weighed.
  std::optional<uint64_t> WeighedMemory(std::string_view aService) const;
  /// The prompt's shared segments as this instance has sent them.
  routing::PromptChain LookUpPrompt(const Exchange& aExchange,
                                    std::string_view aModel) const;

  std::unique_ptr<Plan> MakePlan(const Exchange& aExchange,
                                 std::size_t aModelIndex) const;
  routing::PlacementContext Context() const;
  /// Recomputes shares after changes of the instances or of a limit.
  void RefreshShares() const;
  double ColdStartRateLimit(const routing::Upstream& aUpstream) const;
  /// Nothing if the upstream is not brittle.
  std::optional<uint32_t> SlotShareOf(const routing::Upstream& aUpstream) const;

  const RouterOptions& options_;
  FleetState& fleet_;
  const relay::Timers& timers_;
  routing::ServiceTimings timings_;
  /// Shares by the upstream's name and rate, of the current membership.
  mutable std::map<std::pair<std::string, double>, double> coldStartShares_;
  /// Shares of brittle upstreams by name, of the current membership.
  mutable std::map<std::string, uint32_t, std::less<>> slotShares_;
  /// Holders of shares by the upstream's name and their number, of the current
  /// membership.
  mutable std::map<std::pair<std::string, std::size_t>,
                   std::vector<std::string>>
    shareHolders_;
  mutable uint64_t sharesMembership_ = 0;
  mutable uint64_t sharesLimitChanges_ = 0;
};

/// @brief The route's model of that index, or the caller's.
std::string
ModelName(const Exchange& aExchange, std::size_t aModelIndex);

/// @brief Connect timeout of an attempt.
Duration
ConnectTimeout(const Exchange& aExchange);

/// @brief How long an upstream may stay silent before it is probed.
Duration
SilenceLimit(const Exchange& aExchange);

/// @brief How long an upstream may be silent and unreachable before the attempt
/// is lost.
Duration
MaxSilence(const Exchange& aExchange);

} // namespace hibiscusnotch::entry
