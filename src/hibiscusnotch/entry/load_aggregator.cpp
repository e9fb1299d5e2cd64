#include "hibiscusnotch/entry/load_aggregator.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscusnotch::entry {

namespace {

void
Add(LoadTable& aTotal, const LoadTable& aLoad)
{
  for (const auto& [upstream, load] : aLoad) {
    UpstreamLoad& total = aTotal[upstream];
    total.requests += load.requests;
    total.promptTokens += load.promptTokens;
  }
}

/// Takes away what was added before.
void
Subtract(LoadTable& aTotal, const LoadTable& aLoad)
{
  for (const auto& [upstream, load] : aLoad) {
    const auto found = aTotal.find(upstream);
    if (found == aTotal.end()) {
      continue; // an idle upstream, taken out with another report
    }
    found->second.requests -= load.requests;
    found->second.promptTokens -= load.promptTokens;
    if (found->second.requests == 0 && found->second.promptTokens == 0) {
      aTotal.erase(found);
    }
  }
}

} // namespace

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
LoadAggregator::DropExpired(TimePoint aNow)
{
  if (aNow < nextExpiry_) {
    return;
  }
  nextExpiry_ = aNow + kMaxReportAge;
  for (auto next = reports_.begin(); next != reports_.end();) {
    const TimedReport& report = next->second;
    if (aNow - report.at > kMaxReportAge) {
      Subtract(total_, report.load);
      next = reports_.erase(next);
    } else {
      nextExpiry_ =
        std::min(nextExpiry_, report.at + kMaxReportAge + Duration{ 1 });
      ++next;
    }
  }
}

void
LoadAggregator::SetReport(std::string_view aSender,
                          const LoadTable& aLoad,
                          TimePoint aNow)
{
  DropExpired(aNow);
  TimedReport& report = reports_[std::string(aSender)];
  Subtract(total_, report.load);
  report = { aLoad, aNow };
  Add(total_, report.load);
  nextExpiry_ = std::min(nextExpiry_, aNow + kMaxReportAge + Duration{ 1 });
}

LoadTable
LoadAggregator::TotalExcluding(std::string_view aReceiver, TimePoint aNow)
{
  DropExpired(aNow);
  LoadTable total = total_;
  const auto own = reports_.find(aReceiver);
  if (own != reports_.end()) {
    Subtract(total, own->second.load);
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
    aFleet.promptCache.RecordPeerRequests(id, peers.requests, aNow);
  }
}

namespace {

enum class TieOrder
{
  Ascending,
  Descending,
};

std::vector<std::string>
RankByCapacity(const FleetState& aFleet,
               std::string_view aZone,
               TieOrder aTieOrder)
{
  struct Ranked
  {
    uint32_t capacity = 0;
    uint64_t hash = 0;
    const std::string* name = nullptr;
  };
  std::vector<Ranked> ranked;
  for (const auto& [name, instance] : aFleet.instances) {
    if (instance.zone == aZone) {
      const uint64_t hash = core::StableHash(name);
      ranked.push_back({ instance.capacity,
                         aTieOrder == TieOrder::Descending ? hash : ~hash,
                         &name });
    }
  }
  std::ranges::sort(ranked, [](const Ranked& aLeft, const Ranked& aRight) {
    return std::tie(aLeft.capacity, aLeft.hash, *aLeft.name) >
           std::tie(aRight.capacity, aRight.hash, *aRight.name);
  });
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (const Ranked& one : ranked) {
    names.push_back(*one.name);
  }
  return names;
}

} // namespace

std::vector<std::string>
MirrorRanking(const FleetState& aFleet, std::string_view aZone)
{
  return RankByCapacity(aFleet, aZone, TieOrder::Descending);
}

std::vector<std::string>
AggregatorRanking(const FleetState& aFleet, std::string_view aZone)
{
  return RankByCapacity(aFleet, aZone, TieOrder::Ascending);
}

} // namespace hibiscusnotch::entry
