#include "hibiscusnotch/entry/evidence_exchange.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

// The sums stand in one row of a roll-out's peers, which each sum replaces.
constexpr std::string_view kOthers = "others";

} // namespace

void
Merge(RolloutNews& aSum, const RolloutNews& aPart)
{
  aSum.pinnedSessions.insert(aPart.pinnedSessions.begin(),
                             aPart.pinnedSessions.end());
  for (const auto& [service, part] : aPart.evidence) {
    routing::RolloutEvidence& sum = aSum.evidence[service];
    if (sum.creationRevision > part.creationRevision) {
      continue;
    }
    if (sum.creationRevision < part.creationRevision) {
      sum = part;
      continue;
    }
    sum.age = std::max(sum.age, part.age);
    sum.canaryShare = std::min(sum.canaryShare, part.canaryShare);
    routing::AddCounts(sum.target, part.target);
    routing::AddCounts(sum.baseline, part.baseline);
  }
}

void
RolloutHub::Take(Reports& aReports,
                 std::string_view aSender,
                 RolloutNews aNews,
                 TimePoint aNow)
{
  std::erase_if(aReports, [aNow](const auto& aRow) {
    return aNow - aRow.second.at > kReportAge;
  });
  aReports[std::string(aSender)] = { std::move(aNews), aNow };
}

void
RolloutHub::TakeMember(std::string_view aInstance,
                       RolloutNews aNews,
                       TimePoint aNow)
{
  Take(members_, aInstance, std::move(aNews), aNow);
}

void
RolloutHub::TakeZone(std::string_view aZone, RolloutNews aNews, TimePoint aNow)
{
  Take(zones_, aZone, std::move(aNews), aNow);
}

void
RolloutHub::AddAll(const Reports& aReports,
                   std::string_view aExcept,
                   TimePoint aNow,
                   RolloutNews& aSum)
{
  for (const auto& [sender, report] : aReports) {
    if (sender != aExcept && aNow - report.at <= kReportAge) {
      Merge(aSum, report.news);
    }
  }
}

RolloutNews
RolloutHub::SumOfMembers(TimePoint aNow) const
{
  RolloutNews sum;
  AddAll(members_, {}, aNow, sum);
  return sum;
}

RolloutNews
RolloutHub::SumWithout(std::string_view aInstance, TimePoint aNow) const
{
  RolloutNews sum;
  AddAll(members_, aInstance, aNow, sum);
  AddAll(zones_, {}, aNow, sum);
  return sum;
}

RolloutNews
OwnNews(FleetState& aFleet, TimePoint aNow)
{
  return { aFleet.rollouts.LocalEvidence(aNow),
           aFleet.rollouts.PinnedSessions(aNow) };
}

void
ApplyOthersNews(const RolloutNews& aOthers, FleetState& aFleet, TimePoint aNow)
{
  for (const auto& [service, evidence] : aOthers.evidence) {
    aFleet.rollouts.SetPeerEvidence(service, kOthers, evidence, aNow);
  }
  aFleet.rollouts.SetPeerPinnedSessions(aOthers.pinnedSessions);
}

} // namespace hibiscusnotch::entry
