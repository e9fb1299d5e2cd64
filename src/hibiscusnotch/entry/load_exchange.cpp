#include "hibiscusnotch/entry/load_exchange.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

uint32_t
UpstreamHash(std::string_view aName)
{
  return static_cast<uint32_t>(core::StableHash(aName));
}

WorkTable
OwnWork(const FleetState& aFleet)
{
  WorkTable work;
  for (const auto& [id, row] : aFleet.upstreams.Rows()) {
    if (row.inFlight > 0 && !row.removed) {
      work[UpstreamHash(row.entry.name)] = {
        row.inFlight, static_cast<uint32_t>(row.pendingTokens)
      };
    }
  }
  return work;
}

void
LoadHub::Take(std::string_view aSender, const WorkTable& aWork, TimePoint aNow)
{
  std::erase_if(reports_, [aNow](const auto& aRow) {
    return aNow - aRow.second.at > kReportAge;
  });
  reports_[std::string(aSender)] = { aWork, aNow };
}

WorkTable
LoadHub::SumWithout(std::string_view aReceiver, TimePoint aNow) const
{
  WorkTable sum;
  for (const auto& [sender, report] : reports_) {
    if (sender == aReceiver || aNow - report.at > kReportAge) {
      continue;
    }
    for (const auto& [upstream, work] : report.work) {
      sum[upstream].requests += work.requests;
      sum[upstream].promptTokens += work.promptTokens;
    }
  }
  return sum;
}

void
ApplyOthersWork(const WorkTable& aOthers, FleetState& aFleet, TimePoint aNow)
{
  std::vector<core::UpstreamId> ids;
  for (const auto& [id, row] : aFleet.upstreams.Rows()) {
    ids.push_back(id);
  }
  for (const core::UpstreamId id : ids) {
    const auto work =
      aOthers.find(UpstreamHash(aFleet.upstreams.Find(id)->entry.name));
    const UpstreamWork none;
    const UpstreamWork& others = work == aOthers.end() ? none : work->second;
    aFleet.upstreams.RecordPeerLoad(
      id, others.requests, others.promptTokens, aNow);
  }
}

std::vector<std::string>
HubOrder(const FleetState& aFleet, std::string_view aZone)
{
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const auto& [name, row] : aFleet.instances) {
    if (row.zone == aZone) {
      ranked.emplace_back(core::StableHash(name), name);
    }
  }
  std::ranges::sort(ranked, std::greater<>());
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto& [weight, name] : ranked) {
    names.push_back(std::move(name));
  }
  return names;
}

} // namespace hibiscusnotch::entry
