#include "hibiscusnotch/entry/fleet_report.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::entry {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxLossEntries = 32; // keeps a report in one packet
constexpr double kCountScale = 100;         // per answer
constexpr double kShareScale = 1e6;         // for the share of all sessions
constexpr uint32_t kTokensPerUnit = 256;    // placement needs no finer unit

json
EncodeCounts(const routing::RouteCounts& aCounts)
{
  json rows = json::array();
  for (const auto& [route, counts] : aCounts) {
    rows.push_back({ route,
                     std::lround(counts.good * kCountScale),
                     std::lround(counts.bad * kCountScale) });
  }
  return rows;
}

routing::RouteCounts
DecodeCounts(const json& aRows)
{
  routing::RouteCounts counts;
  for (const json& row : aRows) {
    counts[row.at(0).get<std::string>()] = {
      static_cast<double>(row.at(1).get<uint64_t>()) / kCountScale,
      static_cast<double>(row.at(2).get<uint64_t>()) / kCountScale
    };
  }
  return counts;
}

json
EncodeEvidence(const EvidenceByService& aTable)
{
  json rows = json::array();
  for (const auto& [service, evidence] : aTable) {
    rows.push_back({ service,
                     evidence.creationRevision,
                     evidence.age.count(),
                     std::lround(evidence.canaryShare * kShareScale),
                     EncodeCounts(evidence.target),
                     EncodeCounts(evidence.baseline),
                     evidence.orderedVersion });
  }
  return rows;
}

EvidenceByService
DecodeEvidence(const json& aRows)
{
  EvidenceByService table;
  for (const json& row : aRows) {
    routing::RolloutEvidence& evidence = table[row.at(0).get<std::string>()];
    evidence.creationRevision = row.at(1).get<uint64_t>();
    evidence.age = Duration{ row.at(2).get<int64_t>() };
    evidence.canaryShare = row.at(3).get<double>() / kShareScale;
    evidence.target = DecodeCounts(row.at(4));
    evidence.baseline = DecodeCounts(row.at(5));
    evidence.orderedVersion = row.at(6).get<std::string>();
  }
  return table;
}

/// A flat array with three numbers per upstream: hash, requests, token units.
LoadTable
DecodeLoad(const json& aNumbers)
{
  LoadTable load;
  for (std::size_t at = 0; at < aNumbers.size(); at += 3) {
    load[aNumbers.at(at).get<uint32_t>()] = {
      aNumbers.at(at + 1).get<uint32_t>(),
      aNumbers.at(at + 2).get<uint32_t>() * kTokensPerUnit
    };
  }
  return load;
}

ReportKind
DecodeKind(const json& aKind)
{
  const auto kind = aKind.get<uint8_t>();
  if (kind < static_cast<uint8_t>(ReportKind::Local) ||
      kind > static_cast<uint8_t>(ReportKind::ZoneTotal)) {
    throw json::other_error::create(501, "unknown report kind", &aKind);
  }
  return static_cast<ReportKind>(kind);
}

} // namespace

std::string
EncodeFleetReport(const FleetReport& aReport)
{
  json loads = json::array();
  for (const auto& [upstream, load] : aReport.load) {
    loads.push_back(upstream);
    loads.push_back(load.requests);
    loads.push_back((load.promptTokens + kTokensPerUnit - 1) / kTokensPerUnit);
  }
  json losses = json::array();
  for (const auto& [fingerprint, count] : aReport.losses) {
    losses.push_back({ fingerprint, count });
  }
  std::string bytes;
  json::to_cbor(json::array({ static_cast<uint8_t>(aReport.kind),
                              aReport.sender,
                              aReport.zone,
                              loads,
                              EncodeEvidence(aReport.rollouts.evidence),
                              aReport.rollouts.pinnedSessions,
                              losses }),
                bytes);
  return bytes;
}

std::optional<FleetReport>
DecodeFleetReport(std::string_view aBytes, std::string& aLastReason)
{
  try {
    const json message = json::from_cbor(aBytes);
    FleetReport report;
    report.kind = DecodeKind(message.at(0));
    report.sender = message.at(1).get<std::string>();
    report.zone = message.at(2).get<std::string>();
    report.load = DecodeLoad(message.at(3));
    report.rollouts.evidence = DecodeEvidence(message.at(4));
    report.rollouts.pinnedSessions =
      message.at(5).get<routing::SessionHashes>();
    for (const json& row : message.at(6)) {
      report.losses[row.at(0).get<uint64_t>()] = row.at(1).get<uint32_t>();
    }
    return report;
  } catch (const json::exception& aError) {
    aLastReason = aError.what();
    return std::nullopt;
  }
}

UpstreamLossCounts
QuarantinedLosses(const core::Quarantine& aQuarantine)
{
  UpstreamLossCounts losses;
  for (const auto& [fingerprint, count] : aQuarantine.LossCounts()) {
    if (aQuarantine.IsQuarantined(fingerprint) &&
        losses.size() < kMaxLossEntries) {
      losses.emplace(fingerprint, count);
    }
  }
  return losses;
}

} // namespace hibiscusnotch::entry
