#include "hibiscusnotch/entry/rollout_aggregator.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

// The total is stored as the evidence of one peer, which each new total
// replaces.
constexpr std::string_view kAggregatePeer = "others";

/// True if the first evidence belongs to a later order than the second.
bool
IsNewerOrder(const routing::RolloutEvidence& aFirst,
             const routing::RolloutEvidence& aSecond)
{
  if (aFirst.creationRevision != aSecond.creationRevision) {
    return aFirst.creationRevision > aSecond.creationRevision;
  }
  // An order that was replaced in place has been known for longer.
  return aFirst.orderedVersion != aSecond.orderedVersion &&
         aFirst.age < aSecond.age;
}

} // namespace

void
Merge(RolloutReport& aTotal, const RolloutReport& aAddend)
{
  aTotal.pinnedSessions.insert(aAddend.pinnedSessions.begin(),
                               aAddend.pinnedSessions.end());
  for (const auto& [service, addend] : aAddend.evidence) {
    routing::RolloutEvidence& total = aTotal.evidence[service];
    if (IsNewerOrder(total, addend)) {
      continue;
    }
    if (IsNewerOrder(addend, total)) {
      total = addend;
      continue;
    }
    total.progress = std::max(total.progress.value_or(total.age),
                              addend.progress.value_or(addend.age));
    total.age = std::max(total.age, addend.age);
    total.recent.arrivals += addend.recent.arrivals;
    total.recent.answers += addend.recent.answers;
    total.canaryShare = std::min(total.canaryShare, addend.canaryShare);
    routing::AddCounts(total.target, addend.target);
    routing::AddCounts(total.baseline, addend.baseline);
  }
}

void
RolloutAggregator::SetReport(Reports& aReports,
                             std::string_view aSender,
                             RolloutReport aReport,
                             TimePoint aNow)
{
  std::erase_if(aReports, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.at > kMaxReportAge;
  });
  aReports[std::string(aSender)] = { std::move(aReport), aNow };
}

void
RolloutAggregator::SetMemberReport(std::string_view aInstance,
                                   RolloutReport aReport,
                                   TimePoint aNow)
{
  SetReport(members_, aInstance, std::move(aReport), aNow);
}

void
RolloutAggregator::SetZoneReport(std::string_view aZone,
                                 RolloutReport aReport,
                                 TimePoint aNow)
{
  SetReport(zones_, aZone, std::move(aReport), aNow);
}

void
RolloutAggregator::AddReports(const Reports& aReports,
                              std::string_view aExcept,
                              TimePoint aNow,
                              RolloutReport& aTotal)
{
  for (const auto& [sender, report] : aReports) {
    if (sender != aExcept && aNow - report.at <= kMaxReportAge) {
      Merge(aTotal, report.content);
    }
  }
}

RolloutReport
RolloutAggregator::TotalOfMembers(TimePoint aNow) const
{
  RolloutReport total;
  AddReports(members_, {}, aNow, total);
  return total;
}

RolloutReport
RolloutAggregator::TotalExcluding(std::string_view aInstance,
                                  TimePoint aNow) const
{
  RolloutReport total;
  AddReports(members_, aInstance, aNow, total);
  AddReports(zones_, {}, aNow, total);
  return total;
}

RolloutReport
LocalRolloutReport(FleetState& aFleet, TimePoint aNow)
{
  return { aFleet.rollouts.LocalEvidence(aNow),
           aFleet.rollouts.PinnedSessions(aNow) };
}

void
ApplyRolloutReport(const RolloutReport& aTotal,
                   FleetState& aFleet,
                   TimePoint aNow)
{
  for (const auto& [service, evidence] : aTotal.evidence) {
    aFleet.rollouts.SetPeerEvidence(service, kAggregatePeer, evidence, aNow);
  }
  aFleet.rollouts.SetPeerPinnedSessions(aTotal.pinnedSessions);
}

} // namespace hibiscusnotch::entry
