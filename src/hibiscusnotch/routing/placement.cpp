#include "hibiscusnotch/routing/placement.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/routing/prompt_cache.hpp"

#include <algorithm>
#include <array>
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
// Upstreams drawn of each group. With more, instances that have the same report
// crowd at its least loaded upstream until the next one; with one, the load is
// not used beyond the weights.
constexpr std::size_t kDrawsPerGroup = 2;

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

/// Adds the tokens that an upstream's condition costs, apart from its load and
/// zone.
double
AddPenalties(double aCost,
             const Upstream& aUpstream,
             double aMedianFailureRate,
             const std::set<std::string_view>& aSuspectZones,
             TimePoint aNow)
{
  if (aNow < aUpstream.suspectUntil) {
    aCost += kSuspectPenaltyTokens;
  }
  if (!aSuspectZones.empty() && aSuspectZones.contains(aUpstream.entry.zone)) {
    aCost += kSuspectZonePenaltyTokens;
  }
  if (aUpstream.lapsesAt) {
    aCost += kLapsedPenaltyTokens;
  }
  if (aUpstream.outcomeCount >= kMinOutcomes &&
      aUpstream.failureRate > aMedianFailureRate + kFailureRateMargin) {
    aCost += kFailingPenaltyTokens;
  }
  return aCost;
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
  return AddPenalties(
    cost, upstream, aMedianFailureRate, aSuspectZones, aContext.now);
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
  if (aContext.unreachableZones &&
      aContext.unreachableZones->contains(aUpstream.entry.zone)) {
    return false;
  }
  if (aUpstream.removed || aUpstream.entry.leaving ||
      aUpstream.announcedLeaving) {
    aLastReason = core::Reason::UpstreamLeaving;
    return false;
  }
  if (aUpstream.lapsesAt && aContext.now >= *aUpstream.lapsesAt) {
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

namespace {

/// What the costs of all candidates depend on.
struct CostFactors
{
  std::span<const UpstreamId> cacheOwners;
  double medianFailureRate = 0;
  const std::set<std::string_view>& suspectZones;
  WorkEstimate localMean;
};

/// As UpstreamTable states them; the local mean bounds those of other zones
/// from below.
WorkEstimate
ExpectedWork(const PlacementContext& aContext,
             const Upstream& aUpstream,
             const WorkEstimate& aLocalMean)
{
  WorkEstimate work{ UpstreamTable::Load(aUpstream, aContext.now),
                     UpstreamTable::PendingTokens(aUpstream, aContext.now) };
  if (aUpstream.entry.zone != aContext.localZone) {
    work.load = std::max(work.load, kRemoteZoneLoadFraction * aLocalMean.load);
    work.pendingTokens = std::max(
      work.pendingTokens, kRemoteZoneLoadFraction * aLocalMean.pendingTokens);
  }
  return work;
}

/// Expected time to finish in seconds. While no times are known, in units of
/// the time that a prompt token takes, with the ratio of the former cost.
class TimeCost
{
public:
  TimeCost(const PlacementContext& aContext,
           const PlacementRequest& aRequest,
           const CostFactors& aFactors)
    : context_(aContext)
    , request_(aRequest)
    , factors_(aFactors)
  {
    if (aContext.timings) {
      estimates_ = aContext.timings->For(aRequest.service, aRequest.model);
    }
  }

  double Of(const Candidate& aCandidate, double aPenaltyTokens) const
  {
    const Upstream& upstream = *aCandidate.upstream;
    const WorkEstimate work =
      ExpectedWork(context_, upstream, factors_.localMean);
    const double slowdown =
      upstream.speed * UpstreamTable::Slowdown(upstream, context_.now);
    const bool remote = upstream.entry.zone != context_.localZone;
    const double penalty =
      aPenaltyTokens + (remote ? kCrossZonePenaltyTokens : 0);
    const double slots = std::max(1U, upstream.entry.slots);
    if (request_.model.empty()) {
      const double time = estimates_.perPlainRequest.value_or(1) / slots;
      return ((work.load + 1) * slowdown + penalty / kTokensPerPlainRequest) *
             time;
    }
    return ModelTime(aCandidate, work, slots) * slowdown +
           penalty * estimates_.perQueuedToken.value_or(1);
  }

private:
  double ModelTime(const Candidate& aCandidate,
                   const WorkEstimate& aWork,
                   double aSlots) const
  {
    const double perQueued = estimates_.perQueuedToken.value_or(1);
    const double ownTokens = std::max(
      0.0,
      std::max(request_.promptTokens, request_.sharedTokens) -
        SavedTokens(context_, request_, factors_.cacheOwners, aCandidate));
    const double prefill =
      aWork.pendingTokens * perQueued +
      ownTokens * estimates_.perPromptToken.value_or(perQueued);
    return prefill + OutputTime(std::min(aWork.load, aSlots), aSlots) +
           SlotWait(aWork.load, aSlots, perQueued);
  }

  /// The part of the output's time that depends on the batch.
  double OutputTime(double aBatch, double aSlots) const
  {
    if (!estimates_.perQueuedToken || !estimates_.perOutputToken) {
      return aBatch * kTokensPerRunningRequest *
             estimates_.perQueuedToken.value_or(1);
    }
    // A full batch takes between a twentieth and three times as much more as
    // the mean of those observed: noise must neither hide the batch nor
    // outweigh the rest.
    const double mean = *estimates_.perOutputToken;
    const double slope =
      std::clamp(estimates_.perOutputTokenSlope.value_or(mean / aSlots),
                 0.05 * mean / aSlots,
                 3 * mean / aSlots);
    return request_.outputTokens * slope * aBatch;
  }

  /// Time until one of the slots is free for the request.
  double SlotWait(double aLoad, double aSlots, double aPerQueued) const
  {
    const double missing = aLoad + 1 - aSlots;
    if (missing <= 0) {
      return 0;
    }
    const double perRequest =
      estimates_.slotHolding && estimates_.perQueuedToken
        ? *estimates_.slotHolding / aSlots
        : 10 * kTokensPerRunningRequest * aPerQueued;
    return missing * perRequest;
  }

  const PlacementContext& context_;
  const PlacementRequest& request_;
  const CostFactors& factors_;
  TimeEstimates estimates_;
};

/// Upstreams with the same penalty, in this zone or in others. From each group
/// a few are drawn, so that sound ones are among the candidates however few
/// they are.
struct DrawGroup
{
  double penaltyTokens = 0;
  bool remote = false;
  double totalWeight = 0;
  double passedWeight = 0;
  std::array<double, kDrawsPerGroup> draws{};
};

std::size_t
GroupOf(std::vector<DrawGroup>& aGroups, double aPenaltyTokens, bool aRemote)
{
  const auto found =
    std::ranges::find_if(aGroups, [&](const DrawGroup& aGroup) {
      return aGroup.penaltyTokens == aPenaltyTokens && aGroup.remote == aRemote;
    });
  if (found == aGroups.end()) {
    aGroups.push_back({ aPenaltyTokens, aRemote });
    return aGroups.size() - 1;
  }
  return static_cast<std::size_t>(found - aGroups.begin());
}

/// Where a candidate stands in the draw.
struct DrawEntry
{
  std::size_t group = 0;
  double weight = 0;
};

/// The weight by which an upstream is drawn: its free slots, as those report
/// them, by their speed.
double
DrawWeight(const PlacementContext& aContext,
           const Upstream& aUpstream,
           const WorkEstimate& aLocalMean)
{
  // Of the slots, if none is free: another instance's report may be late.
  constexpr double kMinFreeFraction = 0.02;
  const double slots = std::max(1U, aUpstream.entry.slots);
  const double free =
    slots - ExpectedWork(aContext, aUpstream, aLocalMean).load;
  return std::max(free, kMinFreeFraction * slots) /
         (aUpstream.speed * UpstreamTable::Slowdown(aUpstream, aContext.now));
}

/// Sets each group's draws within its total weight.
void
Draw(std::vector<DrawGroup>& aGroups, uint64_t aKey)
{
  // The bits of a double's mantissa, so that a draw is below the total.
  constexpr int kUnusedBits = 11;
  constexpr double kHashRange = 9007199254740992.0; // 2^53
  uint64_t index = 0;
  for (DrawGroup& group : aGroups) {
    for (double& draw : group.draws) {
      draw = static_cast<double>(core::MixHash(aKey, ++index) >> kUnusedBits) /
             kHashRange * group.totalWeight;
    }
  }
}

UpstreamId
ChooseByTime(const PlacementContext& aContext,
             const PlacementRequest& aRequest,
             std::span<const Candidate> aCandidates,
             const CostFactors& aFactors)
{
  std::vector<DrawGroup> groups;
  std::vector<DrawEntry> entries;
  entries.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    const Upstream& upstream = *candidate.upstream;
    const std::size_t group =
      GroupOf(groups,
              AddPenalties(0,
                           upstream,
                           aFactors.medianFailureRate,
                           aFactors.suspectZones,
                           aContext.now),
              upstream.entry.zone != aContext.localZone);
    const double weight = DrawWeight(aContext, upstream, aFactors.localMean);
    entries.push_back({ group, weight });
    groups[group].totalWeight += weight;
  }
  Draw(groups, core::MixHash(aRequest.drawKey, aRequest.tried.size()));
  const TimeCost timeCost(aContext, aRequest, aFactors);
  const Candidate* best = nullptr;
  double bestCost = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const Candidate& candidate = aCandidates[index];
    DrawGroup& group = groups[entries[index].group];
    const double from = group.passedWeight;
    group.passedWeight += entries[index].weight;
    const bool drawn = std::ranges::any_of(group.draws, [&](double aDraw) {
      return from <= aDraw && aDraw < group.passedWeight;
    });
    if (!drawn && std::ranges::find(aFactors.cacheOwners, candidate.id) ==
                    aFactors.cacheOwners.end()) {
      continue;
    }
    const double cost = timeCost.Of(candidate, group.penaltyTokens);
    if (!best || cost < bestCost) {
      best = &candidate;
      bestCost = cost;
    }
  }
  return best->id;
}

} // namespace

bool
PlacesByTime(const PlacementContext& aContext, std::string_view aService)
{
  return aContext.placeByTime || aContext.upstreams.StatesSlowdown(aService);
}

SendObservation
ObserveSend(const Upstream& aUpstream,
            const PlacementRequest& aRequest,
            TimePoint aNow)
{
  SendObservation sent;
  sent.queuedTokens = UpstreamTable::PendingTokens(aUpstream, aNow);
  // Placement sends most prompts with a shared prefix to where it is cached.
  sent.ownTokens = std::max(0.0, aRequest.promptTokens - aRequest.sharedTokens);
  sent.outputTokens = aRequest.outputTokens;
  sent.load = UpstreamTable::Load(aUpstream, aNow);
  sent.slots = std::max(1U, aUpstream.entry.slots);
  return sent;
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
  const bool byTime = PlacesByTime(aContext, aRequest.service);
  const bool needsWeights = !byTime || !aRequest.affinityKey.empty();
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
        needsWeights ? core::MixHash(key, core::StableHash(upstream.entry.name))
                     : 0 });
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
  if (byTime) {
    return ChooseByTime(aContext,
                        aRequest,
                        candidates,
                        { owners, medianFailureRate, suspectZones, localMean });
  }
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
