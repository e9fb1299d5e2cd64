#include "hibiscusnotch/entry/fleet_report.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::entry {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxFingerprints = 32; // keeps a message in one packet
constexpr double kCountUnits = 100;          // of one answer
constexpr double kShareUnits = 1e6;          // of all sessions
constexpr uint32_t kTokenUnit = 256; // what placement tells apart is coarser

json
WriteCounts(const routing::RouteCounts& aCounts)
{
  json rows = json::array();
  for (const auto& [route, counts] : aCounts) {
    rows.push_back({ route,
                     std::lround(counts.good * kCountUnits),
                     std::lround(counts.bad * kCountUnits) });
  }
  return rows;
}

routing::RouteCounts
ReadCounts(const json& aRows)
{
  routing::RouteCounts counts;
  for (const json& row : aRows) {
    counts[row.at(0).get<std::string>()] = {
      static_cast<double>(row.at(1).get<uint64_t>()) / kCountUnits,
      static_cast<double>(row.at(2).get<uint64_t>()) / kCountUnits
    };
  }
  return counts;
}

json
WriteEvidence(const EvidenceTable& aTable)
{
  json rows = json::array();
  for (const auto& [service, evidence] : aTable) {
    rows.push_back({ service,
                     evidence.creationRevision,
                     evidence.age.count(),
                     std::lround(evidence.canaryShare * kShareUnits),
                     WriteCounts(evidence.target),
                     WriteCounts(evidence.baseline) });
  }
  return rows;
}

EvidenceTable
ReadEvidence(const json& aRows)
{
  EvidenceTable table;
  for (const json& row : aRows) {
    routing::RolloutEvidence& evidence = table[row.at(0).get<std::string>()];
    evidence.creationRevision = row.at(1).get<uint64_t>();
    evidence.age = Duration{ row.at(2).get<int64_t>() };
    evidence.canaryShare = row.at(3).get<double>() / kShareUnits;
    evidence.target = ReadCounts(row.at(4));
    evidence.baseline = ReadCounts(row.at(5));
  }
  return table;
}

/// Three numbers for each upstream, one after the other.
WorkTable
ReadWork(const json& aNumbers)
{
  WorkTable work;
  for (std::size_t at = 0; at < aNumbers.size(); at += 3) {
    work[aNumbers.at(at).get<uint32_t>()] = {
      aNumbers.at(at + 1).get<uint32_t>(),
      aNumbers.at(at + 2).get<uint32_t>() * kTokenUnit
    };
  }
  return work;
}

ReportKind
ReadKind(const json& aKind)
{
  const auto kind = aKind.get<uint8_t>();
  if (kind < static_cast<uint8_t>(ReportKind::Own) ||
      kind > static_cast<uint8_t>(ReportKind::ZoneSums)) {
    throw json::other_error::create(501, "unknown kind of report", &aKind);
  }
  return static_cast<ReportKind>(kind);
}

} // namespace

std::string
WriteFleetReport(const FleetReport& aReport)
{
  json work = json::array();
  for (const auto& [upstream, load] : aReport.work) {
    work.push_back(upstream);
    work.push_back(load.requests);
    work.push_back((load.promptTokens + kTokenUnit - 1) / kTokenUnit);
  }
  json losses = json::array();
  for (const auto& [fingerprint, count] : aReport.losses) {
    losses.push_back({ fingerprint, count });
  }
  std::string bytes;
  json::to_cbor(json::array({ static_cast<uint8_t>(aReport.kind),
                              aReport.sender,
                              aReport.zone,
                              work,
                              WriteEvidence(aReport.news.evidence),
                              aReport.news.pinnedSessions,
                              losses }),
                bytes);
  return bytes;
}

std::optional<FleetReport>
ReadFleetReport(std::string_view aBytes, std::string& aLastReason)
{
  try {
    const json message = json::from_cbor(aBytes);
    FleetReport report;
    report.kind = ReadKind(message.at(0));
    report.sender = message.at(1).get<std::string>();
    report.zone = message.at(2).get<std::string>();
    report.work = ReadWork(message.at(3));
    report.news.evidence = ReadEvidence(message.at(4));
    report.news.pinnedSessions = message.at(5).get<routing::SessionHashes>();
    for (const json& row : message.at(6)) {
      report.losses[row.at(0).get<uint64_t>()] = row.at(1).get<uint32_t>();
    }
    return report;
  } catch (const json::exception& aError) {
    aLastReason = aError.what();
    return std::nullopt;
  }
}

LossTable
HeldLosses(const core::Quarantine& aQuarantine)
{
  LossTable losses;
  for (const auto& [fingerprint, count] : aQuarantine.LossCounts()) {
    if (aQuarantine.IsQuarantined(fingerprint) &&
        losses.size() < kMaxFingerprints) {
      losses.emplace(fingerprint, count);
    }
  }
  return losses;
}

} // namespace hibiscusnotch::entry
