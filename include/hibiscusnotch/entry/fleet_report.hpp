/// @file
/// @brief The datagram that instances exchange.
#pragma once

#include "hibiscusnotch/entry/evidence_exchange.hpp"
#include "hibiscusnotch/entry/load_exchange.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::entry {

enum class ReportKind : uint8_t
{
  Own = 1,      ///< What the sender itself has seen, for its zone's hub.
  Others = 2,   ///< A hub's sums without the receiver, for a member.
  ZoneSums = 3, ///< A hub's sums over its zone, for the hubs of other zones.
};

/// @brief Upstreams lost under a request, by its fingerprint.
using LossTable = std::map<uint64_t, uint32_t>;

struct FleetReport
{
  ReportKind kind = ReportKind::Own;
  std::string sender; ///< Name of the instance.
  std::string zone;   ///< Of the sender.
  WorkTable work;
  RolloutNews news; ///< Counts are kept to a hundredth.
  LossTable losses; ///< Of quarantined requests only.
};

/// @brief CBOR, by position.
std::string
WriteFleetReport(const FleetReport& aReport);

/// @brief Nothing, and the reason, for bytes that are no such report.
std::optional<FleetReport>
ReadFleetReport(std::string_view aBytes, std::string& aLastReason);

/// @brief The quarantined requests that fit into one datagram.
LossTable
HeldLosses(const core::Quarantine& aQuarantine);

} // namespace hibiscusnotch::entry
