#include "hibiscusnotch/routing/prompt_cache.hpp"

#include <array>
#include <doctest/doctest.h>
#include <string>

using namespace hibiscusnotch::routing;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };
constexpr Duration kSecond{ 1'000'000 };
constexpr CachingUpstream kFirst{ UpstreamId{ 1 }, 1, 100'000 };
constexpr CachingUpstream kSecondUpstream{ UpstreamId{ 2 }, 1, 100'000 };
constexpr std::array kSegments{ SharedSegment{ "tools", 1'000 },
                                SharedSegment{ "manual", 4'000 } };
constexpr double kPromptTokens = 7'000;

SentPrompt
Send(PromptCache& aCache,
     const CachingUpstream& aUpstream,
     std::span<const SharedSegment> aSegments,
     double aPromptTokens = kPromptTokens,
     TimePoint aNow = kNow,
     std::optional<std::size_t> aRank = std::nullopt)
{
  return aCache.RecordSend(aUpstream,
                           "m",
                           aCache.LookUp("m", aSegments),
                           aRank,
                           aPromptTokens,
                           0,
                           aNow);
}

double
Expected(const PromptCache& aCache,
         const CachingUpstream& aUpstream,
         std::span<const SharedSegment> aSegments = kSegments,
         std::string_view aModel = "m",
         TimePoint aNow = kNow)
{
  return aCache.ExpectedCachedTokens(aUpstream, aModel, aSegments, aNow);
}

/// Teaches that the model prefills 10 tokens in a millisecond.
void
TeachTiming(PromptCache& aCache)
{
  for (int count = 0; count < 10; ++count) {
    for (const double tokens : { 500.0, 2'000.0 }) {
      const SentPrompt sent = Send(aCache, kSecondUpstream, {}, tokens);
      aCache.RecordResponse(sent,
                            Duration{ static_cast<int64_t>(tokens * 100) });
    }
  }
}

} // namespace

TEST_CASE("the longest common part of two prompts is expected to be cached")
{
  // Guards against counting a prefix whose last segments differ, or segments
  // after a different one.
  PromptCache cache;
  Send(cache, kFirst, kSegments);
  CHECK(Expected(cache, kFirst) == doctest::Approx(5'000));
  CHECK(Expected(cache, kSecondUpstream) == 0);
  const std::array sameStart{ kSegments[0], SharedSegment{ "other", 4'000 } };
  CHECK(Expected(cache, kFirst, sameStart) == doctest::Approx(1'000));
  const std::array sameEnd{ SharedSegment{ "other", 1'000 }, kSegments[1] };
  CHECK(Expected(cache, kFirst, sameEnd) == 0);
}

TEST_CASE("another model or incarnation has cached nothing")
{
  // Guards against savings counted at an upstream that restarted, or for
  // another model whose cache is its own.
  PromptCache cache;
  Send(cache, kFirst, kSegments);
  CHECK(Expected(cache, kFirst, kSegments, "large") == 0);
  CachingUpstream replaced = kFirst;
  replaced.incarnation = 2;
  CHECK(Expected(cache, replaced) == 0);
  Send(cache, replaced, {});
  CHECK(Expected(cache, replaced) == 0);
  CHECK(Expected(cache, kFirst) == 0);
  Send(cache, replaced, kSegments);
  CHECK(Expected(cache, replaced) == doctest::Approx(5'000));
}

TEST_CASE("a prefix is evicted as other prompts fill the memory")
{
  PromptCache cache;
  Send(cache, kFirst, kSegments);
  Send(cache, kFirst, {}, 50'000);
  CHECK(Expected(cache, kFirst) > 0.9 * 5'000);
  Send(cache, kFirst, {}, 50'000);
  CHECK(Expected(cache, kFirst) == doctest::Approx(0.5 * 5'000));
  Send(cache, kFirst, {}, 100'000);
  CHECK(Expected(cache, kFirst) < 0.1 * 5'000);
  Send(cache, kFirst, kSegments);
  CHECK(Expected(cache, kFirst) == doctest::Approx(5'000));
}

TEST_CASE("the prompts of peers evict a prefix over time")
{
  // Guards against a prefix that counts as cached for ever because this
  // instance sends little to the upstream.
  PromptCache cache;
  const SentPrompt sent = Send(cache, kFirst, kSegments);
  cache.RecordEnd(sent, kSecond); // 7,000 tokens a second and request
  cache.RecordPeerRequests(kFirst.id, 2, kNow);
  CHECK(Expected(cache, kFirst, kSegments, "m", kNow + kSecond) > 4'900);
  const TimePoint later = kNow + 10 * kSecond; // 140,000 tokens
  CHECK(Expected(cache, kFirst, kSegments, "m", later) < 0.25 * 5'000);
  // A lost report leaves the last one in force; a report of none ends it.
  cache.RecordPeerRequests(kFirst.id, 0, kNow + kSecond);
  CHECK(Expected(cache, kFirst, kSegments, "m", later) > 4'900);
}

TEST_CASE("an owner is assumed to cache a prefix as response times show")
{
  // Guards against savings that upstreams do not show.
  PromptCache cache;
  TeachTiming(cache);
  const double neutral = cache.OwnerProbability(0);
  CHECK(neutral == 0.5);
  const auto observe = [&cache](int aCount, Duration aTook) {
    CacheEvidence last = CacheEvidence::None;
    for (int count = 0; count < aCount; ++count) {
      const std::string name = std::to_string(cache.PrefixCount());
      const std::array segments{ SharedSegment{ name, 5'000 } };
      last = cache.RecordResponse(
        Send(cache, kFirst, segments, kPromptTokens, kNow, 0), aTook);
    }
    return last;
  };
  CHECK(observe(40, Duration{ 210'000 }) == CacheEvidence::Cached);
  CHECK(cache.OwnerProbability(0) > 0.9);
  CHECK(cache.MissedTotal() == 0);
  CHECK(observe(80, Duration{ 690'000 }) == CacheEvidence::Missed);
  CHECK(cache.OwnerProbability(0) < 0.1);
  CHECK(cache.OwnerProbability(1) == 0.25);
  CHECK(cache.MissedTotal() > 0);
  CHECK(cache.MissedTotal() < cache.ExpectedTotal());
}

TEST_CASE("a late response shows nothing while other prompts wait")
{
  // Guards against taking a wait in the queue for an evicted prefix.
  PromptCache cache;
  TeachTiming(cache);
  SentPrompt sent = Send(cache, kFirst, kSegments, kPromptTokens, kNow, 0);
  sent.aheadTokens = 20'000;
  CHECK(cache.RecordResponse(sent, 2 * kSecond) == CacheEvidence::None);
  sent.aheadTokens = 3'000;
  // 3,000 tokens ahead and 2,000 own, or 5,000 own and no wait: ambiguous.
  CHECK(cache.RecordResponse(sent, Duration{ 500'000 }) == CacheEvidence::None);
  CHECK(cache.OwnerProbability(0) == 0.5);
}

TEST_CASE("without known prefill times response times show nothing")
{
  PromptCache cache;
  const SentPrompt sent =
    Send(cache, kFirst, kSegments, kPromptTokens, kNow, 0);
  CHECK(cache.RecordResponse(sent, kSecond) == CacheEvidence::None);
  CHECK(cache.OwnerProbability(0) == 0.5);
}

TEST_CASE("a copy elsewhere saves less than that of the first owner")
{
  // Guards against copies of a formerly hot prefix that are kept for ever, and
  // against a prefix that is new to the zone going elsewhere than to its owner.
  PromptCache cache;
  Send(cache, kFirst, kSegments);
  Send(cache, kFirst, kSegments);
  const PromptChain chain = cache.LookUp("m", kSegments);
  const double owner = cache.SavedTokens(kFirst, chain, 0, kNow);
  const double next = cache.SavedTokens(kFirst, chain, 1, kNow);
  const double other = cache.SavedTokens(kFirst, chain, std::nullopt, kNow);
  CHECK(owner == doctest::Approx(5'000));
  CHECK(next < owner);
  CHECK(next > 0);
  CHECK(other <= next);
  const std::array fresh{ SharedSegment{ "new", 5'000 } };
  const PromptChain freshChain = cache.LookUp("m", fresh);
  CHECK(cache.SavedTokens(kFirst, freshChain, 0, kNow) ==
        doctest::Approx(0.75 * 5'000));
  CHECK(cache.SavedTokens(kFirst, freshChain, std::nullopt, kNow) < 0);
}

TEST_CASE("the number of remembered prefixes is bounded")
{
  // Guards against the 88 MB of the smallest instances.
  PromptCache cache;
  for (int index = 0; index < 100'000; ++index) {
    const std::string name = std::to_string(index);
    const std::array segments{ SharedSegment{ name, 100 } };
    const CachingUpstream upstream{ UpstreamId{ 0 }, 1, 1'000'000'000 };
    Send(cache, upstream, segments, 200);
  }
  CHECK(cache.PrefixCount() <= 8'192);
  const std::array last{ SharedSegment{ "99999", 100 } };
  const CachingUpstream upstream{ UpstreamId{ 0 }, 1, 1'000'000'000 };
  CHECK(Expected(cache, upstream, last) == doctest::Approx(100));
}
