#include "hibiscusnotch/core/balancer.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr std::size_t kMaxPrefixes = 4096;
constexpr double kPoisonIsolationSeconds = 5;

/// Lists the upstreams of all zones that the dispatch gate allows.
std::vector<UpstreamId>
DispatchableUpstreams(const DispatchContext& aContext,
                      const Placement& aPlacement,
                      Reason& aLastReason)
{
  std::vector<UpstreamId> candidates;
  for (uint32_t zone = 0; zone < aContext.settings.zones.size(); ++zone) {
    for (const UpstreamId upstream : aContext.upstreams.UpstreamsServing(
           aPlacement.version, ZoneId{ zone })) {
      if (DispatchAllowed(aContext,
                          aPlacement.organisation,
                          aPlacement.version,
                          upstream,
                          aLastReason)) {
        candidates.push_back(upstream);
      }
    }
  }
  return candidates;
}

/// Estimated delay for one more request: slowdown under load and queueing.
double
ExpectedWaitSeconds(const DispatchContext& aContext, UpstreamId aUpstream)
{
  const Upstream& upstream = aContext.settings.At(aUpstream);
  const UpstreamState& upstreamState = aContext.upstreams.At(aUpstream);
  const double load = aContext.upstreams.KnownLoad(aContext.now, aUpstream) + 1;
  const double capacity = std::max(1.0, upstreamState.limit);
  const double utilisation = load / capacity;
  const double slowdown = utilisation * 0.25;
  const double queued = std::max(0.0, load - upstream.capacity) / capacity;
  return upstreamState.serviceSeconds * (slowdown + queued);
}

} // namespace

/// Applies the configured balancing policy.
struct PickVisitor
{
  Balancer& balancer;
  const DispatchContext& context;
  const Placement& placement;
  Reason& lastReason;

  double Score(const LeastExpectedWait& aPolicy, UpstreamId aUpstream) const
  {
    double score = ExpectedWaitSeconds(context, aUpstream);
    const ZoneId ownZone = context.settings.At(balancer.self_).zone;
    if (context.settings.At(aUpstream).zone != ownZone) {
      score += Seconds(aPolicy.crossZonePenalty);
    }
    if (placement.poisonFingerprint != 0) {
      score += IsolationPenalty(aUpstream);
    }
    if (aUpstream == placement.avoidUpstream) {
      score += 1;
    }
    const auto cached = balancer.upstreamByPrefix_.find(placement.prefix);
    if (placement.prefix != 0 && cached != balancer.upstreamByPrefix_.end() &&
        cached->second == aUpstream) {
      score -= Seconds(aPolicy.cachedPrefixBonus);
    }
    return score;
  }

  /// Spreads suspected poison requests over upstreams, so that one that crashes
  /// its upstream does not crash other suspects' attempts with it.
  double IsolationPenalty(UpstreamId aUpstream) const
  {
    const uint64_t draw = MixHash(placement.poisonFingerprint, aUpstream.value);
    const double spread = static_cast<double>(draw >> 11) * 0x1.0p-53;
    const bool shared = context.upstreams.At(aUpstream).poisonSuspects > 0;
    return kPoisonIsolationSeconds * (spread + (shared ? 1 : 0));
  }

  /// Compares a sample of the zone's upstreams with the best so far.
  void ConsiderSample(const LeastExpectedWait& aPolicy,
                      ZoneId aZone,
                      std::optional<UpstreamId>& aBest,
                      double& aBestScore) const
  {
    const auto& all =
      context.upstreams.UpstreamsServing(placement.version, aZone);
    const std::size_t samplesPerZone =
      placement.poisonFingerprint != 0 ? all.size() : aPolicy.samplesPerZone;
    const std::size_t count = std::min(samplesPerZone, all.size());
    const std::size_t start = all.empty() ? 0 : balancer.random_() % all.size();
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t index = count == all.size()
                                  ? (start + i) % all.size()
                                  : balancer.random_() % all.size();
      Consider(aPolicy, all[index], aBest, aBestScore);
    }
  }

  void Consider(const LeastExpectedWait& aPolicy,
                UpstreamId aUpstream,
                std::optional<UpstreamId>& aBest,
                double& aBestScore) const
  {
    if (!DispatchAllowed(context,
                         placement.organisation,
                         placement.version,
                         aUpstream,
                         lastReason)) {
      return;
    }
    const double score = Score(aPolicy, aUpstream);
    if (!aBest || score < aBestScore) {
      aBest = aUpstream;
      aBestScore = score;
    }
  }

  std::optional<UpstreamId> operator()(LeastExpectedWait& aPolicy) const
  {
    std::optional<UpstreamId> best;
    double bestScore = 0;
    for (uint32_t zone = 0; zone < context.settings.zones.size(); ++zone) {
      ConsiderSample(aPolicy, ZoneId{ zone }, best, bestScore);
    }
    const auto cached = balancer.upstreamByPrefix_.find(placement.prefix);
    if (placement.prefix != 0 && cached != balancer.upstreamByPrefix_.end()) {
      Consider(aPolicy, cached->second, best, bestScore);
    }
    if (best) {
      return best;
    }
    for (const UpstreamId upstream :
         DispatchableUpstreams(context, placement, lastReason)) {
      Consider(aPolicy, upstream, best, bestScore);
    }
    return best;
  }

  std::optional<UpstreamId> operator()(RoundRobin& aPolicy) const
  {
    const auto candidates =
      DispatchableUpstreams(context, placement, lastReason);
    if (candidates.empty()) {
      return std::nullopt;
    }
    return candidates[aPolicy.next++ % candidates.size()];
  }

  std::optional<UpstreamId> operator()(LeastConnections&) const
  {
    const auto candidates =
      DispatchableUpstreams(context, placement, lastReason);
    const auto least = std::min_element(
      candidates.begin(), candidates.end(), [this](auto aLeft, auto aRight) {
        return context.upstreams.At(aLeft).reportedRunning <
               context.upstreams.At(aRight).reportedRunning;
      });
    return least == candidates.end() ? std::nullopt : std::optional(*least);
  }
};

Balancer::Balancer(InstanceId aSelf, BalancePolicy aPolicy, uint64_t aSeed)
  : self_(aSelf)
  , policy_(aPolicy)
  , random_(aSeed)
{
}

std::optional<UpstreamId>
Balancer::Pick(const DispatchContext& aContext,
               const Placement& aPlacement,
               Reason& aLastReason)
{
  const auto picked = std::visit(
    PickVisitor{ *this, aContext, aPlacement, aLastReason }, policy_);
  if (picked && aPlacement.prefix != 0) {
    if (upstreamByPrefix_.size() >= kMaxPrefixes) {
      upstreamByPrefix_.clear();
    }
    upstreamByPrefix_[aPlacement.prefix] = *picked;
  }
  return picked;
}

} // namespace hibiscusnotch::core
