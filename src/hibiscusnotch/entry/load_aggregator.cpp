#include "hibiscusnotch/entry/load_aggregator.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

uint32_t
UpstreamHash(std::string_view aName)
{
  return static_cast<uint32_t>(core::StableHash(aName));
}

LoadTable
LocalLoad(const FleetState& aFleet)
{
  LoadTable load;
  for (const auto& [id, upstream] : aFleet.upstreams.Rows()) {
    if (upstream.inFlight > 0 && !upstream.removed) {
      load[UpstreamHash(upstream.entry.name)] = {
        upstream.inFlight, static_cast<uint32_t>(upstream.pendingTokens)
      };
    }
  }
  return load;
}

void
LoadAggregator::SetReport(std::string_view aSender,
                          const LoadTable& aLoad,
                          TimePoint aNow)
{
  std::erase_if(reports_, [aNow](const auto& aReport) {
    return aNow - aReport.second.at > kMaxReportAge;
  });
  reports_[std::string(aSender)] = { aLoad, aNow };
}

LoadTable
LoadAggregator::TotalExcluding(std::string_view aReceiver, TimePoint aNow) const
{
  LoadTable total;
  for (const auto& [sender, report] : reports_) {
    if (sender == aReceiver || aNow - report.at > kMaxReportAge) {
      continue;
    }
    for (const auto& [upstream, load] : report.load) {
      total[upstream].requests += load.requests;
      total[upstream].promptTokens += load.promptTokens;
    }
  }
  return total;
}

void
ApplyPeerLoad(const LoadTable& aTotal, FleetState& aFleet, TimePoint aNow)
{
  std::vector<core::UpstreamId> ids;
  for (const auto& [id, upstream] : aFleet.upstreams.Rows()) {
    ids.push_back(id);
  }
  for (const core::UpstreamId id : ids) {
    const auto load =
      aTotal.find(UpstreamHash(aFleet.upstreams.Find(id)->entry.name));
    const UpstreamLoad none;
    const UpstreamLoad& peers = load == aTotal.end() ? none : load->second;
    aFleet.upstreams.RecordPeerLoad(
      id, peers.requests, peers.promptTokens, aNow);
  }
}

std::vector<std::string>
AggregatorRanking(const FleetState& aFleet, std::string_view aZone)
{
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const auto& [name, instance] : aFleet.instances) {
    if (instance.zone == aZone) {
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
