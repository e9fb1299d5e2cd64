#include "hibiscusnotch/routing/prompt_cache.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscusnotch::routing {

namespace {

// Two generations of this size take less than 4 MB. An upstream's memory is
// refilled within a minute under load, in which an instance sends fewer.
constexpr std::size_t kMaxRecentPrefixes = 4096;
constexpr std::size_t kMaxHolders = 16;     // upstreams of one prefix
constexpr std::size_t kMaxUpstreams = 4096; // more than the largest fleet has
constexpr std::size_t kMaxModels = 64;
// The number of tokens prefilled since a send is known only roughly, so the
// probability falls gradually: 0.94 at half the memory, 0.06 at twice of it.
constexpr double kEvictionSteepness = 4;
constexpr double kEvidenceWeight = 0.05;   // averages about twenty responses
constexpr double kTimingDecay = 0.98;      // averages about fifty responses
constexpr double kMinTimingWeight = 8;     // responses before timing is used
constexpr double kStoredDecay = 0.998;     // averages about 500 prompts
constexpr double kMaxEndedSeconds = 1'000; // then the sums are halved
// Response times teach the owners' probability only if this instance did not
// know the prefix itself.
constexpr double kUnknownProbability = 0.1;

double
CachedProbability(double aTokensSince, uint64_t aMemoryTokens)
{
  if (aMemoryTokens == 0) {
    return 0;
  }
  const double turnover =
    std::max(0.0, aTokensSince) / static_cast<double>(aMemoryTokens);
  return 1 / (1 + std::pow(turnover, kEvictionSteepness));
}

} // namespace

PromptChain
PromptCache::LookUp(std::string_view aModel,
                    std::span<const SharedSegment> aSegments) const
{
  PromptChain chain;
  chain.prefixes.reserve(aSegments.size());
  uint64_t hash = core::StableHash(aModel);
  for (const SharedSegment& segment : aSegments) {
    hash = core::MixHash(hash, core::StableHash(segment.id));
    chain.prefixes.push_back(
      { hash, static_cast<double>(segment.tokens), HoldersOf(hash) });
    chain.sharedTokens += segment.tokens;
  }
  return chain;
}

double
PromptCache::PrefilledTokens(const Progress& aProgress, TimePoint aNow) const
{
  // By Little's law the tokens of peers are to their time in flight as those
  // of this instance are to its own.
  const double tokensPerSecond =
    endedSeconds_ > 0 ? endedTokens_ / endedSeconds_ : 0;
  return aProgress.prefilledTokens +
         aProgress.peerRequests * tokensPerSecond *
           std::max(0.0, core::Seconds(aNow - aProgress.at));
}

PromptCache::Progress&
PromptCache::ProgressOf(const CachingUpstream& aUpstream, TimePoint aNow)
{
  auto found = progress_.find(aUpstream.id);
  if (found == progress_.end()) {
    if (progress_.size() >= kMaxUpstreams) {
      progress_.erase(std::ranges::min_element(
        progress_, {}, [](const auto& aEntry) { return aEntry.second.at; }));
    }
    found = progress_.emplace(aUpstream.id, Progress{}).first;
    found->second.incarnation = aUpstream.incarnation;
    found->second.at = aNow;
  }
  Progress& progress = found->second;
  if (progress.incarnation != aUpstream.incarnation) {
    progress = { aUpstream.incarnation, 0, 0, aNow };
  }
  progress.prefilledTokens = PrefilledTokens(progress, aNow);
  progress.at = aNow;
  return progress;
}

