/// @file
/// @brief The datagram that instances exchange.
#pragma once

#include "hibiscusnotch/entry/load_aggregator.hpp"
#include "hibiscusnotch/entry/rollout_aggregator.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::entry {

enum class ReportKind : uint8_t
{
  Local = 1, ///< What the sender itself has seen, for its zone's hub.
  AggregateForMember = 2, ///< A hub's sums without the receiver, for a member.
  ZoneTotal = 3, ///< A hub's sums over its zone, for the hubs of other zones.
};

/// @brief Upstreams lost under a request, by its fingerprint.
using UpstreamLossCounts = std::map<uint64_t, uint32_t>;

struct FleetReport
{
  ReportKind kind = ReportKind::Local;
  std::string sender; ///< Name of the instance.
  std::string zone;   ///< Of the sender.
  LoadTable load;
  RolloutReport rollouts;    ///< Counts are kept to a hundredth.
  UpstreamLossCounts losses; ///< Of quarantined requests only.
};

/// @brief CBOR, by position.
std::string
EncodeFleetReport(const FleetReport& aReport);

/// @brief Nothing, and the reason, for bytes that are no such report.
std::optional<FleetReport>
DecodeFleetReport(std::string_view aBytes, std::string& aLastReason);

/// @brief The quarantined requests that fit into one datagram.
UpstreamLossCounts
QuarantinedLosses(const core::Quarantine& aQuarantine);

} // namespace hibiscusnotch::entry
