#include "hibiscusnotch/entry/fleet_report.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <span>

namespace hibiscusnotch::entry {

namespace {

using nlohmann::json;

constexpr std::size_t kCrashesField = 7;
constexpr std::size_t kLimitsField = 8;
constexpr std::size_t kSpeedsField = 9;
constexpr double kRateScale = 1000; // per request a second
constexpr std::size_t kMaxPacketBytes = 1400;
constexpr std::size_t kMaxLimitBytes = 15; // of one limit's three numbers
constexpr std::size_t kMaxSpeedBytes = 15; // of one upstream's three numbers
constexpr double kSpeedScale = 1000;       // per second
// More than an upstream's responses within the sums' memory take.
constexpr double kMaxSpeedSeconds = 1e5;
constexpr int64_t kNoLimit = -1;
constexpr std::size_t kLagField = 7; // of evidence, with recent traffic
constexpr Duration kLagUnit{ 100'000 };
constexpr int64_t kMaxLag = 36'000;      // an hour
constexpr double kCountScale = 100;      // per answer
constexpr double kTrafficScale = 10;     // per request or answer
constexpr double kShareScale = 1e6;      // for the share of all sessions
constexpr uint32_t kTokensPerUnit = 256; // placement needs no finer unit
// Longer than any evidence is kept; bounds what a malformed report can say.
constexpr int64_t kMaxAgeMs = 3'600'000;

/// How far the schedule is behind the order's age. Rounded up, so that a
/// schedule that is read back is never ahead of the one that was sent.
int64_t
EncodeLag(const routing::RolloutEvidence& aEvidence)
{
  const Duration lag =
    aEvidence.age - aEvidence.progress.value_or(aEvidence.age);
  return std::max<int64_t>(0, (lag + kLagUnit - Duration{ 1 }) / kLagUnit);
}

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
                     evidence.orderedVersion,
                     EncodeLag(evidence),
                     std::lround(evidence.recent.arrivals * kTrafficScale),
                     std::lround(evidence.recent.answers * kTrafficScale) });
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
    if (row.size() > kLagField) {
      evidence.progress =
        evidence.age -
        std::clamp<int64_t>(row.at(kLagField).get<int64_t>(), 0, kMaxLag) *
          kLagUnit;
      evidence.recent = {
        static_cast<double>(row.at(kLagField + 1).get<uint64_t>()) /
          kTrafficScale,
        static_cast<double>(row.at(kLagField + 2).get<uint64_t>()) /
          kTrafficScale
      };
    }
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

int64_t
EncodeAge(Duration aAge)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
}

Duration
DecodeAge(const json& aAge)
{
  return std::chrono::milliseconds(
    std::clamp(aAge.get<int64_t>(), int64_t{ 0 }, kMaxAgeMs));
}

json
EncodeCrashes(std::span<const routing::TraitReport> aReports)
{
  json rows = json::array();
  for (const routing::TraitReport& report : aReports) {
    json crashes = json::array();
    for (const auto& [incarnation, crash] : report.crashes) {
      crashes.push_back(incarnation);
      crashes.push_back(EncodeAge(crash.age));
      crashes.push_back(crash.isRepeated);
    }
    rows.push_back({ report.trait.hash,
                     report.trait.specificity,
                     report.sinceCompletion
                       ? json(EncodeAge(*report.sinceCompletion))
                       : json(),
                     crashes });
  }
  return rows;
}

std::vector<routing::TraitReport>
DecodeCrashes(const json& aRows)
{
  std::vector<routing::TraitReport> reports;
  for (const json& row : aRows) {
    routing::TraitReport& report = reports.emplace_back();
    report.trait = { row.at(0).get<uint64_t>(), row.at(1).get<uint32_t>() };
    if (!row.at(2).is_null()) {
      report.sinceCompletion = DecodeAge(row.at(2));
    }
    const json& crashes = row.at(3);
    for (std::size_t at = 0; at < crashes.size(); at += 3) {
      report.crashes[crashes.at(at).get<uint32_t>()] = {
        DecodeAge(crashes.at(at + 1)), crashes.at(at + 2).get<bool>()
      };
    }
  }
  return reports;
}

