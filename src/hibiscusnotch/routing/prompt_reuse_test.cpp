// Instances that choose among simulated engines on a paused clock, each with a
// least-recently-used cache of prompts. The same requests run with and without
// weighing the prompt cache.

#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/routing/placement.hpp"
#include "hibiscusnotch/routing/prompt_cache.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

using namespace hibiscusnotch;
using namespace hibiscusnotch::routing;

namespace {

constexpr double kPrefillTokensPerSecond = 56'600;
constexpr Duration kReportPeriod{ 500'000 };
constexpr Duration kLoadedDecodeStep{ 4'000 };
constexpr uint32_t kToolsTokens = 1'000;
constexpr uint32_t kManualTokens = 4'382;
constexpr std::size_t kToolSets = 8;

const TimePoint kNow{ Duration{ 100'000'000 } };

/// One instance and six upstreams; prompts share 5,000 tokens.
struct Fixture
{
  UpstreamTable table;
  PromptCache cache;
  std::set<std::string, std::less<>> evacuatedZones;
  bool weighs = true;
  int asked = 0; ///< Savings that the choices asked for.

  Fixture()
  {
    for (int index = 0; index < 6; ++index) {
      UpstreamEntry entry;
      entry.name = "u" + std::to_string(index);
      entry.service = "engine";
      entry.zone = "east";
      entry.slots = 16;
      table.Apply(entry, kNow);
    }
  }

  static CachingUpstream Describe(UpstreamId aId)
  {
    return { aId, 0, 320'230 };
  }

  static PlacementRequest RequestFor(std::string_view aPrefix)
  {
    PlacementRequest request;
    request.service = "engine";
    request.model = "m";
    request.affinityKey = aPrefix;
    request.sharedTokens = 5'000;
    return request;
  }

  PromptChain LookUp(std::string_view aPrefix) const
  {
    const std::array segments{ SharedSegment{ aPrefix, 5'000 } };
    return cache.LookUp("m", segments);
  }

  PlacementContext Context(const PromptChain& aChain)
  {
    return { table,
             evacuatedZones,
             "east",
             [](const Upstream&) { return 1e9; },
             kNow,
             {},
             false,
             nullptr,
             weighs,
             [this, &aChain](UpstreamId aId,
                             const Upstream&,
                             std::optional<std::size_t> aRank) {
               ++asked;
               return cache.SavedTokens(Describe(aId), aChain, aRank, kNow);
             } };
  }

  UpstreamId Choose(std::string_view aPrefix)
  {
    const PromptChain chain = LookUp(aPrefix);
    core::Reason reason = core::Reason::None;
    return ChooseUpstream(Context(chain), RequestFor(aPrefix), reason).value();
  }

  std::optional<std::size_t> Rank(std::string_view aPrefix, UpstreamId aId)
  {
    const PromptChain chain = LookUp(aPrefix);
    return CacheOwnerRank(Context(chain), RequestFor(aPrefix), aId);
  }

  /// Records a prompt in the cache only.
  void Send(std::string_view aPrefix, UpstreamId aId)
  {
    cache.RecordSend(
      Describe(aId), "m", LookUp(aPrefix), Rank(aPrefix, aId), 6'000, 0, kNow);
  }
};

/// The load of a zone.
struct Load
{
  std::size_t instances = 79;
  std::size_t upstreams = 47;
  uint64_t memoryTokens = 320'230;
  std::size_t prefixes = 1'300;
  double hotShare = 0; ///< Of the long prompts, with one prefix.
  double longPerSecond = 28;
  double shortPerSecond = 98;
  double lostReports = 0;
  bool twoModels = false;       ///< Each prompt may go to either model.
  std::size_t replacements = 0; ///< Upstreams that are replaced half-way.
  double seconds = 100;
};

struct Result
{
  double promptTokens = 0;
  double againTokens = 0; ///< Of segments that were prefilled before.
  double seconds = 0;     ///< Sum of the times to the response heads.
  double requests = 0;
  double cachedTokens = 0;
  double missedTokens = 0;
  double expectedTokens = 0;

  double AgainPercent() const { return 100 * againTokens / promptTokens; }
  double MeanMilliseconds() const { return 1'000 * seconds / requests; }
};

/// A cache of prompt parts that evicts the least recently used.
class EngineCache
{
public:
  explicit EngineCache(double aCapacity)
    : capacity_(aCapacity)
  {
  }

  /// Inserts the part or makes it the latest; true if it was cached.
  bool Use(uint64_t aKey, double aTokens)
  {
    const auto found = index_.find(aKey);
    const bool cached = found != index_.end();
    if (cached) {
      order_.splice(order_.end(), order_, found->second);
    } else {
      index_[aKey] = order_.insert(order_.end(), { aKey, aTokens });
      used_ += aTokens;
    }
    while (used_ > capacity_ && order_.size() > 1) {
      used_ -= order_.front().second;
      index_.erase(order_.front().first);
      order_.pop_front();
    }
    return cached;
  }

private:
  using Order = std::list<std::pair<uint64_t, double>>;
  Order order_;
  std::unordered_map<uint64_t, Order::iterator> index_;
  double capacity_;
  double used_ = 0;
};

struct Prompt
{
  std::string model;
  std::vector<std::string> names;
  std::vector<SharedSegment> segments; ///< Refer to `names`.
  double tokens = 0;
  double outputTokens = 0;
};

class Zone
{
public:
  Zone(const Load& aLoad, bool aWeighsPromptCache)
    : load_(aLoad)
    , weighs_(aWeighsPromptCache)
    , instances_(aLoad.instances)
    , random_(20'261'204)
  {
    for (std::size_t index = 0; index < load_.upstreams; ++index) {
      engines_.push_back(
        { EngineCache(static_cast<double>(load_.memoryTokens)), {}, {}, 1 });
      Announce(index, 1, TimePoint{});
    }
    for (std::size_t prefix = 0; prefix < load_.prefixes; ++prefix) {
      popularity_.push_back(1 / std::pow(static_cast<double>(prefix + 1), 0.8));
    }
  }

  Result Run()
  {
    const double rate = load_.longPerSecond + load_.shortPerSecond;
    std::exponential_distribution<double> gap(rate);
    const TimePoint end = TimePoint{} + core::FromSeconds(load_.seconds);
    TimePoint report = TimePoint{} + kReportPeriod;
    bool replaced = false;
    for (TimePoint now = TimePoint{} + core::FromSeconds(gap(random_));
         now < end;
         now += core::FromSeconds(gap(random_))) {
      while (report <= now) {
        FinishUntil(report);
        SendReports(report);
        report += kReportPeriod;
      }
      FinishUntil(now);
      if (!replaced &&
          now - TimePoint{} > core::FromSeconds(load_.seconds / 2)) {
        replaced = true;
        ReplaceUpstreams(now);
      }
      const Prompt prompt = DrawPrompt();
      Send(instances_[random_() % instances_.size()], prompt, now);
    }
    for (const Instance& instance : instances_) {
      result_.expectedTokens += instance.cache.ExpectedTotal();
      result_.missedTokens += instance.cache.MissedTotal();
    }
    return result_;
  }

private:
  struct Instance
  {
    UpstreamTable table;
    PromptCache cache;
  };

  struct Engine
  {
    EngineCache cache;
    TimePoint busyUntil{};
    UpstreamId id;
    int64_t incarnation = 1;
  };

  struct Step
  {
    TimePoint at;
    bool isHead = false;
    Instance* instance = nullptr;
    UpstreamId upstream;
    SentPrompt sent;
    TimePoint sentAt{};

    bool operator>(const Step& aOther) const { return at > aOther.at; }
  };

  void Announce(std::size_t aIndex, int64_t aIncarnation, TimePoint aNow)
  {
    UpstreamEntry entry;
    entry.name = "u" + std::to_string(aIndex);
    entry.service = "engine";
    entry.zone = "east";
    entry.slots = 16;
    entry.incarnation = aIncarnation;
    for (Instance& instance : instances_) {
      engines_[aIndex].id = instance.table.Apply(entry, aNow);
    }
    engines_[aIndex].incarnation = aIncarnation;
  }

  void ReplaceUpstreams(TimePoint aNow)
  {
    for (std::size_t index = 0; index < load_.replacements; ++index) {
      engines_[index].cache =
        EngineCache(static_cast<double>(load_.memoryTokens));
      Announce(index, 2, aNow);
    }
  }

  Prompt DrawPrompt()
  {
    const double rate = load_.longPerSecond + load_.shortPerSecond;
    std::uniform_real_distribution<double> share(0, 1);
    Prompt prompt;
    prompt.model = load_.twoModels && share(random_) < 0.5 ? "large" : "small";
    if (share(random_) * rate >= load_.longPerSecond) {
      prompt.tokens = share(random_) < 0.5 ? 826 : 2'368;
      prompt.outputTokens = 100;
      return prompt;
    }
    std::discrete_distribution<std::size_t> draw(popularity_.begin(),
                                                 popularity_.end());
    const std::size_t prefix =
      share(random_) < load_.hotShare ? 0 : draw(random_);
    prompt.names = { "tools" + std::to_string(prefix % kToolSets),
                     "manual" + std::to_string(prefix) };
    prompt.segments = { { prompt.names[0], kToolsTokens },
                        { prompt.names[1], kManualTokens } };
    std::exponential_distribution<double> own(1.0 / 6'610);
    prompt.tokens = kToolsTokens + kManualTokens + 1 + own(random_);
    prompt.outputTokens = 378;
    return prompt;
  }

  CachingUpstream Describe(UpstreamId aId, const Upstream& aUpstream) const
  {
    return { aId, aUpstream.entry.incarnation, load_.memoryTokens };
  }

  void Send(Instance& aInstance, const Prompt& aPrompt, TimePoint aNow)
  {
    const PromptChain chain =
      aInstance.cache.LookUp(aPrompt.model, aPrompt.segments);
    PlacementRequest request;
    request.service = "engine";
    request.model = aPrompt.model;
    if (!aPrompt.segments.empty()) {
      request.affinityKey = aPrompt.segments.back().id;
    }
    request.sharedTokens = chain.sharedTokens;
    const PlacementContext context{
      aInstance.table,
      evacuatedZones_,
      "east",
      [](const Upstream&) { return 1e9; },
      aNow,
      {},
      false,
      nullptr,
      weighs_,
      [&](UpstreamId aId,
          const Upstream& aUpstream,
          std::optional<std::size_t> aRank) {
        return aInstance.cache.SavedTokens(
          Describe(aId, aUpstream), chain, aRank, aNow);
      }
    };
    core::Reason reason = core::Reason::None;
    const auto chosen = ChooseUpstream(context, request, reason);
    const Upstream& upstream = *aInstance.table.Find(*chosen);
    SentPrompt sent =
      aInstance.cache.RecordSend(Describe(*chosen, upstream),
                                 aPrompt.model,
                                 chain,
                                 CacheOwnerRank(context, request, *chosen),
                                 aPrompt.tokens,
                                 UpstreamTable::PendingTokens(upstream, aNow),
                                 aNow);
    aInstance.table.RecordSend(*chosen, aPrompt.tokens, aNow);
    const auto engine = std::ranges::find(engines_, *chosen, &Engine::id);
    Execute(*engine, aPrompt, chain, aInstance, std::move(sent), aNow);
  }

  void Execute(Engine& aEngine,
               const Prompt& aPrompt,
               const PromptChain& aChain,
               Instance& aInstance,
               SentPrompt aSent,
               TimePoint aNow)
  {
    double uncached = aPrompt.tokens;
    for (const PromptChain::Prefix& prefix : aChain.prefixes) {
      if (aEngine.cache.Use(prefix.hash, prefix.tokens)) {
        uncached -= prefix.tokens;
        result_.cachedTokens += prefix.tokens;
      } else if (!seen_.insert(prefix.hash).second) {
        result_.againTokens += prefix.tokens;
      }
    }
    aEngine.cache.Use(random_(), aPrompt.tokens - aChain.sharedTokens);
    result_.promptTokens += aPrompt.tokens;
    aEngine.busyUntil = std::max(aEngine.busyUntil, aNow) +
                        core::FromSeconds(uncached / kPrefillTokensPerSecond);
    const TimePoint head = aEngine.busyUntil + kLoadedDecodeStep;
    result_.seconds += core::Seconds(head - aNow);
    result_.requests += 1;
    steps_.push({ head, true, &aInstance, aEngine.id, aSent, aNow });
    steps_.push(
      { head + static_cast<int64_t>(aPrompt.outputTokens) * kLoadedDecodeStep,
        false,
        &aInstance,
        aEngine.id,
        std::move(aSent),
        aNow });
  }

  void FinishUntil(TimePoint aNow)
  {
    while (!steps_.empty() && steps_.top().at <= aNow) {
      const Step& step = steps_.top();
      if (step.isHead) {
        step.instance->table.RecordFirstOutput(step.upstream,
                                               step.sent.promptTokens);
        step.instance->cache.RecordResponse(step.sent, step.at - step.sentAt);
      } else {
        step.instance->table.RecordEnd(step.upstream);
        step.instance->cache.RecordEnd(step.sent, step.at - step.sentAt);
      }
      steps_.pop();
    }
  }

  void SendReports(TimePoint aNow)
  {
    std::uniform_real_distribution<double> share(0, 1);
    for (const Engine& engine : engines_) {
      uint32_t requests = 0;
      double tokens = 0;
      for (const Instance& instance : instances_) {
        const Upstream& upstream = *instance.table.Find(engine.id);
        requests += upstream.inFlight;
        tokens += upstream.pendingTokens;
      }
      for (Instance& instance : instances_) {
        if (share(random_) < load_.lostReports) {
          continue;
        }
        const Upstream& upstream = *instance.table.Find(engine.id);
        instance.table.RecordPeerLoad(engine.id,
                                      requests - upstream.inFlight,
                                      tokens - upstream.pendingTokens,
                                      aNow);
        instance.cache.RecordPeerRequests(
          engine.id, requests - upstream.inFlight, aNow);
      }
    }
  }

  const Load load_;
  const bool weighs_;
  std::vector<Instance> instances_;
  std::vector<Engine> engines_;
  std::vector<double> popularity_;
  std::mt19937_64 random_;
  std::set<std::string, std::less<>> evacuatedZones_;
  std::set<uint64_t> seen_;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  Result result_;
};

struct Comparison
{
  Result former;
  Result weighed;
};

Comparison
Compare(const char* aName, const Load& aLoad)
{
  const Comparison both{ Zone(aLoad, false).Run(), Zone(aLoad, true).Run() };
  MESSAGE(std::string(aName)
          << ", " << aLoad.instances << " instances: prefilled again "
          << both.weighed.AgainPercent() << " % of prompt tokens (former "
          << both.former.AgainPercent() << " %), mean time to head "
          << both.weighed.MeanMilliseconds() << " ms (former "
          << both.former.MeanMilliseconds() << " ms), expected "
          << 100 * both.weighed.expectedTokens / both.weighed.promptTokens
          << " % cached, found "
          << 100 * both.weighed.cachedTokens / both.weighed.promptTokens
          << " %, shown as missed "
          << 100 * both.weighed.missedTokens / both.weighed.promptTokens
          << " %");
  // Both runs draw the same prompts.
  CHECK(both.weighed.AgainPercent() <= both.former.AgainPercent());
  CHECK(both.weighed.MeanMilliseconds() <= both.former.MeanMilliseconds());
  return both;
}

} // namespace

TEST_CASE("a hot prefix moves on while its owner is busy and then returns")
{
  // Guards against a prefix that stays at a busy owner, that is sent to other
  // upstreams at random, or that keeps a second owner without need.
  Fixture fixture;
  const UpstreamId first = fixture.Choose("hot");
  CHECK(fixture.Rank("hot", first) == 0U);
  fixture.Send("hot", first);
  CHECK(fixture.Choose("hot") == first);
  fixture.table.RecordSend(first, 3'000, kNow);
  CHECK(fixture.Choose("hot") == first); // less than the saving
  fixture.table.RecordSend(first, 5'000, kNow);
  const UpstreamId second = fixture.Choose("hot");
  CHECK(fixture.Rank("hot", second) == 1U);
  fixture.Send("hot", second);
  CHECK(fixture.Choose("hot") == second);
  fixture.table.RecordFirstOutput(first, 8'000);
  fixture.table.RecordEnd(first);
  fixture.table.RecordEnd(first);
  CHECK(fixture.Choose("hot") == first);
}

TEST_CASE("without weighing, the first owner counts and savings are not asked")
{
  // Guards against a change of earlier deployments' choices.
  Fixture fixture;
  fixture.weighs = false;
  const UpstreamId owner = fixture.Choose("p");
  CHECK(fixture.Rank("p", owner) == 0U);
  fixture.table.RecordSend(owner, 5'001, kNow);
  CHECK(fixture.Choose("p") != owner);
  fixture.table.RecordFirstOutput(owner, 400);
  CHECK(fixture.Choose("p") == owner); // 4,601 and 180 for the request
  CHECK(fixture.asked == 0);
  fixture.weighs = true;
  fixture.Choose("p");
  CHECK(fixture.asked == 6);
}

TEST_CASE("hot prefixes")
{
  for (const std::size_t instances : { 8U, 79U, 295U }) {
    Load load;
    load.instances = instances;
    load.hotShare = 0.33;
    Compare("hot prefix", load);
    load.longPerSecond = 84;
    const Comparison veryHot = Compare("very hot prefix", load);
    CHECK(veryHot.weighed.AgainPercent() <
          0.95 * veryHot.former.AgainPercent());
    CHECK(veryHot.weighed.MeanMilliseconds() <
          0.8 * veryHot.former.MeanMilliseconds());
  }
}

TEST_CASE("a long tail of 1,300 prefixes")
{
  for (const std::size_t instances : { 8U, 79U, 295U }) {
    Load load;
    load.instances = instances;
    Compare("long tail", load);
  }
}

TEST_CASE("a long tail of 1,300 prefixes while half of the reports are lost")
{
  for (const std::size_t instances : { 8U, 79U, 295U }) {
    Load load;
    load.instances = instances;
    load.lostReports = 0.5;
    Compare("long tail, half of the reports lost", load);
  }
}

TEST_CASE("eviction under memory pressure")
{
  for (const std::size_t instances : { 8U, 79U, 295U }) {
    Load load;
    load.instances = instances;
    load.memoryTokens = 60'000;
    Compare("memory pressure", load);
  }
}

TEST_CASE("upstreams are replaced")
{
  for (const std::size_t instances : { 8U, 79U, 295U }) {
    Load load;
    load.instances = instances;
    load.replacements = 24;
    load.hotShare = 0.33;
    Compare("replaced upstreams", load);
  }
}

TEST_CASE("two models")
{
  for (const std::size_t instances : { 8U, 79U, 295U }) {
    Load load;
    load.instances = instances;
    load.twoModels = true;
    load.hotShare = 0.33;
    Compare("two models", load);
  }
}
