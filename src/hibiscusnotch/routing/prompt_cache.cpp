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
PromptCache::MakeChain(std::string_view aModel,
                       std::span<const SharedSegment> aSegments)
{
  PromptChain chain;
  chain.prefixes.reserve(aSegments.size());
  uint64_t hash = core::StableHash(aModel);
  for (const SharedSegment& segment : aSegments) {
    hash = core::MixHash(hash, core::StableHash(segment.id));
    chain.prefixes.push_back({ hash, static_cast<double>(segment.tokens) });
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

const PromptCache::Holder*
PromptCache::FindHolder(uint64_t aHash, UpstreamId aUpstream) const
{
  for (const auto* generation : { &recent_, &former_ }) {
    const auto found = generation->find(aHash);
    if (found != generation->end()) {
      const auto holder =
        std::ranges::find(found->second, aUpstream, &Holder::upstream);
      return holder == found->second.end() ? nullptr : &*holder;
    }
  }
  return nullptr;
}

void
PromptCache::RecordHolder(uint64_t aHash, const Holder& aHolder)
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
    std::ranges::find(holders, aHolder.upstream, &Holder::upstream);
  if (known != holders.end()) {
    *known = aHolder;
  } else if (holders.size() < kMaxHolders) {
    holders.push_back(aHolder);
  } else {
    *std::ranges::min_element(holders, {}, &Holder::sentAt) = aHolder;
  }
}

double
PromptCache::OwnerProbability(std::size_t aRank) const
{
  return aRank < kMaxOwners ? ownerProbability_[aRank] : 0;
}

CacheForecast
PromptCache::Forecast(const CachingUpstream& aUpstream,
                      const PromptChain& aChain,
                      std::optional<std::size_t> aOwnerRank,
                      TimePoint aNow) const
{
  const double byOthers = aOwnerRank ? OwnerProbability(*aOwnerRank) : 0;
  const auto progress = progress_.find(aUpstream.id);
  const bool isKnown = progress != progress_.end() &&
                       progress->second.incarnation == aUpstream.incarnation;
  const double prefilled =
    isKnown ? PrefilledTokens(progress->second, aNow) : 0;
  CacheForecast forecast;
  for (const PromptChain::Prefix& prefix : aChain.prefixes) {
    const Holder* holder =
      isKnown ? FindHolder(prefix.hash, aUpstream.id) : nullptr;
    forecast.ownProbability =
      holder && holder->incarnation == aUpstream.incarnation
        ? CachedProbability(prefilled - holder->position,
                            aUpstream.memoryTokens)
        : 0;
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
  return Forecast(aUpstream, MakeChain(aModel, aSegments), std::nullopt, aNow)
    .tokens;
}

double
PromptCache::SavedTokens(const CachingUpstream& aUpstream,
                         const PromptChain& aChain,
                         std::optional<std::size_t> aOwnerRank,
                         TimePoint aNow) const
{
  const double tokens = Forecast(aUpstream, aChain, aOwnerRank, aNow).tokens;
  if (aOwnerRank == 0U || aUpstream.memoryTokens == 0) {
    return tokens;
  }
  // So that requests return to the first owner when its wait is over, and the
  // other copies are evicted.
  const double share =
    aChain.sharedTokens / static_cast<double>(aUpstream.memoryTokens);
  return tokens * std::max(0.0, 1 - share);
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
  SentPrompt sent{
    std::string(aModel), aPromptTokens,
    aChain.sharedTokens, aAheadTokens,
    aOwnerRank,          Forecast(aUpstream, aChain, aOwnerRank, aNow)
  };
  expectedTotal_ += sent.forecast.tokens;
  Progress& progress = ProgressOf(aUpstream, aNow);
  progress.prefilledTokens +=
    std::max(0.0, aPromptTokens - sent.forecast.tokens);
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
  endedTokens_ += std::max(0.0, aPrompt.promptTokens - aPrompt.forecast.tokens);
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
