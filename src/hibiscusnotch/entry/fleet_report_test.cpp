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
  evidence.progress = Duration{ 987'000 };
  evidence.recent = { 3.5, 2.1 };
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
  report.crashes = { { { 0xfedcba9876543210, 2 },
                       Duration{ 3'000'000 },
                       { { 5, { Duration{ 0 }, true } } } },
                     { { 7,
                         hibiscusnotch::routing::RequestTrait::kWholeRequest },
                       std::nullopt,
                       { { 5, { Duration{ 1'500'000 } } },
                         { 0xfedcba98, { Duration{ 2'000 } } } } } };
  report.limits = { { 0xfedcba98, 1.3, Duration{ 250'000 } },
                    { 9, std::nullopt, Duration{ 0 } } };
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
  REQUIRE(read->limits.size() == 2);
  CHECK(read->limits[0].incarnation == 0xfedcba98);
  CHECK(read->limits[0].perSecond == doctest::Approx(1.3));
  CHECK(read->limits[0].age == Duration{ 250'000 });
  CHECK_FALSE(read->limits[1].perSecond); // it has ended
  REQUIRE(read->crashes.size() == 2);
  CHECK(read->crashes[0].trait.hash == 0xfedcba9876543210);
  CHECK(read->crashes[0].trait.specificity == 2);
  CHECK(read->crashes[0].sinceCompletion == Duration{ 3'000'000 });
  CHECK(read->crashes[0].crashes.at(5).age == Duration::zero());
  CHECK(read->crashes[0].crashes.at(5).isRepeated);
  CHECK(read->crashes[1].trait.specificity ==
        hibiscusnotch::routing::RequestTrait::kWholeRequest);
  CHECK_FALSE(read->crashes[1].sinceCompletion);
  CHECK(read->crashes[1].crashes.at(5).age == Duration{ 1'500'000 });
  CHECK_FALSE(read->crashes[1].crashes.at(5).isRepeated);
  CHECK(read->crashes[1].crashes.at(0xfedcba98).age == Duration{ 2'000 });
  const RolloutEvidence& evidence = read->rollouts.evidence.at("engine");
  CHECK(read->rollouts.pinnedSessions ==
        hibiscusnotch::routing::SessionHashes{ 5, 0xfedcba98 });
  CHECK(evidence.creationRevision == 5);
  CHECK(evidence.orderedVersion == "v2");
  CHECK(evidence.canaryShare == doctest::Approx(0.0075));
  CHECK(evidence.age == Duration{ 1'234'567 });
  // In steps of 0.1 s, rounded down.
  CHECK(evidence.progress == Duration{ 934'567 });
  CHECK(evidence.recent.arrivals == doctest::Approx(3.5));
  CHECK(evidence.recent.answers == doctest::Approx(2.1));
  CHECK(evidence.target.at("route-1").good == doctest::Approx(12.34));
  CHECK(evidence.target.at("route-1").bad == doctest::Approx(1.5));
  CHECK(evidence.baseline.at("route-0").good == doctest::Approx(99.99));
}

TEST_CASE("speeds travel in an appended field that may be absent")
{
  // Guards against an absent speed being taken for a speed of zero, and against
  // a field that former builds cannot skip.
  std::string reason;
  FleetReport report = MakeReport();
  CHECK(DecodeFleetReport(EncodeFleetReport(report), reason)->speeds.empty());
  const std::string former = EncodeFleetReport(report);
  report.speeds = { { 0xfedcba98, 1.25, 1.5 }, { 9, 1e9, -1 } };
  const std::string bytes = EncodeFleetReport(report);
  const auto read = DecodeFleetReport(bytes, reason);
  REQUIRE(read);
  REQUIRE(read->speeds.size() == 2);
  CHECK(read->speeds[0].incarnation == 0xfedcba98);
  CHECK(read->speeds[0].observed == doctest::Approx(1.25));
  CHECK(read->speeds[0].expected == doctest::Approx(1.5));
  CHECK(read->speeds[1].observed <= 1e5);
  CHECK(read->speeds[1].expected == 0);
  // All that former builds read is unchanged before it.
  CHECK(bytes.substr(1, former.size() - 1) == former.substr(1));
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

TEST_CASE("a report of many crashes fits into a datagram")
{
  hibiscusnotch::routing::CrashEvidence evidence;
  hibiscusnotch::core::TimePoint now{ Duration{ 1'000'000'000 } };
  for (uint32_t crash = 0; crash < 100; ++crash) {
    now += Duration{ 400'000 };
    std::vector<hibiscusnotch::routing::LostTrait> lost;
    for (uint64_t part = 0; part < 200; ++part) {
      lost.push_back({ { UINT64_MAX - part * (1 + crash % 3), 2 }, now });
    }
    evidence.RecordCrash(UINT32_MAX - crash, lost, now);
  }
  FleetReport report;
  report.sender = "front-macon-100";
  report.zone = "macon";
  report.crashes = evidence.Report(now);
  CHECK_FALSE(report.crashes.empty());
  constexpr std::size_t kDatagramBytes = 8 * 1024;
  CHECK(EncodeFleetReport(report).size() < kDatagramBytes / 2);
}

TEST_CASE("reports of former builds are read, without crashes and limits")
{
  // Guards against a fleet that is deaf while builds are mixed.
  std::string reason;
  FleetReport former = MakeReport();
  former.crashes.clear();
  former.limits.clear();
  std::string bytes = EncodeFleetReport(former);
  // An array of nine elements, the last two empty, becomes one of eight, then
  // one of seven.
  for (const unsigned elements : { 9U, 8U }) {
    REQUIRE(static_cast<unsigned char>(bytes.front()) == 0x80 + elements);
    REQUIRE(static_cast<unsigned char>(bytes.back()) == 0x80);
    bytes.front() = static_cast<char>(0x80 + elements - 1);
    bytes.pop_back();
    const auto read = DecodeFleetReport(bytes, reason);
    REQUIRE(read);
    CHECK(read->crashes.empty());
    CHECK(read->limits.empty());
    CHECK(read->load.at(7).requests == 2);
  }
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
  std::vector<LimitReport> limits;
  for (uint32_t upstream = 0; upstream < 16; ++upstream) {
    limits.push_back({ upstream * 80'000'000U, 1.25, Duration{ 1'000'000 } });
  }
  std::vector<SpeedReport> speeds;
  for (uint32_t upstream = 0; upstream < kSpeedsPerTotal; ++upstream) {
    speeds.push_back({ UINT32_MAX - upstream, 12.345, 9.876 });
  }
  const std::vector<SpeedReport> ownSpeeds(
    speeds.begin(), speeds.begin() + kSpeedsPerLocalReport);
  constexpr double kControlBytesPerSecond = 3000; // per instance
  constexpr double kReportPeriodSeconds = 0.6;    // with 120 upstreams
  const std::string memberReport =
    EncodeFleetReport({ ReportKind::AggregateForMember,
                        "front-macon-100",
                        "macon",
                        load,
                        { evidence, pinned },
                        {},
                        limits,
                        speeds });
  const std::string localReport = EncodeFleetReport({ ReportKind::Local,
                                                      "front-macon-100",
                                                      "macon",
                                                      { { 1, { 1, 9000 } } },
                                                      {},
                                                      {},
                                                      { limits.front() },
                                                      ownSpeeds });
  // The rest of the budget is for mirrors.
  CHECK(memberReport.size() / kReportPeriodSeconds <
        kControlBytesPerSecond * 0.85);
  CHECK(localReport.size() / kReportPeriodSeconds <
        kControlBytesPerSecond * 0.1);
}
