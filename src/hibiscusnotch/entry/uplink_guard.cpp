#include "hibiscusnotch/entry/uplink_guard.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace hibiscusnotch::entry {

namespace {

// Upstreams that fail before a check starts. One alone may have crashed.
constexpr std::size_t kMinFailures = 2;
constexpr std::size_t kSampleSize = 6; // of each zone that is checked
// Of each zone that is not reached: a whole fleet may wait for its upstreams.
constexpr std::size_t kRecheckSampleSize = 2;
// A single success may be a connection that slipped through.
constexpr std::size_t kMinRegainedProbes = 2;
constexpr Duration kProbeTimeout{ 250'000 }; // many round trips
// Traffic usually reaches another upstream within this time.
constexpr Duration kExplainDelay{ 100'000 };
constexpr Duration kRecheckInterval{ 250'000 };

/// True if the upstream may get requests as far as its entry says.
bool
IsUsable(const routing::Upstream& aUpstream)
{
  return !aUpstream.removed && !aUpstream.entry.leaving &&
         !aUpstream.announcedLeaving;
}

} // namespace

/// Probes of one or more zones, in progress.
struct UplinkGuard::Check
{
  struct Tally
  {
    std::size_t usable = 0; ///< Upstreams of the zone.
    std::size_t probes = 0;
    std::size_t accepted = 0;
    std::size_t untried = 0; ///< For lack of descriptors of this instance.
  };

  TimePoint startedAt{};
  std::size_t open = 0;
  std::map<std::string, Tally> zones;
};

UplinkGuard::UplinkGuard(relay::Timers& aTimers,
                         relay::OutboundClient& aClient,
                         FleetState& aFleet,
                         EventLog& aLog)
  : timers_(aTimers)
  , client_(aClient)
  , fleet_(aFleet)
  , log_(aLog)
{
}

void
UplinkGuard::RecordFailure(core::UpstreamId aUpstream, TimePoint aSince)
{
  const auto name = ZoneOf(aUpstream);
  if (!name) {
    return;
  }
  Zone& zone = zones_[*name];
  if (zone.lostSince) {
    return;
  }
  zone.failed.insert(aUpstream);
  zone.failingSince = std::min(zone.failingSince.value_or(aSince), aSince);
  CheckFailures();
}

void
UplinkGuard::RecordReached(core::UpstreamId aUpstream, TimePoint aBegunAt)
{
  const auto name = ZoneOf(aUpstream);
  if (!name) {
    return;
  }
  Zone& zone = zones_[*name];
  if (zone.lostSince || (zone.failingSince && aBegunAt < *zone.failingSince)) {
    return;
  }
  zone.reachedAt = std::max(zone.reachedAt, aBegunAt);
  SetReached(*name, aBegunAt);
}

bool
UplinkGuard::IsCutOff() const
{
  bool hasUpstreams = false;
  if (!fleet_.unreachableZones.empty()) {
    for (const auto& [id, upstream] : fleet_.upstreams.Rows()) {
      if (!IsUsable(upstream)) {
        continue;
      }
      if (!fleet_.unreachableZones.contains(upstream.entry.zone)) {
        return false;
      }
      hasUpstreams = true;
    }
  }
  return hasUpstreams;
}

bool
UplinkGuard::IsUnreachable(core::UpstreamId aUpstream) const
{
  const auto zone = ZoneOf(aUpstream);
  return zone && fleet_.unreachableZones.contains(*zone);
}

void
UplinkGuard::ExplainFailure(core::UpstreamId aUpstream,
                            std::function<void(bool aUnreachable)> aReport)
{
  const auto name = ZoneOf(aUpstream);
  if (!name || fleet_.unreachableZones.contains(*name)) {
    aReport(name.has_value());
    return;
  }
  Zone& zone = zones_[*name];
  zone.pending.push_back({ timers_.Now(), std::move(aReport) });
  if (zone.pending.size() == 1) {
    ScheduleExplanation(*name);
  }
}

std::optional<std::string>
UplinkGuard::ZoneOf(core::UpstreamId aUpstream) const
{
  const routing::Upstream* upstream = fleet_.upstreams.Find(aUpstream);
  return upstream ? std::optional(upstream->entry.zone) : std::nullopt;
}

std::map<std::string, std::vector<core::UpstreamId>>
UplinkGuard::UsableUpstreams() const
{
  std::map<std::string, std::vector<core::UpstreamId>> usable;
  for (const auto& [id, upstream] : fleet_.upstreams.Rows()) {
    if (IsUsable(upstream)) {
      usable[upstream.entry.zone].push_back(id);
    }
  }
  return usable;
}

std::vector<core::UpstreamId>
UplinkGuard::Sample(Zone& aZone,
                    const std::vector<core::UpstreamId>& aUsable,
                    std::size_t aCount)
{
  std::vector<core::UpstreamId> others;
  std::ranges::copy_if(
    aUsable, std::back_inserter(others), [&aZone](core::UpstreamId aId) {
      return !aZone.failed.contains(aId);
    });
  const auto& from = others.empty() ? aUsable : others;
  std::vector<core::UpstreamId> sample;
  const std::size_t count = std::min(aCount, from.size());
  for (std::size_t index = 0; index < count; ++index) {
    sample.push_back(
      from[(aZone.sampleOffset + index * from.size() / count) % from.size()]);
  }
  ++aZone.sampleOffset;
  return sample;
}

void
UplinkGuard::CheckFailures()
{
  std::size_t failures = 0;
  std::set<std::string> doubtful;
  for (const auto& [name, zone] : zones_) {
    if (!zone.failed.empty()) {
      failures += zone.failed.size();
      doubtful.insert(name);
    }
  }
  if (failures >= kMinFailures) {
    StartCheck(doubtful);
  }
}

void
UplinkGuard::StartCheck(std::set<std::string> aZones)
{
  if (std::exchange(checking_, true)) {
    return;
  }
  const auto usable = UsableUpstreams();
  // The failure of a zone's only upstream is told from a cut by other zones.
  const bool needsOthers =
    std::ranges::any_of(aZones, [&usable](const std::string& aName) {
      const auto found = usable.find(aName);
      return found != usable.end() && found->second.size() < kMinFailures;
    });
  if (needsOthers) {
    for (const auto& [name, upstreams] : usable) {
      if (!zones_[name].lostSince) {
        aZones.insert(name);
      }
    }
  }
  Probe(aZones, kSampleSize, [this](const Check& aCheck) {
    checking_ = false;
    FinishCheck(aCheck);
  });
}

void
UplinkGuard::Probe(const std::set<std::string>& aZones,
                   std::size_t aSampleSize,
                   const std::function<void(const Check& aCheck)>& aFinish)
{
  const auto usable = UsableUpstreams();
  const auto check = std::make_shared<Check>();
  check->startedAt = timers_.Now();
  std::vector<std::pair<std::string, core::UpstreamId>> probes;
  for (const std::string& name : aZones) {
    Check::Tally& tally = check->zones[name];
    const auto found = usable.find(name);
    if (found == usable.end()) {
      continue;
    }
    tally.usable = found->second.size();
    for (const auto id : Sample(zones_[name], found->second, aSampleSize)) {
      probes.emplace_back(name, id);
    }
  }
  check->open = probes.size();
  if (probes.empty()) {
    aFinish(*check);
    return;
  }
  for (const auto& [name, id] : probes) {
    client_.Probe(
      fleet_.upstreams.Find(id)->entry.endpoint,
      kProbeTimeout,
      [check, name = name, aFinish](relay::Reachability aReachability) {
        check->zones[name].accepted +=
          aReachability == relay::Reachability::Accepts ? 1 : 0;
        check->zones[name].untried +=
          aReachability == relay::Reachability::Untried ? 1 : 0;
        if (--check->open == 0) {
          aFinish(*check);
        }
      });
  }
}

void
UplinkGuard::FinishCheck(const Check& aCheck)
{
  std::size_t allUsable = 0;
  for (const auto& [name, upstreams] : UsableUpstreams()) {
    allUsable += upstreams.size();
  }
  const auto isReached = [this, &aCheck](const auto& aEntry) {
    return aEntry.second.accepted > 0 ||
           zones_[aEntry.first].reachedAt >= aCheck.startedAt;
  };
  const bool reachesAny = std::ranges::any_of(aCheck.zones, isReached);
  for (const auto& entry : aCheck.zones) {
    const auto& [name, tally] = entry;
    if (tally.untried > 0 && !isReached(entry)) {
      SetUnexplained(name);
      continue;
    }
    // A lone upstream that fails beside others that are reached is to blame.
    const bool isTold =
      tally.usable >= kMinFailures ||
      (tally.usable > 0 && !reachesAny && allUsable >= kMinFailures);
    if (isTold && !isReached(entry)) {
      SetLost(name, tally.usable);
    } else {
      SetReached(name, aCheck.startedAt);
    }
  }
  CheckFailures(); // in zones that were not part of the check
}

void
UplinkGuard::SetReached(const std::string& aName, TimePoint aAt)
{
  Zone& zone = zones_[aName];
  zone.failed.clear();
  zone.failingSince.reset();
  Resolve(aName, aAt);
}

void
UplinkGuard::SetLost(const std::string& aName, std::size_t aUpstreams)
{
  Zone& zone = zones_[aName];
  zone.lostSince = timers_.Now();
  zone.regainedProbes = 0;
  fleet_.unreachableZones.insert(aName);
  log_.Write(core::EventNumber::UplinksLost,
             "zone=" + aName + " failed=" + std::to_string(zone.failed.size()) +
               " upstreams=" + std::to_string(aUpstreams) +
               " all_zones=" + (IsCutOff() ? "yes" : "no"));
  zone.failed.clear();
  zone.failingSince.reset();
  fleet_.upstreams.ForgiveFailures(aName);
  for (const PendingReport& pending : std::exchange(zone.pending, {})) {
    pending.report(true);
  }
  ScheduleRecheck();
}

void
UplinkGuard::SetUnexplained(const std::string& aName)
{
  Zone& zone = zones_[aName];
  zone.failed.clear();
  zone.failingSince.reset();
  for (const PendingReport& pending : std::exchange(zone.pending, {})) {
    pending.report(true);
  }
}

void
UplinkGuard::SetRegained(const std::string& aName)
{
  Zone& zone = zones_[aName];
  log_.Write(
    core::EventNumber::UplinksRegained,
    "zone=" + aName + " after_ms=" +
      std::to_string((timers_.Now() - *zone.lostSince).count() / 1000));
  zone.lostSince.reset();
  fleet_.unreachableZones.erase(aName);
  fleet_.upstreams.ForgiveFailures(aName);
}

void
UplinkGuard::ScheduleRecheck()
{
  if (!std::exchange(rechecking_, true)) {
    timers_.After(kRecheckInterval, [this] {
      Probe({ fleet_.unreachableZones.begin(), fleet_.unreachableZones.end() },
            kRecheckSampleSize,
            [this](const Check& aCheck) { FinishRecheck(aCheck); });
    });
  }
}

void
UplinkGuard::FinishRecheck(const Check& aCheck)
{
  rechecking_ = false;
  for (const auto& [name, tally] : aCheck.zones) {
    Zone& zone = zones_[name];
    if (tally.accepted == 0 && tally.untried > 0) {
      continue;
    }
    zone.regainedProbes =
      tally.accepted > 0 ? zone.regainedProbes + tally.accepted : 0;
    // A zone without upstreams has none that could be out of reach.
    if (zone.regainedProbes >= std::min(kMinRegainedProbes, tally.usable)) {
      SetRegained(name);
    }
  }
  if (!fleet_.unreachableZones.empty()) {
    ScheduleRecheck();
  }
}

void
UplinkGuard::ScheduleExplanation(const std::string& aName)
{
  timers_.After(kExplainDelay, [this, aName] {
    if (zones_[aName].pending.empty()) {
      return;
    }
    if (checking_) {
      ScheduleExplanation(aName);
    } else {
      StartCheck({ aName });
    }
  });
}

void
UplinkGuard::Resolve(const std::string& aName, TimePoint aReachedAt)
{
  Zone& zone = zones_[aName];
  std::vector<PendingReport> explained;
  std::erase_if(zone.pending, [&](PendingReport& aPending) {
    if (aPending.failedAt > aReachedAt) {
      return false;
    }
    explained.push_back(std::move(aPending));
    return true;
  });
  for (const PendingReport& pending : explained) {
    pending.report(false);
  }
  if (!explained.empty() && !zone.pending.empty()) {
    ScheduleExplanation(aName);
  }
}

} // namespace hibiscusnotch::entry
