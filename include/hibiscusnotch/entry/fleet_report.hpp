/// @file
/// @brief The report that instances exchange as a datagram.
#pragma once

#include "hibiscusnotch/entry/load_aggregator.hpp"
#include "hibiscusnotch/entry/rollout_aggregator.hpp"
#include "hibiscusnotch/entry/speed_aggregator.hpp"
#include "hibiscusnotch/routing/crash_evidence.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::entry {

enum class ReportKind : uint8_t
{
  Local = 1,              ///< The sender's own report to its zone's aggregator.
  AggregateForMember = 2, ///< Totals of all others, for a member.
  ZoneTotal = 3, ///< A zone's totals for the aggregators of other zones.
};

struct FleetReport
{
  ReportKind kind = ReportKind::Local;
  std::string sender; ///< Instance name.
  std::string zone;   ///< The sender's zone.
  LoadTable load;
  RolloutReport rollouts; ///< Counts are rounded to hundredths.
  std::vector<routing::TraitReport> crashes; ///< Ages in whole milliseconds.
  std::vector<LimitReport> limits; ///< Rounded to thousandths, milliseconds.
  /// @brief Rounded to milliseconds. An upstream that is not among them is
  /// unknown to the sender, or has its turn in another report.
  std::vector<SpeedReport> speeds = {};
};

/// @brief Encodes the report as a CBOR array. Limits that would make it larger
/// than one packet are left out: an instance also learns them from the upstream
/// itself. The same holds for speeds.
std::string
EncodeFleetReport(const FleetReport& aReport);

/// @brief Decodes a report; returns nothing and sets the reason if malformed.
std::optional<FleetReport>
DecodeFleetReport(std::string_view aBytes, std::string& aLastReason);

} // namespace hibiscusnotch::entry
