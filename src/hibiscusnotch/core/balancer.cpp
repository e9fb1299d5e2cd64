#include "hibiscusnotch/core/balancer.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr std::size_t kMaxPrefixes = 4096;
constexpr double kSuspectSpreadSeconds = 5;

/// Lists the upstreams of all zones that pass the gate.
std::vector<UpstreamId>
AllCandidates(const DispatchCheck& aCheck,
              const Placement& aPlacement,
              Reason& aLastReason)
{
  std::vector<UpstreamId> candidates;
  for (uint32_t zone = 0; zone < aCheck.settings.zones.size(); ++zone) {
    for (const UpstreamId upstream :
         aCheck.upstreams.Serving(aPlacement.version, ZoneId{ zone })) {
      if (DispatchAllowed(aCheck,
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

/// The time until the upstream would work on one more request, in seconds.
double
ExpectedWaitSeconds(const DispatchCheck& aCheck, UpstreamId aUpstream)
{
  const Upstream& upstream = aCheck.settings.At(aUpstream);
  const UpstreamRow& row = aCheck.upstreams.At(aUpstream);
  const double load = aCheck.upstreams.KnownLoad(aCheck.now, aUpstream) + 1;
  const double capacity = std::max(1.0, row.limit);
  const double crowding = load / capacity;
  const double slowdown = crowding * 0.25;
  const double queued = std::max(0.0, load - upstream.capacity) / capacity;
  return row.serviceSeconds * (slowdown + queued);
}

} // namespace

/// Runs the policy that the settings chose.
struct PickVisitor
{
  Balancer& balancer;
  const DispatchCheck& check;
  const Placement& placement;
  Reason& lastReason;

  double Score(const LeastExpectedWait& aPolicy, UpstreamId aUpstream) const
  {
    double score = ExpectedWaitSeconds(check, aUpstream);
    const ZoneId home = check.settings.At(balancer.self_).zone;
    if (check.settings.At(aUpstream).zone != home) {
      score += Seconds(aPolicy.zonePrice);
    }
    if (placement.suspect != 0) {
      score += IsolationPenalty(aUpstream);
    }
    if (aUpstream == placement.avoid) {
      score += 1;
    }
    const auto cached = balancer.prefixes_.find(placement.prefix);
    if (placement.prefix != 0 && cached != balancer.prefixes_.end() &&
        cached->second == aUpstream) {
      score -= Seconds(aPolicy.prefixGain);
    }
    return score;
  }

  /// Spreads suspects, so that one that takes its upstream down again does not
  /// take other suspects with it.
  double IsolationPenalty(UpstreamId aUpstream) const
  {
    const uint64_t draw = MixHash(placement.suspect, aUpstream.value);
    const double spread = static_cast<double>(draw >> 11) * 0x1.0p-53;
    const bool shared = check.upstreams.At(aUpstream).suspects > 0;
    return kSuspectSpreadSeconds * (spread + (shared ? 1 : 0));
  }

  /// Compares a few upstreams of one zone with the best so far.
  void Sample(const LeastExpectedWait& aPolicy,
              ZoneId aZone,
              std::optional<UpstreamId>& aBest,
              double& aBestScore) const
  {
    const auto& all = check.upstreams.Serving(placement.version, aZone);
    const std::size_t samples =
      placement.suspect != 0 ? all.size() : aPolicy.samples;
    const std::size_t count = std::min(samples, all.size());
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
    if (!DispatchAllowed(check,
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
    for (uint32_t zone = 0; zone < check.settings.zones.size(); ++zone) {
      Sample(aPolicy, ZoneId{ zone }, best, bestScore);
    }
    const auto cached = balancer.prefixes_.find(placement.prefix);
    if (placement.prefix != 0 && cached != balancer.prefixes_.end()) {
      Consider(aPolicy, cached->second, best, bestScore);
    }
    if (best) {
      return best;
    }
    for (const UpstreamId upstream :
         AllCandidates(check, placement, lastReason)) {
      Consider(aPolicy, upstream, best, bestScore);
    }
    return best;
  }

  std::optional<UpstreamId> operator()(RoundRobin& aPolicy) const
  {
    const auto candidates = AllCandidates(check, placement, lastReason);
    if (candidates.empty()) {
      return std::nullopt;
    }
    return candidates[aPolicy.next++ % candidates.size()];
  }

  std::optional<UpstreamId> operator()(LeastConnections&) const
  {
    const auto candidates = AllCandidates(check, placement, lastReason);
    const auto least = std::min_element(
      candidates.begin(), candidates.end(), [this](auto aLeft, auto aRight) {
        return check.upstreams.At(aLeft).reported <
               check.upstreams.At(aRight).reported;
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
Balancer::Pick(const DispatchCheck& aCheck,
               const Placement& aPlacement,
               Reason& aLastReason)
{
  const auto picked =
    std::visit(PickVisitor{ *this, aCheck, aPlacement, aLastReason }, policy_);
  if (picked && aPlacement.prefix != 0) {
    if (prefixes_.size() >= kMaxPrefixes) {
      prefixes_.clear();
    }
    prefixes_[aPlacement.prefix] = *picked;
  }
  return picked;
}

} // namespace hibiscusnotch::core
