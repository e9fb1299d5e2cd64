#include "hibiscusnotch/routing/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::routing {

namespace {

// The schedule, as fractions of the order's duration that count only while the
// service is served: sessions are pinned to
// their version through the first half, the canary phase, so the target's share
// grows only after it.
constexpr double kCanaryShare = 0.06; // of sessions; the limit is at least 0.12
// Each doubling of the fleet beyond this size halves the canary share: the
// evidence needs a fixed number of requests, and every pinned session is sent
// to all instances.
constexpr std::size_t kSmallFleetInstances = 20;
// The canary phase starts once instances have exchanged their pinned sessions,
// which they do five times a second.
constexpr Duration kCanaryDelay{ 1'500'000 };
constexpr Duration kSweepInterval{ 1'000'000 }; // for ended sessions
// After a restore of the store, operators write their last orders again.
constexpr Duration kRewriteTime{ 5'000'000 };
// Covers the delay between the end of a response here and at the caller.
constexpr Duration kSessionTimeoutMargin{ 500'000 };
// Part of the operators' exposure limit that is used: instances count sends,
// which the upstreams may refuse.
constexpr double kExposureUse = 0.8;
constexpr double kRampStart = 0.52;
constexpr double kRampShare = 0.4;
constexpr double kFullTrafficStart = 0.6;
constexpr double kSuccessAfter = 0.72;
// Part of the duration, by the clock, after which an order that was interrupted
// ends its canary phase early, so that the later phases fit in before its end.
constexpr double kLatestRampStart = 0.7;
// Answers of the target, in the whole fleet, without which it gets no more
// traffic, and without which it does not succeed.
constexpr double kMinAnswersForTraffic = 2;
constexpr double kMinAnswersForSuccess = 5;

constexpr double kRecentHalfLifeSeconds = 0.5;
constexpr double kMinAnsweredShare = 0.5; // for the schedule to advance
constexpr double kMinRecentArrivals = 2;  // fewer say nothing about an outage
// Peers' recent traffic counts for this time; reports come every 0.2 to 0.6 s.
constexpr Duration kMaxRecentTrafficAge{ 2'000'000 };

constexpr double kEvidenceHalfLifeSeconds = 8;
constexpr double kMinBaselineFailureRate = 0.02; // until failures are observed
constexpr double kFailureRateRise = 0.25;  // failure rate increase to detect
constexpr double kRollbackThreshold = 3.5; // log-likelihood ratio
constexpr double kSlowLatencyRatio = 3.5;  // to the baseline's mean
constexpr double kMinSlowLatencySeconds = 0.1; // shorter is not noticeable
constexpr uint32_t kMinLatencySamples = 5;     // for a baseline mean to be used
constexpr double kLatencyEwmaWeight = 0.1;

/// Log-likelihood ratio of a raised failure rate of the target against the
/// baseline's rate.
double
LogLikelihoodRatio(const AnswerCounts& aTarget, const AnswerCounts& aBaseline)
{
  const double baselineRate = std::clamp(
    aBaseline.Total() > 0 ? aBaseline.bad / (aBaseline.Total() + 1) * 1.2 : 0.0,
    kMinBaselineFailureRate,
    0.7);
  const double raisedRate = std::min(0.95, baselineRate + kFailureRateRise);
  return aTarget.bad * std::log(raisedRate / baselineRate) +
         aTarget.good * std::log((1 - raisedRate) / (1 - baselineRate));
}

void
AddCounts(AnswerCounts& aSum, const AnswerCounts& aAddend)
{
  aSum.good += aAddend.good;
  aSum.bad += aAddend.bad;
}

AnswerCounts
Sum(const RouteCounts& aCounts)
{
  AnswerCounts sum;
  for (const auto& [route, counts] : aCounts) {
    AddCounts(sum, counts);
  }
  return sum;
}

double
FractionOf(const RolloutOrder& aOrder, Duration aPart)
{
  return core::Seconds(aPart) / std::max(0.001, core::Seconds(aOrder.duration));
}

Duration
PartOf(const RolloutOrder& aOrder, double aFraction)
{
  return core::FromSeconds(core::Seconds(aOrder.duration) * aFraction);
}

double
DecayFactor(Duration aTime, double aHalfLifeSeconds)
{
  return std::exp2(-core::Seconds(aTime) / aHalfLifeSeconds);
}

double
CanaryShare(std::size_t aInstances)
{
  double share = kCanaryShare;
  for (; aInstances >= 2 * kSmallFleetInstances; aInstances /= 2) {
    share /= 2;
  }
  return share;
}

/// Maps a hash to the range from 0 to 1.
double
HashFraction(uint64_t aStableHash)
{
  constexpr double kHashRange = 18446744073709551616.0; // 2 to the 64th
  return static_cast<double>(aStableHash) / kHashRange;
}

/// The low half: sessions in the canary share have similar high bits.
uint32_t
ShortHash(uint64_t aStableHash)
{
  return static_cast<uint32_t>(aStableHash);
}

} // namespace

void
AddCounts(RouteCounts& aSum, const RouteCounts& aAddend)
{
  for (const auto& [route, counts] : aAddend) {
    AddCounts(aSum[route], counts);
  }
}

void
Rollouts::StartOrder(Rollout& aRollout,
                     const RolloutOrder& aOrder,
                     TimePoint aNow,
                     FleetShare aFleetShare)
{
  Rollout next;
  next.unproven = std::move(aRollout.unproven);
  next.failed = std::move(aRollout.failed);
  next.restoredAt = aRollout.restoredAt;
  // The versions before this order may be gone by the time of its canaries.
  next.baselineLatency = std::move(aRollout.baselineLatency);
  const RolloutOrder& former = aRollout.order;
  if (!former.target.empty() && !aRollout.succeeded) {
    next.unproven.push_back(former.target);
  }
  if (aRollout.targetFailing || former.state == RolloutState::RolledBack) {
    next.failed.push_back(former.target);
  }
  std::erase(next.unproven, aOrder.target);
  next.targetFailing =
    next.restoredAt && aNow - *next.restoredAt < kRewriteTime &&
    std::ranges::find(next.failed, aOrder.target) != next.failed.end();
  next.exposureSlack = aFleetShare.exposureSlack;
  next.firstSeenAt = aNow;
  next.advancedAt = aNow;
  next.decayedAt = aNow;
  next.recentDecayedAt = aNow;
  next.localEvidence.canaryShare = CanaryShare(aFleetShare.instances);
  next.localEvidence.creationRevision = aOrder.creationRevision;
  next.localEvidence.orderedVersion = aOrder.target;
  aRollout = std::move(next);
}

void
Rollouts::Apply(const RolloutOrder& aOrder,
                TimePoint aNow,
                FleetShare aFleetShare)
{
  Rollout& rollout = rollouts_[aOrder.service];
  const RolloutOrder& known = rollout.order;
  if (aOrder.era < known.era) {
    return; // read before the store was restored
  }
  const bool newEra = aOrder.era > known.era && !known.target.empty();
  if (newEra) {
    rollout.restoredAt = aNow;
  }
  const bool sameTarget = aOrder.target == known.target;
  if (newEra && sameTarget) {
    rollout.localEvidence.creationRevision = aOrder.creationRevision;
    rollout.targetFailing =
      rollout.targetFailing || known.state == RolloutState::RolledBack;
  } else if (!sameTarget || aOrder.creationRevision != known.creationRevision) {
    StartOrder(rollout, aOrder, aNow, aFleetShare);
  } else if (known.revision > aOrder.revision) {
    return;
  }
  rollout.order = aOrder;
  rollout.succeeded =
    rollout.succeeded || aOrder.state == RolloutState::Succeeded;
}

void
Rollouts::Remove(std::string_view aService)
{
  const auto rollout = rollouts_.find(aService);
  if (rollout != rollouts_.end()) {
    rollouts_.erase(rollout);
  }
}

double
Rollouts::TargetShareAt(const Rollout& aRollout, TimePoint aNow)
{
  if (ProgressAt(aRollout, aNow) < kCanaryDelay) {
    return 0;
  }
  const double progress = ProgressFraction(aRollout, aNow);
  if (progress < kRampStart) {
    return aRollout.localEvidence.canaryShare;
  }
  return progress < kFullTrafficStart ? kRampShare : 1.0;
}

bool
Rollouts::IsServed(const Rollout& aRollout, TimePoint aNow)
{
  const double factor =
    DecayFactor(aNow - aRollout.recentDecayedAt, kRecentHalfLifeSeconds);
  double arrivals = aRollout.localEvidence.recent.arrivals * factor;
  double answers = aRollout.localEvidence.recent.answers * factor;
  for (const auto& [instance, peer] : aRollout.peerEvidence) {
    if (aNow - peer.receivedAt <= kMaxRecentTrafficAge) {
      arrivals += peer.evidence.recent.arrivals;
      answers += peer.evidence.recent.answers;
    }
  }
  return arrivals < kMinRecentArrivals ||
         answers >= kMinAnsweredShare * arrivals;
}

Duration
Rollouts::ProgressAt(const Rollout& aRollout, TimePoint aNow)
{
  const Duration progress =
    aRollout.progress +
    (IsServed(aRollout, aNow) ? aNow - aRollout.advancedAt : Duration::zero());
  const Duration fullTraffic = PartOf(aRollout.order, kFullTrafficStart);
  if (aRollout.progress < fullTraffic && progress >= fullTraffic &&
      TargetAnswers(aRollout) < kMinAnswersForTraffic) {
    return fullTraffic - Duration{ 1 };
  }
  return progress;
}

double
Rollouts::ProgressFraction(const Rollout& aRollout, TimePoint aNow)
{
  return FractionOf(aRollout.order, ProgressAt(aRollout, aNow));
}

void
Rollouts::Advance(Rollout& aRollout, TimePoint aNow)
{
  aRollout.progress = ProgressAt(aRollout, aNow);
  aRollout.advancedAt = aNow;
  const Duration rampStart = PartOf(aRollout.order, kRampStart);
  if (aRollout.progress < rampStart &&
      FractionOf(aRollout.order, aNow - aRollout.firstSeenAt) >=
        kLatestRampStart &&
      IsServed(aRollout, aNow) &&
      TargetAnswers(aRollout) >= kMinAnswersForTraffic) {
    aRollout.progress = rampStart;
  }
}

double
Rollouts::TargetAnswers(const Rollout& aRollout)
{
  return Sum(FleetCounts(aRollout, &RolloutEvidence::target)).Total();
}

VersionConstraint
Rollouts::ConstraintFor(std::string_view aService,
                        uint64_t aStableHash,
                        TimePoint aNow) const
{
  const auto found = rollouts_.find(aService);
  if (found == rollouts_.end()) {
    return {};
  }
  VersionConstraint constraint =
    CanaryConstraint(found->second, aStableHash, aNow);
  constraint.unproven = found->second.unproven;
  return constraint;
}

VersionConstraint
Rollouts::CanaryConstraint(const Rollout& aRollout,
                           uint64_t aStableHash,
                           TimePoint aNow) const
{
  const std::string& target = aRollout.order.target;
  if (aRollout.succeeded) {
    return { target, "" };
  }
  if (aRollout.order.state == RolloutState::RolledBack ||
      aRollout.targetFailing) {
    return { "", target };
  }
  if (SessionsPinned(aRollout, aNow)) {
    if (const std::string* version =
          SessionVersion(aRollout.order.service, aStableHash, aNow)) {
      return *version == target ? CanaryTarget(aRollout)
                                : VersionConstraint{ "", target };
    }
    if (peerPinnedSessions_.contains(ShortHash(aStableHash))) {
      return { "", target };
    }
    return HashFraction(aStableHash) < TargetShareAt(aRollout, aNow)
             ? CanaryTarget(aRollout)
             : VersionConstraint{ "", target };
  }
  return HashFraction(aStableHash) < TargetShareAt(aRollout, aNow)
           ? VersionConstraint{ target, "" }
           : VersionConstraint{ "", target };
}

bool
Rollouts::ExposureLeft(const Rollout& aRollout) const
{
  return aRollout.targetSends + 1 <=
         aRollout.exposureSlack +
           kExposureUse * options_.maxExposureShare * aRollout.sends;
}

VersionConstraint
Rollouts::CanaryTarget(const Rollout& aRollout) const
{
  VersionConstraint constraint{ aRollout.order.target, "" };
  constraint.exposureUsedUp = !ExposureLeft(aRollout);
  return constraint;
}

void
Rollouts::RecordArrival(std::string_view aService, TimePoint aNow)
{
  const auto found = rollouts_.find(aService);
  if (found != rollouts_.end()) {
    // The time before this request is judged without it.
    Advance(found->second, aNow);
    DecayRecent(found->second, aNow);
    found->second.localEvidence.recent.arrivals += 1;
  }
}

void
Rollouts::RecordSend(std::string_view aService, std::string_view aVersion)
{
  const auto found = rollouts_.find(aService);
  if (found != rollouts_.end()) {
    Rollout& rollout = found->second;
    ++rollout.sends;
    rollout.targetSends += aVersion == rollout.order.target ? 1 : 0;
  }
}

bool
Rollouts::SessionsPinned(const Rollout& aRollout, TimePoint aNow)
{
  return ProgressFraction(aRollout, aNow) < kRampStart;
}

void
Rollouts::RecordSessionVersion(std::string_view aService,
                               uint64_t aStableHash,
                               std::string_view aVersion,
                               TimePoint aNow)
{
  RemoveIdleSessions(aNow);
  sessions_[{ std::string(aService), aStableHash }] = { std::string(aVersion),
                                                        aNow };
}

void
Rollouts::RemoveIdleSessions(TimePoint aNow)
{
  if (aNow - lastSweepAt_ < kSweepInterval) {
    return;
  }
  lastSweepAt_ = aNow;
  std::erase_if(sessions_, [this, aNow](const auto& aSession) {
    return aNow - aSession.second.at >
           options_.sessionIdleTimeout + kSessionTimeoutMargin;
  });
}

const std::string*
Rollouts::SessionVersion(std::string_view aService,
                         uint64_t aStableHash,
                         TimePoint aNow) const
{
  const auto session =
    sessions_.find(SessionKey{ std::string(aService), aStableHash });
  if (session == sessions_.end() ||
      aNow - session->second.at >
        options_.sessionIdleTimeout + kSessionTimeoutMargin) {
    return nullptr;
  }
  return &session->second.version;
}

SessionHashes
Rollouts::PinnedSessions(TimePoint aNow)
{
  RemoveIdleSessions(aNow);
  SessionHashes pinned;
  for (const auto& [key, session] : sessions_) {
    const auto& [service, hash] = key;
    const auto rollout = rollouts_.find(service);
    if (rollout != rollouts_.end() && SessionsPinned(rollout->second, aNow) &&
        HashFraction(hash) < rollout->second.localEvidence.canaryShare &&
        session.version != rollout->second.order.target) {
      pinned.insert(ShortHash(hash));
    }
  }
  return pinned;
}

void
Rollouts::Decay(Rollout& aRollout, TimePoint aNow)
{
  const double seconds = core::Seconds(aNow - aRollout.decayedAt);
  if (seconds < 0.5) {
    return;
  }
  const double factor =
    DecayFactor(aNow - aRollout.decayedAt, kEvidenceHalfLifeSeconds);
  aRollout.decayedAt = aNow;
  for (auto* counts :
       { &aRollout.localEvidence.target, &aRollout.localEvidence.baseline }) {
    for (auto& [route, count] : *counts) {
      count.good *= factor;
      count.bad *= factor;
    }
  }
}

void
Rollouts::DecayRecent(Rollout& aRollout, TimePoint aNow)
{
  const double factor =
    DecayFactor(aNow - aRollout.recentDecayedAt, kRecentHalfLifeSeconds);
  aRollout.recentDecayedAt = aNow;
  aRollout.localEvidence.recent.arrivals *= factor;
  aRollout.localEvidence.recent.answers *= factor;
}

void
Rollouts::RecordAnswer(std::string_view aService,
                       std::string_view aVersion,
                       std::string_view aRoute,
                       std::string_view aGroup,
                       bool aGood,
                       Duration aLatency,
                       TimePoint aNow)
{
  const auto found = rollouts_.find(aService);
  if (found == rollouts_.end()) {
    return;
  }
  Rollout& rollout = found->second;
  Decay(rollout, aNow);
  DecayRecent(rollout, aNow);
  rollout.localEvidence.recent.answers += 1;
  const bool target = aVersion == rollout.order.target;
  const double seconds = core::Seconds(aLatency);
  bool good = aGood;
  const std::string group(aGroup);
  LatencyAverage& baseline = rollout.baselineLatency[group];
  if (target && baseline.count >= kMinLatencySamples &&
      seconds > kMinSlowLatencySeconds &&
      seconds > kSlowLatencyRatio * baseline.mean) {
    good = false;
  }
  const bool proven =
    std::ranges::find(rollout.unproven, aVersion) == rollout.unproven.end();
  if (!target && aGood && proven) {
    ++baseline.count;
    const double weight = std::max(kLatencyEwmaWeight, 1.0 / baseline.count);
    baseline.mean += weight * (seconds - baseline.mean);
  }
  auto& counts =
    target ? rollout.localEvidence.target : rollout.localEvidence.baseline;
  AnswerCounts& count = counts[std::string(aRoute)];
  (good ? count.good : count.bad) += 1;
}

std::map<std::string, RolloutEvidence>
Rollouts::LocalEvidence(TimePoint aNow)
{
  std::map<std::string, RolloutEvidence> evidence;
  for (auto& [service, rollout] : rollouts_) {
    if (rollout.order.state == RolloutState::Ordered ||
        rollout.order.state == RolloutState::Running) {
      Decay(rollout, aNow);
      DecayRecent(rollout, aNow);
      Advance(rollout, aNow);
      rollout.localEvidence.age = aNow - rollout.firstSeenAt;
      rollout.localEvidence.progress = rollout.progress;
      evidence.emplace(service, rollout.localEvidence);
    }
  }
  return evidence;
}

void
Rollouts::SetPeerEvidence(std::string_view aService,
                          std::string_view aInstance,
                          const RolloutEvidence& aEvidence,
                          TimePoint aNow)
{
  const auto found = rollouts_.find(aService);
  if (found == rollouts_.end()) {
    return;
  }
  Rollout& rollout = found->second;
  if (rollout.order.creationRevision != aEvidence.creationRevision ||
      rollout.order.target != aEvidence.orderedVersion) {
    return;
  }
  Advance(rollout, aNow);
  rollout.peerEvidence[std::string(aInstance)] = { aEvidence, aNow };
  // An instance that has just started adopts the schedule of the others, and
  // instances with different views of the fleet's size agree on the lowest
  // share.
  rollout.firstSeenAt = std::min(rollout.firstSeenAt, aNow - aEvidence.age);
  rollout.progress =
    std::max(rollout.progress, aEvidence.progress.value_or(aEvidence.age));
  double& share = rollout.localEvidence.canaryShare;
  share = std::min(share, aEvidence.canaryShare);
}

RouteCounts
Rollouts::FleetCounts(const Rollout& aRollout,
                      RouteCounts RolloutEvidence::*aCounts)
{
  RouteCounts sum = aRollout.localEvidence.*aCounts;
  for (const auto& [instance, peer] : aRollout.peerEvidence) {
    AddCounts(sum, peer.evidence.*aCounts);
  }
  return sum;
}

bool
Rollouts::IsTargetFailing(const Rollout& aRollout)
{
  const RouteCounts target = FleetCounts(aRollout, &RolloutEvidence::target);
  RouteCounts baseline = FleetCounts(aRollout, &RolloutEvidence::baseline);
  AnswerCounts allTarget;
  AnswerCounts allBaseline;
  for (const auto& [route, counts] : target) {
    if (LogLikelihoodRatio(counts, baseline[route]) > kRollbackThreshold) {
      return true;
    }
    AddCounts(allTarget, counts);
    AddCounts(allBaseline, baseline[route]);
  }
  return LogLikelihoodRatio(allTarget, allBaseline) > kRollbackThreshold;
}

std::optional<RolloutState>
Rollouts::NextState(std::string_view aService, TimePoint aNow)
{
  const auto found = rollouts_.find(aService);
  if (found == rollouts_.end()) {
    return std::nullopt;
  }
  Rollout& rollout = found->second;
  if (rollout.order.state == RolloutState::Succeeded ||
      rollout.order.state == RolloutState::RolledBack) {
    return std::nullopt;
  }
  Decay(rollout, aNow);
  Advance(rollout, aNow);
  rollout.targetFailing = rollout.targetFailing || IsTargetFailing(rollout);
  if (rollout.succeeded) {
    return RolloutState::Succeeded; // a restored store has forgotten it
  }
  if (rollout.targetFailing) {
    return RolloutState::RolledBack;
  }
  if (ProgressFraction(rollout, aNow) >= kSuccessAfter &&
      TargetAnswers(rollout) >= kMinAnswersForSuccess) {
    return RolloutState::Succeeded;
  }
  return rollout.order.state == RolloutState::Ordered
           ? std::optional(RolloutState::Running)
           : std::nullopt;
}

RolloutObservation
Rollouts::Observation(std::string_view aService, TimePoint aNow) const
{
  const auto found = rollouts_.find(aService);
  if (found == rollouts_.end()) {
    return {};
  }
  const Rollout& rollout = found->second;
  return { aNow - rollout.firstSeenAt,
           ProgressAt(rollout, aNow),
           Sum(FleetCounts(rollout, &RolloutEvidence::target)),
           Sum(FleetCounts(rollout, &RolloutEvidence::baseline)) };
}

const RolloutOrder*
Rollouts::Find(std::string_view aService) const
{
  const auto found = rollouts_.find(aService);
  return found == rollouts_.end() ? nullptr : &found->second.order;
}

bool
Rollouts::AnyUnfinished() const
{
  return std::ranges::any_of(rollouts_, [](const auto& aRollout) {
    return aRollout.second.order.state == RolloutState::Ordered ||
           aRollout.second.order.state == RolloutState::Running;
  });
}

} // namespace hibiscusnotch::routing