std::span<const PrefixHolder>
PromptCache::HoldersOf(uint64_t aHash) const
{
  for (const auto* generation : { &recent_, &former_ }) {
    const auto found = generation->find(aHash);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return {};
}

void
PromptCache::RecordHolder(uint64_t aHash, const PrefixHolder& aHolder)
{
  if (recent_.size() >= kMaxRecentPrefixes && !recent_.contains(aHash)) {
    former_ = std::exchange(recent_, {});
  }
  const auto [entry, isNew] = recent_.try_emplace(aHash);
  Holders& holders = entry->second;
  if (isNew) {
    if (auto moved = former_.extract(aHash)) {
      holders = std::move(moved.mapped());
    }
  }
  const auto known =
    std::ranges::find(holders, aHolder.upstream, &PrefixHolder::upstream);
  if (known != holders.end()) {
    *known = aHolder;
  } else if (holders.size() < kMaxHolders) {
    holders.push_back(aHolder);
  } else {
    *std::ranges::min_element(holders, {}, &PrefixHolder::sentAt) = aHolder;
  }
}

double
PromptCache::OwnerProbability(std::size_t aRank) const
{
  return aRank < kMaxOwners ? ownerProbability_[aRank] : 0;
}

double
PromptCache::OwnProbability(const PrefixHolder& aHolder,
                            const CachingUpstream& aUpstream,
                            TimePoint aNow) const
{
  const auto progress = progress_.find(aUpstream.id);
  if (aHolder.incarnation != aUpstream.incarnation ||
      progress == progress_.end() ||
      progress->second.incarnation != aUpstream.incarnation) {
    return 0;
  }
  return CachedProbability(PrefilledTokens(progress->second, aNow) -
                             aHolder.position,
                           aUpstream.memoryTokens);
}

CacheForecast
PromptCache::Forecast(const CachingUpstream& aUpstream,
                      const PromptChain& aChain,
                      std::optional<std::size_t> aOwnerRank,
                      TimePoint aNow) const
{
  const double byOthers = aOwnerRank ? OwnerProbability(*aOwnerRank) : 0;
  CacheForecast forecast;
  for (const PromptChain::Prefix& prefix : aChain.prefixes) {
    const auto holder =
      std::ranges::find(prefix.holders, aUpstream.id, &PrefixHolder::upstream);
    forecast.ownProbability = holder == prefix.holders.end()
                                ? 0
                                : OwnProbability(*holder, aUpstream, aNow);
    forecast.probability = 1 - (1 - forecast.ownProbability) * (1 - byOthers);
    forecast.tokens += prefix.tokens * forecast.probability;
  }
  return forecast;
}

double
PromptCache::ExpectedCachedTokens(const CachingUpstream& aUpstream,
                                  std::string_view aModel,
                                  std::span<const SharedSegment> aSegments,
                                  TimePoint aNow) const
{
  return Forecast(aUpstream, LookUp(aModel, aSegments), std::nullopt, aNow)
    .tokens;
}

double
PromptCache::SavedTokens(const CachingUpstream& aUpstream,
                         const PromptChain& aChain,
                         std::optional<std::size_t> aOwnerRank,
                         TimePoint aNow) const
{
  const CacheForecast forecast = Forecast(aUpstream, aChain, aOwnerRank, aNow);
  // A copy at an owner also serves later prompts, with about the probability
  // that the owner caches a prefix at all.
  const double later = aOwnerRank ? OwnerProbability(*aOwnerRank) : 0;
  const double tokens =
    forecast.tokens + (aChain.sharedTokens - forecast.tokens) * later;
  return aOwnerRank == 0U ? tokens
                          : tokens - aChain.sharedTokens * SavedPerStored();
}

double
PromptCache::SavedPerStored() const
{
  return storedTokens_ > 0 ? std::min(1.0, cachedTokens_ / storedTokens_) : 0;
}

SentPrompt
PromptCache::RecordSend(const CachingUpstream& aUpstream,
                        std::string_view aModel,
                        const PromptChain& aChain,
                        std::optional<std::size_t> aOwnerRank,
                        double aPromptTokens,
                        double aAheadTokens,
                        TimePoint aNow)
{
  SentPrompt sent;
  sent.model = aModel;
  sent.promptTokens = std::max(aPromptTokens, aChain.sharedTokens);
  sent.sharedTokens = aChain.sharedTokens;
  sent.aheadTokens = aAheadTokens;
  sent.ownerRank = aOwnerRank;
  sent.forecast = Forecast(aUpstream, aChain, aOwnerRank, aNow);
  const double stored = sent.promptTokens - sent.forecast.tokens;
  expectedTotal_ += sent.forecast.tokens;
  cachedTokens_ = cachedTokens_ * kStoredDecay + sent.forecast.tokens;
  storedTokens_ = storedTokens_ * kStoredDecay + stored;
  Progress& progress = ProgressOf(aUpstream, aNow);
  progress.prefilledTokens += stored;
  for (const PromptChain::Prefix& prefix : aChain.prefixes) {
    RecordHolder(
      prefix.hash,
      { aUpstream.id, aUpstream.incarnation, progress.prefilledTokens, aNow });
  }
  return sent;
}

std::optional<PromptCache::Timing>
PromptCache::TimingOf(std::string_view aModel) const
{
  const auto found = timings_.find(aModel);
  if (found == timings_.end() || found->second.weight < kMinTimingWeight) {
    return std::nullopt;
  }
  const TimingSums& sums = found->second;
  const double spread =
    sums.weight * sums.tokensSquared - sums.tokens * sums.tokens;
  // Prompts of nearly one length show no slope.
  constexpr double kMinVariation = 0.01; // of the squared mean
  if (spread <= kMinVariation * sums.tokens * sums.tokens) {
    return std::nullopt;
  }
  Timing timing;
  timing.secondsPerToken =
    (sums.weight * sums.tokensSeconds - sums.tokens * sums.seconds) / spread;
  timing.baseSeconds = std::max(
    0.0, (sums.seconds - timing.secondsPerToken * sums.tokens) / sums.weight);
  return timing.secondsPerToken > 0 ? std::optional(timing) : std::nullopt;
}

void
PromptCache::LearnTiming(const SentPrompt& aPrompt, Duration aTook)
{
  auto found = timings_.find(aPrompt.model);
  if (found == timings_.end()) {
    if (timings_.size() >= kMaxModels) {
      return;
    }
    found = timings_.emplace(aPrompt.model, TimingSums{}).first;
  }
  TimingSums& sums = found->second;
  const double tokens = aPrompt.aheadTokens + aPrompt.promptTokens;
  const double seconds = core::Seconds(aTook);
  sums.weight = sums.weight * kTimingDecay + 1;
  sums.tokens = sums.tokens * kTimingDecay + tokens;
  sums.seconds = sums.seconds * kTimingDecay + seconds;
  sums.tokensSquared = sums.tokensSquared * kTimingDecay + tokens * tokens;
  sums.tokensSeconds = sums.tokensSeconds * kTimingDecay + tokens * seconds;
}

CacheEvidence
PromptCache::RecordResponse(const SentPrompt& aPrompt, Duration aTook)
{
  if (aPrompt.forecast.tokens <= 0) {
    LearnTiming(aPrompt, aTook);
    return CacheEvidence::None;
  }
  const auto timing = TimingOf(aPrompt.model);
  if (!timing || aPrompt.aheadTokens >= aPrompt.sharedTokens) {
    return CacheEvidence::None; // the wait for other prompts is not known well
  }
  const double half = aPrompt.promptTokens - aPrompt.sharedTokens / 2;
  const double seconds = core::Seconds(aTook) - timing->baseSeconds;
  CacheEvidence evidence = CacheEvidence::None;
  if (seconds < half * timing->secondsPerToken) {
    evidence = CacheEvidence::Cached;
  } else if (seconds > (aPrompt.aheadTokens + half) * timing->secondsPerToken) {
    evidence = CacheEvidence::Missed;
    missedTotal_ += aPrompt.forecast.tokens;
  }
  if (evidence != CacheEvidence::None && aPrompt.ownerRank &&
      *aPrompt.ownerRank < kMaxOwners &&
      aPrompt.forecast.ownProbability < kUnknownProbability) {
    double& probability = ownerProbability_[*aPrompt.ownerRank];
    probability +=
      kEvidenceWeight *
      ((evidence == CacheEvidence::Cached ? 1.0 : 0.0) - probability);
  }
  return evidence;
}

void
PromptCache::RecordEnd(const SentPrompt& aPrompt, Duration aTook)
{
  endedTokens_ += aPrompt.promptTokens - aPrompt.forecast.tokens;
  endedSeconds_ += core::Seconds(aTook);
  if (endedSeconds_ > kMaxEndedSeconds) {
    endedTokens_ /= 2;
    endedSeconds_ /= 2;
  }
}

void
PromptCache::RecordPeerRequests(UpstreamId aId,
                                uint32_t aRequests,
                                TimePoint aNow)
{
  const auto found = progress_.find(aId);
  if (found == progress_.end()) {
    return; // this instance has sent nothing there
  }
  Progress& progress = found->second;
  progress.prefilledTokens = PrefilledTokens(progress, aNow);
  progress.at = aNow;
  progress.peerRequests = aRequests;
}

} // namespace hibiscusnotch::routing
