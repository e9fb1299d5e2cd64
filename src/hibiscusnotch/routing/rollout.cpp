#include "hibiscusnotch/routing/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::routing {

namespace {

// The schedule, in parts of the order's duration. Sessions stay where they
// are through the first half, so the share grows only after it.
constexpr double kTrialShare = 0.06; // of sessions; the bound is 0.12 and more
// The share is halved with each doubling of the fleet from here on: evidence
// needs a number of requests, and each held session is told to all.
constexpr std::size_t kSmallFleet = 20;
// The trial waits until instances have told each other which sessions stay;
// they do so five times a second.
constexpr Duration kTrialDelay{ 1'500'000 };
constexpr Duration kSweepStep{ 1'000'000 }; // of sessions that have ended
// For the time between the end of an answer here and at the caller.
constexpr Duration kSessionMargin{ 500'000 };
constexpr double kGrowFrom = 0.52;
constexpr double kGrowShare = 0.4;
constexpr double kFullFrom = 0.6;
constexpr double kSucceedFrom = 0.72;

constexpr double kEvidenceHalfLife = 8;       // seconds
constexpr double kLeastNormalFailures = 0.02; // share, when none was seen yet
constexpr double kAlarmingRise = 0.25;        // of the failure share
constexpr double kAlarmLevel = 3.5;           // log-likelihood ratio
constexpr double kSlowFactor = 3.5;       // against the other versions' mean
constexpr double kSlowLeastSeconds = 0.1; // below it a delay is not felt
constexpr uint32_t kLatencySamples = 5;   // before a mean is compared with
constexpr double kLatencyWeight = 0.1;

/// Evidence that failures rose, against what the other versions show.
double
Alarm(const AnswerCounts& aTarget, const AnswerCounts& aOthers)
{
  const double normal = std::clamp(
    aOthers.Total() > 0 ? aOthers.bad / (aOthers.Total() + 1) * 1.2 : 0.0,
    kLeastNormalFailures,
    0.7);
  const double risen = std::min(0.95, normal + kAlarmingRise);
  return aTarget.bad * std::log(risen / normal) +
         aTarget.good * std::log((1 - risen) / (1 - normal));
}

void
Add(AnswerCounts& aSum, const AnswerCounts& aPart)
{
  aSum.good += aPart.good;
  aSum.bad += aPart.bad;
}

/// How much of the order's duration is over; above 1 after its deadline.
double
PartOf(const RolloutOrder& aOrder, TimePoint aSeenAt, TimePoint aNow)
{
  return core::Seconds(aNow - aSeenAt) /
         std::max(0.001, core::Seconds(aOrder.duration));
}

double
TrialShare(std::size_t aInstances)
{
  double share = kTrialShare;
  for (; aInstances >= 2 * kSmallFleet; aInstances /= 2) {
    share /= 2;
  }
  return share;
}

/// A hash as a number from 0 to 1.
double
Draw(uint64_t aStableHash)
{
  constexpr double kHashRange = 18446744073709551616.0; // 2 to the 64th
  return static_cast<double>(aStableHash) / kHashRange;
}

/// The low half: the high bits of all held sessions are alike.
uint32_t
ShortHash(uint64_t aStableHash)
{
  return static_cast<uint32_t>(aStableHash);
}

} // namespace

void
Add(RouteCounts& aSum, const RouteCounts& aPart)
{
  for (const auto& [route, counts] : aPart) {
    Add(aSum[route], counts);
  }
}

void
Rollouts::Apply(const RolloutOrder& aOrder,
                TimePoint aNow,
                std::size_t aInstances)
{
  Trial& trial = trials_[aOrder.service];
  if (trial.order.creationRevision != aOrder.creationRevision) {
    std::vector<std::string> unsettled = std::move(trial.unsettled);
    if (!trial.order.target.empty() &&
        trial.order.state != RolloutState::Succeeded) {
      unsettled.push_back(trial.order.target);
    }
    std::erase(unsettled, aOrder.target);
    trial = Trial{};
    trial.unsettled = std::move(unsettled);
    trial.seenAt = aNow;
    trial.decayedAt = aNow;
    trial.own.trialShare = TrialShare(aInstances);
    trial.own.creationRevision = aOrder.creationRevision;
  } else if (trial.order.revision > aOrder.revision) {
    return;
  }
  trial.order = aOrder;
}

void
Rollouts::Remove(std::string_view aService)
{
  const auto trial = trials_.find(aService);
  if (trial != trials_.end()) {
    trials_.erase(trial);
  }
}

double
Rollouts::ExposureAt(const Trial& aTrial, TimePoint aNow)
{
  if (aNow - aTrial.seenAt < kTrialDelay) {
    return 0;
  }
  const double part = PartOf(aTrial.order, aTrial.seenAt, aNow);
  if (part < kGrowFrom) {
    return aTrial.own.trialShare;
  }
  return part < kFullFrom ? kGrowShare : 1.0;
}

VersionRule
Rollouts::RuleFor(std::string_view aService,
                  uint64_t aStableHash,
                  TimePoint aNow) const
{
  const auto found = trials_.find(aService);
  if (found == trials_.end()) {
    return {};
  }
  VersionRule rule = TrialRule(found->second, aStableHash, aNow);
  rule.unsettled = found->second.unsettled;
  return rule;
}

VersionRule
Rollouts::TrialRule(const Trial& aTrial,
                    uint64_t aStableHash,
                    TimePoint aNow) const
{
  const std::string& target = aTrial.order.target;
  if (aTrial.order.state == RolloutState::Succeeded) {
    return { target, "" };
  }
  if (aTrial.order.state == RolloutState::RolledBack || aTrial.bad) {
    return { "", target };
  }
  if (SessionsStay(aTrial, aNow)) {
    if (const std::string* version =
          VersionOf(aTrial.order.service, aStableHash, aNow)) {
      return *version == target ? VersionRule{ target, "" }
                                : VersionRule{ "", target };
    }
    if (peersHeld_.contains(ShortHash(aStableHash))) {
      return { "", target };
    }
  }
  return Draw(aStableHash) < ExposureAt(aTrial, aNow)
           ? VersionRule{ target, "" }
           : VersionRule{ "", target };
}

bool
Rollouts::SessionsStay(const Trial& aTrial, TimePoint aNow)
{
  return PartOf(aTrial.order, aTrial.seenAt, aNow) < kGrowFrom;
}

void
Rollouts::CountSession(std::string_view aService,
                       uint64_t aStableHash,
                       std::string_view aVersion,
                       TimePoint aNow)
{
  ForgetEndedSessions(aNow);
  sessions_[{ std::string(aService), aStableHash }] = { std::string(aVersion),
                                                        aNow };
}

void
Rollouts::ForgetEndedSessions(TimePoint aNow)
{
  if (aNow - sweptAt_ < kSweepStep) {
    return;
  }
  sweptAt_ = aNow;
  std::erase_if(sessions_, [this, aNow](const auto& aRow) {
    return aNow - aRow.second.at > sessionGap_ + kSessionMargin;
  });
}

const std::string*
Rollouts::VersionOf(std::string_view aService,
                    uint64_t aStableHash,
                    TimePoint aNow) const
{
  const auto session =
    sessions_.find(SessionKey{ std::string(aService), aStableHash });
  if (session == sessions_.end() ||
      aNow - session->second.at > sessionGap_ + kSessionMargin) {
    return nullptr;
  }
  return &session->second.version;
}

SessionSet
Rollouts::HeldSessions(TimePoint aNow)
{
  ForgetEndedSessions(aNow);
  SessionSet held;
  for (const auto& [key, session] : sessions_) {
    const auto& [service, hash] = key;
    const auto trial = trials_.find(service);
    if (trial != trials_.end() && SessionsStay(trial->second, aNow) &&
        Draw(hash) < trial->second.own.trialShare &&
        session.version != trial->second.order.target) {
      held.insert(ShortHash(hash));
    }
  }
  return held;
}

void
Rollouts::Decay(Trial& aTrial, TimePoint aNow)
{
  const double seconds = core::Seconds(aNow - aTrial.decayedAt);
  if (seconds < 0.5) {
    return;
  }
  aTrial.decayedAt = aNow;
  const double factor = std::exp2(-seconds / kEvidenceHalfLife);
  for (auto* counts : { &aTrial.own.target, &aTrial.own.others }) {
    for (auto& [route, count] : *counts) {
      count.good *= factor;
      count.bad *= factor;
    }
  }
}

void
Rollouts::CountAnswer(std::string_view aService,
                      std::string_view aVersion,
                      std::string_view aRoute,
                      std::string_view aGroup,
                      bool aGood,
                      Duration aLatency,
                      TimePoint aNow)
{
  const auto found = trials_.find(aService);
  if (found == trials_.end()) {
    return;
  }
  Trial& trial = found->second;
  Decay(trial, aNow);
  const bool target = aVersion == trial.order.target;
  const double seconds = core::Seconds(aLatency);
  bool good = aGood;
  const std::string group(aGroup);
  Latency& others = trial.othersLatency[group];
  if (target && others.count >= kLatencySamples &&
      seconds > kSlowLeastSeconds && seconds > kSlowFactor * others.mean) {
    good = false;
  }
  if (!target && aGood) {
    ++others.count;
    const double weight = std::max(kLatencyWeight, 1.0 / others.count);
    others.mean += weight * (seconds - others.mean);
  }
  auto& counts = target ? trial.own.target : trial.own.others;
  AnswerCounts& count = counts[std::string(aRoute)];
  (good ? count.good : count.bad) += 1;
}

std::map<std::string, RolloutEvidence>
Rollouts::OwnEvidence(TimePoint aNow)
{
  std::map<std::string, RolloutEvidence> evidence;
  for (auto& [service, trial] : trials_) {
    if (trial.order.state == RolloutState::Ordered ||
        trial.order.state == RolloutState::Running) {
      Decay(trial, aNow);
      trial.own.age = aNow - trial.seenAt;
      evidence.emplace(service, trial.own);
    }
  }
  return evidence;
}

void
Rollouts::TakeEvidence(std::string_view aService,
                       std::string_view aInstance,
                       const RolloutEvidence& aEvidence,
                       TimePoint aNow)
{
  const auto trial = trials_.find(aService);
  if (trial != trials_.end() &&
      trial->second.order.creationRevision == aEvidence.creationRevision) {
    trial->second.peers[std::string(aInstance)] = aEvidence;
    // An instance that has just started joins the schedule of the others, and
    // instances that count the fleet differently agree on one share.
    trial->second.seenAt = std::min(trial->second.seenAt, aNow - aEvidence.age);
    double& share = trial->second.own.trialShare;
    share = std::min(share, aEvidence.trialShare);
  }
}

bool
Rollouts::LooksBad(const Trial& aTrial)
{
  RouteCounts target = aTrial.own.target;
  RouteCounts others = aTrial.own.others;
  for (const auto& [instance, evidence] : aTrial.peers) {
    Add(target, evidence.target);
    Add(others, evidence.others);
  }
  AnswerCounts allTarget;
  AnswerCounts allOthers;
  for (const auto& [route, counts] : target) {
    if (Alarm(counts, others[route]) > kAlarmLevel) {
      return true;
    }
    Add(allTarget, counts);
    Add(allOthers, others[route]);
  }
  return Alarm(allTarget, allOthers) > kAlarmLevel;
}

std::optional<RolloutState>
Rollouts::Wanted(std::string_view aService, TimePoint aNow)
{
  const auto found = trials_.find(aService);
  if (found == trials_.end()) {
    return std::nullopt;
  }
  Trial& trial = found->second;
  if (trial.order.state == RolloutState::Succeeded ||
      trial.order.state == RolloutState::RolledBack) {
    return std::nullopt;
  }
  Decay(trial, aNow);
  trial.bad = trial.bad || LooksBad(trial);
  if (trial.bad) {
    return RolloutState::RolledBack;
  }
  if (PartOf(trial.order, trial.seenAt, aNow) >= kSucceedFrom) {
    return RolloutState::Succeeded;
  }
  return trial.order.state == RolloutState::Ordered
           ? std::optional(RolloutState::Running)
           : std::nullopt;
}

const RolloutOrder*
Rollouts::Find(std::string_view aService) const
{
  const auto found = trials_.find(aService);
  return found == trials_.end() ? nullptr : &found->second.order;
}

bool
Rollouts::AnyOpen() const
{
  return std::ranges::any_of(trials_, [](const auto& aTrial) {
    return aTrial.second.order.state == RolloutState::Ordered ||
           aTrial.second.order.state == RolloutState::Running;
  });
}

} // namespace hibiscusnotch::routing
