#include "hibiscusnotch/entry/fleet_state.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

// Part of the operators' slack that is handed out: instances that restart get
// their share again.
constexpr double kExposureSlackUse = 0.6;
// Longer than a few lost reports; an upstream that is in use states its limit
// more often.
constexpr Duration kLimitReportLifetime{ 5'000'000 };
// About 0.2 KB; upstreams that state theirs later come first in later reports.
constexpr std::size_t kMaxReportedLimits = 16;

} // namespace

void
AddInstance(FleetState& aFleet,
            const std::string& aName,
            const InstanceInfo& aInstance)
{
  aFleet.departed.erase(aName);
  aFleet.instances[aName] = aInstance;
  ++aFleet.membership;
}

void
RemoveInstance(FleetState& aFleet, const std::string& aName, TimePoint aNow)
{
  const auto instance = aFleet.instances.extract(aName);
  if (!instance.empty()) {
    aFleet.departed[aName] = { instance.mapped().zone, aNow };
    ++aFleet.membership;
  }
}

void
UpdateShares(FleetState& aFleet, TimePoint aNow)
{
  const auto freed = std::erase_if(aFleet.departed, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.removedAt >= kShareHandover;
  });
  const bool acquired =
    aNow >= aFleet.sharesFrom && aFleet.sharesFrom > aFleet.sharesUpdatedAt;
  aFleet.sharesUpdatedAt = aNow;
  aFleet.membership += freed > 0 || acquired ? 1 : 0;
}

std::vector<routing::Sender>
SendersTo(const FleetState& aFleet, std::string_view aZone)
{
  std::vector<routing::Sender> senders;
  senders.reserve(aFleet.instances.size() + aFleet.departed.size());
  for (const auto& [name, instance] : aFleet.instances) {
    senders.push_back({ name, instance.zone == aZone });
  }
  for (const auto& [name, departed] : aFleet.departed) {
    senders.push_back({ name, departed.zone == aZone });
  }
  return senders;
}

void
ShareRequestLimits(std::string_view aSelf, FleetState& aFleet, TimePoint aNow)
{
  std::map<std::string_view, std::vector<routing::Sender>> sendersByZone;
  for (const auto& [id, upstream] : aFleet.upstreams.Rows()) {
    if (!upstream.requestLimit) {
      continue;
    }
    const std::string_view zone = upstream.entry.zone;
    auto senders = sendersByZone.find(zone);
    if (senders == sendersByZone.end()) {
      senders = sendersByZone.emplace(zone, SendersTo(aFleet, zone)).first;
    }
    aFleet.upstreams.SetSendRate(
      id,
      aNow < aFleet.sharesFrom
        ? 0
        : routing::RequestLimitShare(*upstream.requestLimit,
                                     upstream.entry.name,
                                     aSelf,
                                     senders->second),
      aNow);
  }
}

uint32_t
IncarnationHash(const routing::UpstreamEntry& aEntry)
{
  return static_cast<uint32_t>(core::MixHash(
    core::StableHash(aEntry.name), static_cast<uint64_t>(aEntry.incarnation)));
}

std::vector<LimitReport>
LimitReports(const FleetState& aFleet,
             std::initializer_list<routing::LimitSource> aSources,
             TimePoint aNow)
{
  std::vector<LimitReport> reports;
  for (const auto& [id, upstream] : aFleet.upstreams.Rows()) {
    const Duration age = aNow - upstream.limitStatedAt;
    if (!upstream.removed && upstream.limitStatedAt != TimePoint{} &&
        age <= kLimitReportLifetime &&
        std::ranges::find(aSources, upstream.limitSource) != aSources.end()) {
      reports.push_back(
        { IncarnationHash(upstream.entry), upstream.requestLimit, age });
    }
  }
  std::ranges::sort(reports, {}, &LimitReport::age);
  reports.resize(std::min(reports.size(), kMaxReportedLimits));
  return reports;
}

void
MergeLimits(const std::vector<LimitReport>& aReports,
            FleetState& aFleet,
            EventLog& aLog,
            TimePoint aNow)
{
  if (aReports.empty()) {
    return;
  }
  std::map<uint32_t, const LimitReport*> byIncarnation;
  for (const LimitReport& report : aReports) {
    byIncarnation.emplace(report.incarnation, &report);
  }
  for (const auto& [id, upstream] : aFleet.upstreams.Rows()) {
    const auto found = byIncarnation.find(IncarnationHash(upstream.entry));
    if (found != byIncarnation.end() &&
        aFleet.upstreams.RecordRequestLimit(id,
                                            found->second->perSecond,
                                            aNow - found->second->age,
                                            routing::LimitSource::Peer)) {
      LogLimit(upstream, "peer", aLog);
    }
  }
}

void
LogLimit(const routing::Upstream& aUpstream,
         std::string_view aSource,
         EventLog& aLog)
{
  aLog.Write(
    core::EventNumber::UpstreamLimit,
    "upstream=" + aUpstream.entry.name + " per_second=" +
      (aUpstream.requestLimit ? FormatRate(*aUpstream.requestLimit) : "none") +
      " learnt_from=" + std::string(aSource));
}

bool
OwnsTrials(const FleetState& aFleet, std::string_view aSelf, uint64_t aTrait)
{
  const auto weight = [aTrait](std::string_view aName) {
    return core::MixHash(aTrait, core::StableHash(aName));
  };
  const uint64_t own = weight(aSelf);
  return std::ranges::none_of(aFleet.instances, [&](const auto& aInstance) {
    return aInstance.first != aSelf && weight(aInstance.first) > own;
  });
}

void
LogQuarantineChanges(routing::CrashEvidence& aEvidence, EventLog& aLog)
{
  for (const routing::QuarantineChange& change : aEvidence.TakeChanges()) {
    const bool whole =
      change.trait.specificity == routing::RequestTrait::kWholeRequest;
    aLog.Write(core::EventNumber::RequestQuarantined,
               std::string(whole ? "request=" : "prompt_part=") +
                 FormatHash(change.trait.hash) +
                 " refused=" + (change.quarantined ? "yes" : "no") +
                 " crashes=" + std::to_string(change.crashes));
  }
}

void
ApplyRolloutOrder(const routing::RolloutOrder& aOrder,
                  std::string_view aSelf,
                  FleetState& aFleet,
                  TimePoint aNow)
{
  const double slack = routing::ColdStartShare(
    kExposureSlackUse * aFleet.rollouts.Options().maxExposureSlack,
    aOrder.service + '/' + aOrder.target,
    aSelf,
    SendersTo(aFleet, {}));
  aFleet.rollouts.Apply(aOrder, aNow, { aFleet.InstanceCount(), slack });
}

} // namespace hibiscusnotch::entry
