/// @file
/// @brief The report that instances exchange as a datagram.
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
  Local = 1,              ///< The sender's own report to its zone's aggregator.
  AggregateForMember = 2, ///< Totals of all others, for a member.
  ZoneTotal = 3, ///< A zone's totals for the aggregators of other zones.
};

/// @brief Number of upstreams that a request has crashed, by its fingerprint.
using UpstreamLossCounts = std::map<uint64_t, uint32_t>;

struct FleetReport
{
  ReportKind kind = ReportKind::Local;
  std::string sender; ///< Instance name.
  std::string zone;   ///< The sender's zone.
  LoadTable load;
  RolloutReport rollouts;    ///< Counts are rounded to hundredths.
  UpstreamLossCounts losses; ///< Of quarantined requests only.
};

/// @brief Encodes the report as a CBOR array.
std::string
EncodeFleetReport(const FleetReport& aReport);

/// @brief Decodes a report; returns nothing and sets the reason if malformed.
std::optional<FleetReport>
DecodeFleetReport(std::string_view aBytes, std::string& aLastReason);

/// @brief Quarantined requests, as many as fit into one datagram.
UpstreamLossCounts
QuarantinedLosses(const core::Quarantine& aQuarantine);

} // namespace hibiscusnotch::entry
