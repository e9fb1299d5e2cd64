/// @file
/// @brief Estimates which parts of a prompt an upstream has cached.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;
using core::UpstreamId;

/// @brief A segment of a prompt that other requests may share.
struct SharedSegment
{
  std::string_view id;
  uint32_t tokens = 0;
};

/// @brief An upstream whose memory is stated.
struct CachingUpstream
{
  UpstreamId id;
  int64_t incarnation = 0;
  uint64_t memoryTokens = 0;
};

/// @brief An upstream that was sent a prefix.
struct PrefixHolder
{
  UpstreamId upstream;
  int64_t incarnation = 0;
  double position = 0; ///< Tokens prefilled there when it was sent.
  TimePoint sentAt{};
};

/// @brief A prompt's shared segments as looked up in a cache. Valid until the
/// next send is recorded there.
struct PromptChain
{
  /// @brief The chain's prefix that ends with a segment.
  struct Prefix
  {
    uint64_t hash = 0; ///< Of the model and all segments up to this one.
    double tokens = 0; ///< Of this segment alone.
    std::span<const PrefixHolder> holders;
  };
  std::vector<Prefix> prefixes;
  double sharedTokens = 0; ///< Of all segments.
};

/// @brief What is expected of a prompt at one upstream.
struct CacheForecast
{
  double tokens = 0;      ///< Expected number of cached tokens.
  double probability = 0; ///< That the longest prefix is cached.
  /// @brief The same, by what this instance itself has sent.
  double ownProbability = 0;
};

/// @brief A prompt that was sent, until its response begins.
struct SentPrompt
{
  std::string model;
  double promptTokens = 0;
  double sharedTokens = 0;
  double aheadTokens = 0; ///< Prompt tokens that were to be prefilled before.
  std::optional<std::size_t> ownerRank;
  CacheForecast forecast;
};

/// @brief What a response time shows.
enum class CacheEvidence
{
  None,
  Cached,
  Missed,
};

/// @brief Remembers the prompts that this instance has sent to upstreams and
/// estimates how much of another prompt is cached there.
///
/// An upstream is assumed to evict the least recently used prompts. A prompt is
/// therefore evicted after about as many other tokens were prefilled as the
/// upstream's memory holds. Prompts of other instances are not known one by
/// one: the rendezvous owners of a prefix are assumed to cache it with a
/// probability that is learnt from response times.
class PromptCache
{
public:
  /// @brief Rendezvous owners of a prefix that may cache it.
  static constexpr std::size_t kMaxOwners = 4;

  PromptChain LookUp(std::string_view aModel,
                     std::span<const SharedSegment> aSegments) const;

  /// @param aOwnerRank The upstream's place in the rendezvous order of the
  /// longest prefix; nothing if it is not among the first kMaxOwners.
  CacheForecast Forecast(const CachingUpstream& aUpstream,
                         const PromptChain& aChain,
                         std::optional<std::size_t> aOwnerRank,
                         TimePoint aNow) const;

  /// @brief Expected number of cached tokens by what this instance has sent.
  double ExpectedCachedTokens(const CachingUpstream& aUpstream,
                              std::string_view aModel,
                              std::span<const SharedSegment> aSegments,
                              TimePoint aNow) const;

  /// @brief The tokens that are saved by sending the prompt to the upstream:
  /// now and, at an owner, later, less those that a copy elsewhere displaces.
  /// May be negative.
  double SavedTokens(const CachingUpstream& aUpstream,
                     const PromptChain& aChain,
                     std::optional<std::size_t> aOwnerRank,
                     TimePoint aNow) const;

  /// @brief Records that the prompt is sent and returns what is needed when its
  /// response begins.
  /// @param aAheadTokens Prompt tokens that the upstream prefills before.
  SentPrompt RecordSend(const CachingUpstream& aUpstream,
                        std::string_view aModel,
                        const PromptChain& aChain,
                        std::optional<std::size_t> aOwnerRank,
                        double aPromptTokens,
                        double aAheadTokens,
                        TimePoint aNow);

  /// @brief The response has begun.
  /// @param aTook The time since the prompt was sent, at usual speed.
  CacheEvidence RecordResponse(const SentPrompt& aPrompt, Duration aTook);

  /// @brief The attempt has ended, the time after it was sent.
  void RecordEnd(const SentPrompt& aPrompt, Duration aTook);

  /// @brief The requests of the zone's other instances at an upstream, by the
  /// latest report. They count until the next one.
  void RecordPeerRequests(UpstreamId aId, uint32_t aRequests, TimePoint aNow);

  /// @brief Probability that the owner of that rank caches a prefix of which
  /// this instance knows nothing.
  double OwnerProbability(std::size_t aRank) const;

  /// @brief Tokens of all prompts sent that were expected to be cached.
  double ExpectedTotal() const { return expectedTotal_; }
  /// @brief Those of them whose response time showed that they were not.
  double MissedTotal() const { return missedTotal_; }
  /// @brief Number of remembered prefixes, which is bounded.
  std::size_t PrefixCount() const { return recent_.size() + former_.size(); }

private:
  using Holders = std::vector<PrefixHolder>;

  /// Tokens prefilled at one upstream by all instances of the zone.
  struct Progress
  {
    int64_t incarnation = 0;
    double prefilledTokens = 0;
    uint32_t peerRequests = 0;
    TimePoint at{}; ///< prefilledTokens includes those of peers up to this.
  };

  /// Sums for a linear regression of response times on prompt tokens.
  struct TimingSums
  {
    double weight = 0;
    double tokens = 0;
    double seconds = 0;
    double tokensSquared = 0;
    double tokensSeconds = 0;
  };

  struct Timing
  {
    double baseSeconds = 0;
    double secondsPerToken = 0;
  };

  /// Tokens that a stored token saves on average.
  double SavedPerStored() const;
  double PrefilledTokens(const Progress& aProgress, TimePoint aNow) const;
  /// Probability that a prefix which this instance sent is still cached.
  double OwnProbability(const PrefixHolder& aHolder,
                        const CachingUpstream& aUpstream,
                        TimePoint aNow) const;
  Progress& ProgressOf(const CachingUpstream& aUpstream, TimePoint aNow);
  std::span<const PrefixHolder> HoldersOf(uint64_t aHash) const;
  void RecordHolder(uint64_t aHash, const PrefixHolder& aHolder);
  std::optional<Timing> TimingOf(std::string_view aModel) const;
  void LearnTiming(const SentPrompt& aPrompt, Duration aTook);

  // Prefixes move to `former_` when `recent_` is full, which replaces those
  // that were not sent since the last move.
  std::unordered_map<uint64_t, Holders> recent_;
  std::unordered_map<uint64_t, Holders> former_;
  std::map<UpstreamId, Progress> progress_;
  std::map<std::string, TimingSums, std::less<>> timings_;
  std::array<double, kMaxOwners> ownerProbability_{ 0.5, 0.25, 0.125, 0.0625 };
  double endedTokens_ = 0;  ///< Prefilled by attempts that ended.
  double endedSeconds_ = 0; ///< Time in flight of the same attempts.
  double cachedTokens_ = 0; ///< Of the latest prompts, expected.
  double storedTokens_ = 0; ///< Of the same prompts, prefilled.
  double expectedTotal_ = 0;
  double missedTotal_ = 0;
};

} // namespace hibiscusnotch::routing
