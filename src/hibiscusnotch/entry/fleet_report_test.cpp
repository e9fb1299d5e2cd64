#include "hibiscusnotch/entry/fleet_report.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::entry;
using hibiscusnotch::routing::AnswerCounts;
using hibiscusnotch::routing::RolloutEvidence;

namespace {

RolloutEvidence
MakeEvidence(std::size_t aRoutes)
{
  RolloutEvidence evidence;
  evidence.creationRevision = 5;
  evidence.orderedVersion = "v2";
  evidence.age = Duration{ 1'234'567 };
  evidence.canaryShare = 0.0075;
  for (std::size_t route = 0; route < aRoutes; ++route) {
    const std::string name = "route-" + std::to_string(route);
    evidence.target[name] = { 12.34, 1.5 };
    evidence.baseline[name] = { 99.99, 0 };
  }
  return evidence;
}

FleetReport
MakeReport()
{
  FleetReport report;
  report.kind = ReportKind::AggregateForMember;
  report.sender = "hub";
  report.zone = "east";
  report.load = { { 7, { 2, 300 } }, { 8, { 1, 0 } } };
  report.rollouts = { { { "engine", MakeEvidence(2) } }, { 0xfedcba98, 5 } };
  report.losses = { { 0xfedcba9876543210, 2 } };
  return report;
}

} // namespace

TEST_CASE("a report survives encoding and decoding")
{
  std::string reason;
  const auto read = DecodeFleetReport(EncodeFleetReport(MakeReport()), reason);
  REQUIRE(read);
  CHECK(read->kind == ReportKind::AggregateForMember);
  CHECK(read->sender == "hub");
  CHECK(read->zone == "east");
  CHECK(read->load.at(7).requests == 2);
  // Token counts are rounded up; zero stays zero.
  CHECK(read->load.at(7).promptTokens >= 300);
  CHECK(read->load.at(7).promptTokens < 600);
  CHECK(read->load.at(8).promptTokens == 0);
  CHECK(read->losses.at(0xfedcba9876543210) == 2);
  const RolloutEvidence& evidence = read->rollouts.evidence.at("engine");
  CHECK(read->rollouts.pinnedSessions ==
        hibiscusnotch::routing::SessionHashes{ 5, 0xfedcba98 });
  CHECK(evidence.creationRevision == 5);
  CHECK(evidence.orderedVersion == "v2");
  CHECK(evidence.canaryShare == doctest::Approx(0.0075));
  CHECK(evidence.age == Duration{ 1'234'567 });
  CHECK(evidence.target.at("route-1").good == doctest::Approx(12.34));
  CHECK(evidence.target.at("route-1").bad == doctest::Approx(1.5));
  CHECK(evidence.baseline.at("route-0").good == doctest::Approx(99.99));
}

TEST_CASE("malformed bytes are rejected with a reason")
{
  const std::string bytes = EncodeFleetReport(MakeReport());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    std::string reason;
    CHECK_FALSE(DecodeFleetReport(bytes.substr(0, cut), reason));
    CHECK_FALSE(reason.empty());
  }
  FleetReport unknown = MakeReport();
  unknown.kind = static_cast<ReportKind>(9);
  std::string reason;
  CHECK_FALSE(DecodeFleetReport(EncodeFleetReport(unknown), reason));
  CHECK_FALSE(reason.empty());
}

TEST_CASE("only quarantined requests are reported, as many as fit")
{
  hibiscusnotch::core::Quarantine quarantine;
  quarantine.CountLoss(8);
  CHECK(QuarantinedLosses(quarantine).empty());
  for (uint64_t fingerprint = 100; fingerprint < 200; ++fingerprint) {
    quarantine.CountLoss(fingerprint);
    quarantine.CountLoss(fingerprint);
  }
  const UpstreamLossCounts losses = QuarantinedLosses(quarantine);
  CHECK(losses.size() >= 30);
  CHECK(losses.size() < 100);
  CHECK_FALSE(losses.contains(8));
}

TEST_CASE("reports in a zone of 75 instances fit the control traffic budget")
{
  // Two roll-outs are unfinished, and the zone has 120 upstreams.
  LoadTable load;
  for (uint32_t upstream = 0; upstream < 120; ++upstream) {
    load[upstream * 35'000'000U] = { 3, 12'000 };
  }
  const EvidenceByService evidence = { { "engine", MakeEvidence(5) },
                                       { "orders", MakeEvidence(2) } };
  // 370 instances serve 2,600 requests per second and 15,000 sessions; the
  // canary share is 0.004.
  hibiscusnotch::routing::SessionHashes pinned;
  for (uint32_t session = 0; session < 60; ++session) {
    pinned.insert(session * 100'000'000U);
  }
  constexpr double kControlBytesPerSecond = 3000; // per instance
  constexpr double kReportPeriodSeconds = 0.6;    // with 120 upstreams
  const std::string memberReport =
    EncodeFleetReport({ ReportKind::AggregateForMember,
                        "front-macon-100",
                        "macon",
                        load,
                        { evidence, pinned },
                        {} });
  const std::string localReport = EncodeFleetReport({ ReportKind::Local,
                                                      "front-macon-100",
                                                      "macon",
                                                      { { 1, { 1, 9000 } } },
                                                      {},
                                                      {} });
  // The rest of the budget is for mirrors.
  CHECK(memberReport.size() / kReportPeriodSeconds <
        kControlBytesPerSecond * 0.85);
  CHECK(localReport.size() / kReportPeriodSeconds <
        kControlBytesPerSecond * 0.1);
}
