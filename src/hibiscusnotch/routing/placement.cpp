#include "hibiscusnotch/routing/placement.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace hibiscusnotch::routing {

namespace {

// All costs below are in prompt tokens that an upstream could read meanwhile.
constexpr double kTokensPerRunning = 180; // a running request's decode steps
constexpr double kTokensPerPlainRequest = 1000; // one slot of a plain service
constexpr double kOtherZoneTokens = 1500; // bytes between zones are priced
constexpr double kSuspectTokens = 1e7;    // only when nothing else is left
constexpr double kFailingTokens = 1e5;    // fails much more than its peers
constexpr double kLapsedTokens = 1e6;     // its entry may be stale
constexpr double kFailingMargin = 0.3;    // share above the usual one
constexpr double kFewestOutcomes = 4;     // before a failure share counts
constexpr std::size_t kCandidates = 1;    // homes of one shared prompt part

constexpr double kSuspectZoneTokens = 5e4; // the zone may be cut off
constexpr std::size_t kFewestSuspects = 2; // of a zone, to suspect all of it
constexpr double kSuspectZoneShare = 0.3;  // of its upstreams

// Other zones' instances do not report here; their upstreams are taken to be
// loaded at least by this part of the own zone's mean.
constexpr double kAssumedLoadPart = 0.8;
constexpr double kFewestForMean = 3; // one's load says nothing on the others'

struct Candidate
{
  UpstreamId id;
  const Upstream* row = nullptr;
  uint64_t weight = 0; ///< Rendezvous weight for the affinity key.
};

bool
VersionFits(std::string_view aVersion, const PlacementRequest& aRequest)
{
  if (!aRequest.exceptVersion.empty() && aVersion == aRequest.exceptVersion) {
    return false;
  }
  if (std::ranges::find(aRequest.unsettledVersions, aVersion) !=
      aRequest.unsettledVersions.end()) {
    return false;
  }
  return aRequest.onlyVersion.empty() || aVersion == aRequest.onlyVersion;
}

/// The failure share of a usual upstream: the lower median, so that one that
/// fails does not count as usual where there are only two.
double
UsualFailureShare(std::span<const Candidate> aCandidates)
{
  std::vector<double> shares;
  for (const Candidate& candidate : aCandidates) {
    shares.push_back(candidate.row->failureShare); // zero while unknown
  }
  const auto middle =
    shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
  std::ranges::nth_element(shares, middle);
  return *middle;
}

/// Zones in which so many upstreams do not answer that the rest is doubtful.
std::set<std::string_view>
SuspectZones(std::span<const Candidate> aCandidates, TimePoint aNow)
{
  struct ZoneCount
  {
    std::size_t suspects = 0;
    std::size_t all = 0;
  };
  std::map<std::string_view, ZoneCount> zones;
  for (const Candidate& candidate : aCandidates) {
    ZoneCount& count = zones[candidate.row->entry.zone];
    ++count.all;
    count.suspects += aNow < candidate.row->suspectUntil ? 1 : 0;
  }
  std::set<std::string_view> suspects;
  for (const auto& [zone, count] : zones) {
    if (count.suspects >= std::min(kFewestSuspects, count.all) &&
        static_cast<double>(count.suspects) >=
          kSuspectZoneShare * static_cast<double>(count.all)) {
      suspects.insert(zone);
    }
  }
  return suspects;
}

/// Work that an upstream is expected to have.
struct Expected
{
  double load = 0;
  double pendingTokens = 0;
};

Expected
MeanOfZone(std::span<const Candidate> aCandidates,
           std::string_view aZone,
           TimePoint aNow)
{
  Expected mean;
  double count = 0;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.row->entry.zone == aZone) {
      mean.load += UpstreamTable::Load(*candidate.row, aNow);
      mean.pendingTokens += UpstreamTable::PendingTokens(*candidate.row, aNow);
      count += 1;
    }
  }
  if (count < kFewestForMean) {
    return {};
  }
  mean.load /= count;
  mean.pendingTokens /= count;
  return mean;
}

