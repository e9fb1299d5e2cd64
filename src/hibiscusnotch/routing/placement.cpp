#include "hibiscusnotch/routing/placement.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/routing/prompt_cache.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

namespace hibiscusnotch::routing {

namespace {

// Costs are in prompt tokens: the work of reading as many of them.
constexpr double kTokensPerRunningRequest = 180; // for its decode steps
constexpr double kTokensPerPlainRequest = 1000;  // service without models
constexpr double kCrossZonePenaltyTokens = 1500; // that traffic is billed
constexpr double kSuspectPenaltyTokens = 1e7;    // a last resort
constexpr double kFailingPenaltyTokens = 1e5;    // fails much more than others
constexpr double kLapsedPenaltyTokens = 1e6;     // its entry may be out of date
constexpr double kFailureRateMargin = 0.3;       // above the median
constexpr double kMinOutcomes = 4;               // for a failure rate to count
constexpr std::size_t kCacheOwnersPerPrefix = 1; // likely to cache the prefix

constexpr double kSuspectZonePenaltyTokens = 5e4; // the zone may be unreachable
constexpr std::size_t kMinSuspectsPerZone = 2;    // to suspect the whole zone
constexpr double kSuspectZoneFraction = 0.3;      // of the zone's upstreams

// Instances of other zones do not report their load here, so their upstreams
// are assumed to carry at least this fraction of the local zone's mean.
constexpr double kRemoteZoneLoadFraction = 0.8;
constexpr double kMinUpstreamsForMean = 3; // fewer may not be typical

struct Candidate
{
  UpstreamId id;
  const Upstream* upstream = nullptr;
  uint64_t weight = 0; ///< Rendezvous weight for the affinity key.
};

bool
SatisfiesVersionConstraint(std::string_view aVersion,
                           const PlacementRequest& aRequest)
{
  if (!aRequest.excludedVersion.empty() &&
      aVersion == aRequest.excludedVersion) {
    return false;
  }
  if (std::ranges::find(aRequest.unprovenVersions, aVersion) !=
      aRequest.unprovenVersions.end()) {
    return false;
  }
  return aRequest.requiredVersion.empty() ||
         aVersion == aRequest.requiredVersion;
}

/// The lower median, so that of two upstreams the failing one does not set it.
double
MedianFailureRate(std::span<const Candidate> aCandidates)
{
  std::vector<double> rates;
  for (const Candidate& candidate : aCandidates) {
    rates.push_back(candidate.upstream->failureRate); // zero while unknown
  }
  const auto middle =
    rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
  std::ranges::nth_element(rates, middle);
  return *middle;
}

/// Zones in which so many upstreams are unreachable that all are suspect.
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
    ZoneCount& count = zones[candidate.upstream->entry.zone];
    ++count.all;
    count.suspects += aNow < candidate.upstream->suspectUntil ? 1 : 0;
  }
  std::set<std::string_view> suspects;
  for (const auto& [zone, count] : zones) {
    if (count.suspects >= std::min(kMinSuspectsPerZone, count.all) &&
        static_cast<double>(count.suspects) >=
          kSuspectZoneFraction * static_cast<double>(count.all)) {
      suspects.insert(zone);
    }
  }
  return suspects;
}

/// Estimated load of an upstream.
struct WorkEstimate
{
  double load = 0;
  double pendingTokens = 0;
};

WorkEstimate
MeanWorkInZone(std::span<const Candidate> aCandidates,
               std::string_view aZone,
               TimePoint aNow)
{
  WorkEstimate mean;
  double count = 0;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.upstream->entry.zone == aZone) {
      mean.load += UpstreamTable::Load(*candidate.upstream, aNow);
      mean.pendingTokens +=
        UpstreamTable::PendingTokens(*candidate.upstream, aNow);
      count += 1;
    }
  }
  if (count < kMinUpstreamsForMean) {
    return {};
  }
  mean.load /= count;
  mean.pendingTokens /= count;
  return mean;
}

double
CostOf(const Candidate& aCandidate,
       const PlacementContext& aContext,
       const PlacementRequest& aRequest,
       double aSavedTokens,
       double aMedianFailureRate,
       const std::set<std::string_view>& aSuspectZones,
       const WorkEstimate& aLocalMean)
{
  const Upstream& upstream = *aCandidate.upstream;
  double load = UpstreamTable::Load(upstream, aContext.now);
  double pending = UpstreamTable::PendingTokens(upstream, aContext.now);
  if (upstream.entry.zone != aContext.localZone) {
    load = std::max(load, kRemoteZoneLoadFraction * aLocalMean.load);
    pending =
      std::max(pending, kRemoteZoneLoadFraction * aLocalMean.pendingTokens);
  }
  double cost = 0;
  if (aRequest.model.empty()) {
    cost = load * kTokensPerPlainRequest;
  } else {
    cost = pending + load * kTokensPerRunningRequest +
           (aRequest.sharedTokens - aSavedTokens);
    const double free = upstream.entry.slots - load;
    if (free < 1) {
      cost += (1 - free) * 10 * kTokensPerRunningRequest;
    }
  }
  if (upstream.entry.zone != aContext.localZone) {
    cost += kCrossZonePenaltyTokens;
  }
  if (aContext.now < upstream.suspectUntil) {
    cost += kSuspectPenaltyTokens;
  }
  if (aSuspectZones.contains(upstream.entry.zone)) {
    cost += kSuspectZonePenaltyTokens;
  }
  if (upstream.lapsedAt) {
    cost += kLapsedPenaltyTokens;
  }
  if (upstream.outcomeCount >= kMinOutcomes &&
      upstream.failureRate > aMedianFailureRate + kFailureRateMargin) {
    cost += kFailingPenaltyTokens;
  }
  return cost;
}

