/// @file
/// @brief Chooses the upstream for one attempt.
#pragma once

#include "hibiscusnotch/core/dispatch_gate.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

namespace hibiscusnotch::core {

/// @brief Least expected wait from own and peers' counts.
struct LeastExpectedWait
{
  Duration zonePrice{ 30'000 };  ///< What another zone has to be better by.
  Duration prefixGain{ 60'000 }; ///< What a cached prefix saves.
  std::size_t samples = 4;       ///< Upstreams compared in each zone.
};

/// @brief Baseline: each upstream in turn.
struct RoundRobin
{
  uint64_t next = 0;
};

/// @brief Baseline: least running requests by the lagged reports.
struct LeastConnections
{};

using BalancePolicy =
  std::variant<LeastExpectedWait, RoundRobin, LeastConnections>;

/// @brief What is to be placed.
struct Placement
{
  OrganisationId organisation;
  VersionId version;
  uint64_t prefix = 0;
  UpstreamId avoid;     ///< Where the last try failed.
  uint64_t suspect = 0; ///< Fingerprint of one that lost an upstream; 0: none.
};

/// @brief Remembers prefixes and picks upstreams.
class Balancer
{
public:
  Balancer(InstanceId aSelf, BalancePolicy aPolicy, uint64_t aSeed);

  /// @brief The upstream that passes the gate and promises most; if none
  /// passes, the last reason says why.
  std::optional<UpstreamId> Pick(const DispatchCheck& aCheck,
                                 const Placement& aPlacement,
                                 Reason& aLastReason);

private:
  friend struct PickVisitor;

  InstanceId self_;
  BalancePolicy policy_;
  std::mt19937_64 random_;
  std::unordered_map<uint64_t, UpstreamId> prefixes_;
};

} // namespace hibiscusnotch::core