double
CostOf(const Candidate& aCandidate,
       const PlacementView& aView,
       const PlacementRequest& aRequest,
       bool aCached,
       double aUsualFailures,
       const std::set<std::string_view>& aSuspectZones,
       const Expected& aLocalMean)
{
  const Upstream& row = *aCandidate.row;
  double load = UpstreamTable::Load(row, aView.now);
  double pending = UpstreamTable::PendingTokens(row, aView.now);
  if (row.entry.zone != aView.homeZone) {
    load = std::max(load, kAssumedLoadPart * aLocalMean.load);
    pending = std::max(pending, kAssumedLoadPart * aLocalMean.pendingTokens);
  }
  double cost = 0;
  if (aRequest.model.empty()) {
    cost = load * kTokensPerPlainRequest;
  } else {
    cost = pending + load * kTokensPerRunning +
           (aCached ? 0 : aRequest.sharedTokens);
    const double free = row.entry.slots - load;
    if (free < 1) {
      cost += (1 - free) * 10 * kTokensPerRunning;
    }
  }
  if (row.entry.zone != aView.homeZone) {
    cost += kOtherZoneTokens;
  }
  if (aView.now < row.suspectUntil) {
    cost += kSuspectTokens;
  }
  if (aSuspectZones.contains(row.entry.zone)) {
    cost += kSuspectZoneTokens;
  }
  if (row.lapsed) {
    cost += kLapsedTokens;
  }
  if (row.outcomes >= kFewestOutcomes &&
      row.failureShare > aUsualFailures + kFailingMargin) {
    cost += kFailingTokens;
  }
  return cost;
}

/// Marks the homes of the key in one zone: the highest rendezvous weights.
std::vector<UpstreamId>
CachedHomes(std::span<const Candidate> aCandidates, std::string_view aZone)
{
  std::vector<const Candidate*> local;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.row->entry.zone == aZone) {
      local.push_back(&candidate);
    }
  }
  std::ranges::sort(local, [](const Candidate* aLeft, const Candidate* aRight) {
    return aLeft->weight > aRight->weight;
  });
  std::vector<UpstreamId> homes;
  for (std::size_t rank = 0; rank < std::min(kCandidates, local.size());
       ++rank) {
    homes.push_back(local[rank]->id);
  }
  return homes;
}

} // namespace

bool
Eligible(const PlacementView& aView,
         const Upstream& aUpstream,
         core::Reason& aLastReason)
{
  if (aUpstream.gone || aUpstream.entry.leaving || aUpstream.leavingSeen) {
    aLastReason = core::Reason::UpstreamLeaving;
    return false;
  }
  if (aUpstream.lapsed &&
      aView.now - *aUpstream.lapsed >= UpstreamTable::kLapseGrace) {
    aLastReason = core::Reason::UpstreamLeaving;
    return false;
  }
  if (aView.zonesOut.contains(aUpstream.entry.zone)) {
    aLastReason = core::Reason::ZoneOut;
    return false;
  }
  if (aView.now < aUpstream.coldUntil) {
    const auto recent =
      std::ranges::count_if(aUpstream.recentSends, [&aView](TimePoint aSent) {
        return aView.now - aSent <= Duration{ 1'000'000 };
      });
    if (static_cast<double>(recent) + 1 > aView.coldSendsPerSecond(aUpstream)) {
      aLastReason = core::Reason::ColdStartLimit;
      return false;
    }
  }
  return true;
}

std::optional<UpstreamId>
Place(const PlacementView& aView,
      const PlacementRequest& aRequest,
      core::Reason& aLastReason)
{
  aLastReason = core::Reason::NoUpstream;
  const uint64_t key = core::MixHash(core::StableHash(aRequest.affinityKey),
                                     core::StableHash(aRequest.model));
  std::vector<Candidate> candidates;
  for (const auto& [id, row] : aView.upstreams.Rows()) {
    if (row.entry.service != aRequest.service ||
        !VersionFits(row.entry.softwareVersion, aRequest) ||
        std::ranges::find(aRequest.tried, id) != aRequest.tried.end() ||
        !Eligible(aView, row, aLastReason)) {
      continue;
    }
    candidates.push_back(
      { id, &row, core::MixHash(key, core::StableHash(row.entry.name)) });
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::vector<UpstreamId> homes;
  if (!aRequest.affinityKey.empty()) {
    homes = CachedHomes(candidates, aView.homeZone);
  }
  const double usualFailures = UsualFailureShare(candidates);
  const auto suspectZones = SuspectZones(candidates, aView.now);
  const Expected localMean = MeanOfZone(candidates, aView.homeZone, aView.now);
  const Candidate* best = nullptr;
  double bestCost = 0;
  for (const Candidate& candidate : candidates) {
    const bool cached = std::ranges::find(homes, candidate.id) != homes.end();
    const double cost = CostOf(candidate,
                               aView,
                               aRequest,
                               cached,
                               usualFailures,
                               suspectZones,
                               localMean);
    // Equal costs are split by the key's weight, so instances do not herd.
    if (!best || cost < bestCost ||
        (cost == bestCost && candidate.weight > best->weight)) {
      best = &candidate;
      bestCost = cost;
    }
  }
  return best->id;
}

} // namespace hibiscusnotch::routing
