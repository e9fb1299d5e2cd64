/// @file
/// @brief Load balancing: chooses the upstream for one attempt.
#pragma once

#include "hibiscusnotch/core/dispatch_gate.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

namespace hibiscusnotch::core {

/// @brief Chooses the least expected wait, using local and peers' load.
struct LeastExpectedWait
{
  Duration crossZonePenalty{ 30'000 };  ///< For upstreams in other zones.
  Duration cachedPrefixBonus{ 60'000 }; ///< For a cached prompt prefix.
  std::size_t samplesPerZone = 4;       ///< Upstreams compared per zone.
};

/// @brief Baseline policy: each upstream in turn.
struct RoundRobin
{
  uint64_t next = 0;
};

/// @brief Baseline policy: fewest running requests in the lagged load reports.
struct LeastConnections
{};

using BalancePolicy =
  std::variant<LeastExpectedWait, RoundRobin, LeastConnections>;

/// @brief The properties of an attempt that decide its upstream.
struct Placement
{
  OrganisationId organisation;
  VersionId version;
  uint64_t prefix = 0;
  UpstreamId avoidUpstream;       ///< Where the previous attempt failed.
  uint64_t poisonFingerprint = 0; ///< Of a suspected poison request; 0: none.
};

/// @brief Chooses upstreams and remembers which ones have prompt prefixes
/// cached.
class Balancer
{
public:
  Balancer(InstanceId aSelf, BalancePolicy aPolicy, uint64_t aSeed);

  /// @brief The best upstream by the policy among those that the dispatch gate
  /// allows; without one, aLastReason says why.
  std::optional<UpstreamId> Pick(const DispatchContext& aContext,
                                 const Placement& aPlacement,
                                 Reason& aLastReason);

private:
  friend struct PickVisitor;

  InstanceId self_;
  BalancePolicy policy_;
  std::mt19937_64 random_;
  std::unordered_map<uint64_t, UpstreamId> upstreamByPrefix_;
};

} // namespace hibiscusnotch::core
