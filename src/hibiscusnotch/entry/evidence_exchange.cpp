#include "hibiscusnotch/entry/evidence_exchange.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

// The sums stand in one row of a roll-out's peers, which each sum replaces.
constexpr std::string_view kOthers = "others";

void
Add(std::map<std::string, routing::AnswerCounts>& aSum,
    const std::map<std::string, routing::AnswerCounts>& aPart)
{
  for (const auto& [route, counts] : aPart) {
    aSum[route].good += counts.good;
    aSum[route].bad += counts.bad;
  }
}

} // namespace

void
Merge(EvidenceTable& aSum, const EvidenceTable& aPart)
{
  for (const auto& [service, part] : aPart) {
    routing::RolloutEvidence& sum = aSum[service];
    if (sum.creation > part.creation) {
      continue;
    }
    if (sum.creation < part.creation) {
      sum = part;
      continue;
    }
    sum.age = std::max(sum.age, part.age);
    Add(sum.target, part.target);
    Add(sum.others, part.others);
  }
}

void
EvidenceHub::Take(Reports& aReports,
                  std::string_view aSender,
                  EvidenceTable aEvidence,
                  TimePoint aNow)
{
  std::erase_if(aReports, [aNow](const auto& aRow) {
    return aNow - aRow.second.at > kReportAge;
  });
  aReports[std::string(aSender)] = { std::move(aEvidence), aNow };
}

void
EvidenceHub::TakeMember(std::string_view aInstance,
                        EvidenceTable aEvidence,
                        TimePoint aNow)
{
  Take(members_, aInstance, std::move(aEvidence), aNow);
}

void
EvidenceHub::TakeZone(std::string_view aZone,
                      EvidenceTable aEvidence,
                      TimePoint aNow)
{
  Take(zones_, aZone, std::move(aEvidence), aNow);
}

void
EvidenceHub::AddAll(const Reports& aReports,
                    std::string_view aExcept,
                    TimePoint aNow,
                    EvidenceTable& aSum)
{
  for (const auto& [sender, report] : aReports) {
    if (sender != aExcept && aNow - report.at <= kReportAge) {
      Merge(aSum, report.evidence);
    }
  }
}

EvidenceTable
EvidenceHub::SumOfMembers(TimePoint aNow) const
{
  EvidenceTable sum;
  AddAll(members_, {}, aNow, sum);
  return sum;
}

EvidenceTable
EvidenceHub::SumWithout(std::string_view aInstance, TimePoint aNow) const
{
  EvidenceTable sum;
  AddAll(members_, aInstance, aNow, sum);
  AddAll(zones_, {}, aNow, sum);
  return sum;
}

void
ApplyOthersEvidence(const EvidenceTable& aOthers,
                    FleetState& aFleet,
                    TimePoint aNow)
{
  for (const auto& [service, evidence] : aOthers) {
    aFleet.rollouts.TakeEvidence(service, kOthers, evidence, aNow);
  }
}

} // namespace hibiscusnotch::entry