/// The upstreams of a zone that are expected to cache the prompt prefix: those
/// with the highest rendezvous weights.
std::vector<UpstreamId>
CacheOwners(std::span<const Candidate> aCandidates,
            std::string_view aZone,
            std::size_t aCount)
{
  std::vector<const Candidate*> local;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.upstream->entry.zone == aZone) {
      local.push_back(&candidate);
    }
  }
  std::ranges::sort(local, [](const Candidate* aLeft, const Candidate* aRight) {
    return aLeft->weight > aRight->weight;
  });
  std::vector<UpstreamId> owners;
  for (std::size_t rank = 0; rank < std::min(aCount, local.size()); ++rank) {
    owners.push_back(local[rank]->id);
  }
  return owners;
}

/// Prompt tokens that the candidate does not have to prefill.
double
SavedTokens(const PlacementContext& aContext,
            const PlacementRequest& aRequest,
            std::span<const UpstreamId> aOwners,
            const Candidate& aCandidate)
{
  const auto owner = std::ranges::find(aOwners, aCandidate.id);
  const bool isOwner = owner != aOwners.end();
  if (!aContext.weighsPromptCache) {
    return isOwner ? aRequest.sharedTokens : 0;
  }
  if (aRequest.affinityKey.empty()) {
    return 0;
  }
  return aContext.savedTokens(
    aCandidate.id,
    *aCandidate.upstream,
    isOwner ? std::optional(static_cast<std::size_t>(owner - aOwners.begin()))
            : std::nullopt);
}

uint64_t
AffinityHash(const PlacementRequest& aRequest)
{
  return core::MixHash(core::StableHash(aRequest.affinityKey),
                       core::StableHash(aRequest.model));
}

} // namespace

namespace {

/// This instance's share of the slots of a brittle upstream.
std::optional<uint32_t>
SlotShareOf(const PlacementContext& aContext, const Upstream& aUpstream)
{
  return aContext.slotShare ? aContext.slotShare(aUpstream) : std::nullopt;
}

/// True if a brittle upstream may reject one more request.
bool
MayReject(const PlacementContext& aContext, const Upstream& aUpstream)
{
  const auto share = SlotShareOf(aContext, aUpstream);
  return share && (aContext.now < aUpstream.rejectingUntil ||
                   aUpstream.inFlight >= *share);
}

} // namespace

bool
IsEligible(const PlacementContext& aContext,
           const Upstream& aUpstream,
           core::Reason& aLastReason)
{
  if (aUpstream.removed || aUpstream.entry.leaving ||
      aUpstream.announcedLeaving) {
    aLastReason = core::Reason::UpstreamLeaving;
    return false;
  }
  if (aUpstream.lapsedAt &&
      aContext.now - *aUpstream.lapsedAt >= UpstreamTable::kLapsedEntryGrace) {
    aLastReason = core::Reason::UpstreamLeaving;
    return false;
  }
  if (aContext.now < aUpstream.heldUntil) {
    aLastReason = core::Reason::UpstreamLeaving;
    return false;
  }
  if (aContext.now < aUpstream.backoffUntil) {
    aLastReason = core::Reason::UpstreamBackoff;
    return false;
  }
  if (aUpstream.requestLimit && !aUpstream.pacer.IsOpen(aContext.now)) {
    aLastReason = core::Reason::RequestLimit;
    return false;
  }
  if (MayReject(aContext, aUpstream)) {
    aLastReason = core::Reason::CapacityLimit;
    return false;
  }
  if (aContext.evacuatedZones.contains(aUpstream.entry.zone)) {
    aLastReason = core::Reason::ZoneOut;
    return false;
  }
  if (aContext.now < aUpstream.coldUntil) {
    const auto recent = std::ranges::count_if(
      aUpstream.recentSends, [&aContext](TimePoint aSent) {
        return aContext.now - aSent <= Duration{ 1'000'000 };
      });
    if (static_cast<double>(recent) + 1 >
        aContext.coldStartRateLimit(aUpstream)) {
      aLastReason = core::Reason::ColdStartLimit;
      return false;
    }
  }
  return true;
}