/// A flat array with three numbers per upstream: incarnation, rate, age.
json
EncodeLimits(std::span<const LimitReport> aReports)
{
  json numbers = json::array();
  for (const LimitReport& report : aReports) {
    numbers.push_back(report.incarnation);
    numbers.push_back(report.perSecond
                        ? std::llround(*report.perSecond * kRateScale)
                        : kNoLimit);
    numbers.push_back(EncodeAge(report.age));
  }
  return numbers;
}

std::vector<LimitReport>
DecodeLimits(const json& aNumbers)
{
  std::vector<LimitReport> reports;
  for (std::size_t at = 0; at < aNumbers.size(); at += 3) {
    LimitReport& report = reports.emplace_back();
    report.incarnation = aNumbers.at(at).get<uint32_t>();
    const auto rate = aNumbers.at(at + 1).get<int64_t>();
    if (rate >= 0) {
      report.perSecond = static_cast<double>(rate) / kRateScale;
    }
    report.age = DecodeAge(aNumbers.at(at + 2));
  }
  return reports;
}

/// A flat array with three numbers per upstream: incarnation, observed and
/// expected time.
json
EncodeSpeeds(std::span<const SpeedReport> aReports)
{
  const auto encode = [](double aSeconds) {
    return static_cast<uint32_t>(
      std::llround(std::clamp(aSeconds, 0.0, kMaxSpeedSeconds) * kSpeedScale));
  };
  json numbers = json::array();
  for (const SpeedReport& report : aReports) {
    numbers.push_back(report.incarnation);
    numbers.push_back(encode(report.observed));
    numbers.push_back(encode(report.expected));
  }
  return numbers;
}

std::vector<SpeedReport>
DecodeSpeeds(const json& aNumbers)
{
  const auto decode = [](const json& aNumber) {
    return std::min(static_cast<double>(aNumber.get<uint32_t>()) / kSpeedScale,
                    kMaxSpeedSeconds);
  };
  std::vector<SpeedReport> reports;
  for (std::size_t at = 0; at < aNumbers.size(); at += 3) {
    reports.push_back({ aNumbers.at(at).get<uint32_t>(),
                        decode(aNumbers.at(at + 1)),
                        decode(aNumbers.at(at + 2)) });
  }
  return reports;
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
  json message = json::array({ static_cast<uint8_t>(aReport.kind),
                               aReport.sender,
                               aReport.zone,
                               loads,
                               EncodeEvidence(aReport.rollouts.evidence),
                               aReport.rollouts.pinnedSessions,
                               json::array(), // read by former builds
                               EncodeCrashes(aReport.crashes),
                               json::array() });
  std::string bytes;
  json::to_cbor(message, bytes);
  const std::size_t room =
    bytes.size() < kMaxPacketBytes ? kMaxPacketBytes - bytes.size() : 0;
  const std::size_t count =
    std::min(aReport.limits.size(), room / kMaxLimitBytes);
  if (count > 0) {
    message[kLimitsField] =
      EncodeLimits(std::span(aReport.limits).first(count));
    bytes.clear();
    json::to_cbor(message, bytes);
  }
  const std::size_t speeds =
    std::min(aReport.speeds.size(),
             (kMaxPacketBytes - std::min(kMaxPacketBytes, bytes.size())) /
               kMaxSpeedBytes);
  if (speeds > 0) {
    message.push_back(EncodeSpeeds(std::span(aReport.speeds).first(speeds)));
    bytes.clear();
    json::to_cbor(message, bytes);
  }
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
    if (message.size() > kCrashesField) { // former builds do not send it
      report.crashes = DecodeCrashes(message.at(kCrashesField));
    }
    if (message.size() > kLimitsField) {
      report.limits = DecodeLimits(message.at(kLimitsField));
    }
    if (message.size() > kSpeedsField) {
      report.speeds = DecodeSpeeds(message.at(kSpeedsField));
    }
    return report;
  } catch (const json::exception& aError) {
    aLastReason = aError.what();
    return std::nullopt;
  }
}

} // namespace hibiscusnotch::entry