std::optional<Opening>
NextOpening(const PlacementContext& aContext, const PlacementRequest& aRequest)
{
  std::optional<Opening> next;
  for (const auto& [id, upstream] : aContext.upstreams.Rows()) {
    if (upstream.entry.service != aRequest.service ||
        !SatisfiesVersionConstraint(upstream.entry.softwareVersion, aRequest)) {
      continue;
    }
    core::Reason reason = core::Reason::None;
    if (IsEligible(aContext, upstream, reason)) {
      return std::nullopt;
    }
    if (reason == core::Reason::ColdStartLimit ||
        reason == core::Reason::CapacityLimit) {
      return std::nullopt; // takes requests again within a second
    }
    const bool limited = reason == core::Reason::RequestLimit;
    if (!limited && reason != core::Reason::UpstreamBackoff) {
      continue;
    }
    const TimePoint at =
      limited ? upstream.pacer.OpensAt() : upstream.backoffUntil;
    if (!next) {
      next = Opening{ at, 0, reason };
    } else if (at < next->at) {
      next->at = at;
      next->reason = reason;
    }
    next->perSecond +=
      limited ? upstream.pacer.Rate() : std::numeric_limits<double>::infinity();
  }
  return next;
}

std::vector<UpstreamId>
UpstreamsOfOthers(const PlacementContext& aContext,
                  const PlacementRequest& aRequest)
{
  std::vector<UpstreamId> upstreams;
  for (const auto& [id, upstream] : aContext.upstreams.Rows()) {
    if (upstream.removed || upstream.announcedLeaving ||
        upstream.entry.service != aRequest.service ||
        !SatisfiesVersionConstraint(upstream.entry.softwareVersion, aRequest)) {
      continue;
    }
    const bool hasNoRate = upstream.requestLimit && upstream.pacer.Rate() <= 0;
    if (!hasNoRate && SlotShareOf(aContext, upstream) != 0U) {
      return {};
    }
    upstreams.push_back(id);
  }
  return upstreams;
}

std::optional<std::size_t>
CacheOwnerRank(const PlacementContext& aContext,
               const PlacementRequest& aRequest,
               UpstreamId aId)
{
  const Upstream* upstream = aContext.upstreams.Find(aId);
  if (!upstream || aRequest.affinityKey.empty() ||
      upstream->entry.zone != aContext.localZone) {
    return std::nullopt;
  }
  const uint64_t key = AffinityHash(aRequest);
  const uint64_t weight =
    core::MixHash(key, core::StableHash(upstream->entry.name));
  const auto ahead =
    std::ranges::count_if(aContext.upstreams.Rows(), [&](const auto& aRow) {
      const Upstream& other = aRow.second;
      core::Reason reason = core::Reason::None;
      return other.entry.service == aRequest.service &&
             other.entry.zone == aContext.localZone &&
             core::MixHash(key, core::StableHash(other.entry.name)) > weight &&
             SatisfiesVersionConstraint(other.entry.softwareVersion,
                                        aRequest) &&
             std::ranges::find(aRequest.tried, aRow.first) ==
               aRequest.tried.end() &&
             IsEligible(aContext, other, reason);
    });
  const auto rank = static_cast<std::size_t>(ahead);
  return rank < PromptCache::kMaxOwners ? std::optional(rank) : std::nullopt;
}

std::optional<UpstreamId>
ChooseUpstream(const PlacementContext& aContext,
               const PlacementRequest& aRequest,
               core::Reason& aLastReason)
{
  aLastReason = core::Reason::NoUpstream;
  const uint64_t key = AffinityHash(aRequest);
  std::vector<Candidate> candidates;
  for (const auto& [id, upstream] : aContext.upstreams.Rows()) {
    if (upstream.entry.service != aRequest.service ||
        !SatisfiesVersionConstraint(upstream.entry.softwareVersion, aRequest) ||
        std::ranges::find(aRequest.tried, id) != aRequest.tried.end() ||
        !IsEligible(aContext, upstream, aLastReason)) {
      continue;
    }
    candidates.push_back(
      { id,
        &upstream,
        core::MixHash(key, core::StableHash(upstream.entry.name)) });
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::vector<UpstreamId> owners;
  if (!aRequest.affinityKey.empty()) {
    owners = CacheOwners(candidates,
                         aContext.localZone,
                         aContext.weighsPromptCache ? PromptCache::kMaxOwners
                                                    : kCacheOwnersPerPrefix);
  }
  const double medianFailureRate = MedianFailureRate(candidates);
  const auto suspectZones = SuspectZones(candidates, aContext.now);
  const WorkEstimate localMean =
    MeanWorkInZone(candidates, aContext.localZone, aContext.now);
  const Candidate* best = nullptr;
  double bestCost = 0;
  for (const Candidate& candidate : candidates) {
    const double cost =
      CostOf(candidate,
             aContext,
             aRequest,
             SavedTokens(aContext, aRequest, owners, candidate),
             medianFailureRate,
             suspectZones,
             localMean);
    // The weight for the key breaks ties, so that instances do not all pick the
    // same upstream.
    if (!best || cost < bestCost ||
        (cost == bestCost && candidate.weight > best->weight)) {
      best = &candidate;
      bestCost = cost;
    }
  }
  return best->id;
}

} // namespace hibiscusnotch::routing
