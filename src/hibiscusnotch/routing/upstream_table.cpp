#include "hibiscusnotch/routing/upstream_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace hibiscusnotch::routing {

namespace {

constexpr Duration kInitialSuspicion{
  400'000
};                                             // longer than a connect timeout
constexpr Duration kMaxSuspicion{ 3'000'000 }; // about the time of a restart
// The span in which a brittle upstream counts its rejections.
constexpr Duration kMinRejectionPause{ 1'000'000 };
constexpr uint32_t kMaxRejectionDoublings = 3;
// Responses at the median's pace that are added to those observed of an
// upstream: single ones vary by the prompts that other instances sent.
constexpr double kPriorResponses = 3;
constexpr double kOutcomeEwmaWeight = 0.15; // averages about seven outcomes
constexpr double kMaxOutcomeCount = 20;

} // namespace

UpstreamId
UpstreamTable::Apply(const UpstreamEntry& aEntry, TimePoint aNow)
{
  NotifyCapacity();
  const auto known = byName_.find(aEntry.name);
  if (known != byName_.end()) {
    Upstream& upstream = rows_.at(known->second);
    const bool same =
      upstream.entry.incarnation == aEntry.incarnation &&
      upstream.entry.endpoint.address == aEntry.endpoint.address &&
      upstream.entry.endpoint.port == aEntry.endpoint.port &&
      upstream.entry.service == aEntry.service;
    if (same) {
      upstream.entry = aEntry;
      upstream.lapsesAt.reset();
      if (aEntry.leaving) {
        RecordLeaving(known->second, aNow);
      }
      upstream.coldUntil =
        std::max(upstream.coldUntil, aNow + aEntry.coldRemaining);
      if (aEntry.coldRemaining == Duration::zero()) {
        upstream.coldUntil = std::min(upstream.coldUntil, aNow);
      }
      upstream.announcedColdUntil = aNow + aEntry.coldRemaining;
      return known->second;
    }
    upstream.removed = true;
    byName_.erase(known);
  }
  const UpstreamId id{ nextId_++ };
  Upstream upstream;
  upstream.entry = aEntry;
  upstream.coldUntil = aNow + aEntry.coldRemaining;
  upstream.announcedColdUntil = upstream.coldUntil;
  upstream.announcedLeaving = aEntry.leaving;
  ApplyDeparted(upstream, aNow);
  if (upstream.announcedLeaving) {
    RecordDeparted(upstream, aNow);
  }
  rows_.emplace(id, std::move(upstream));
  byName_.emplace(aEntry.name, id);
  return id;
}

void
UpstreamTable::Remove(std::string_view aName, TimePoint aNow)
{
  const auto known = byName_.find(aName);
  if (known == byName_.end()) {
    return;
  }
  Upstream& upstream = rows_.at(known->second);
  RecordDeparted(upstream, aNow);
  upstream.removed = true;
  byName_.erase(known);
}

void
UpstreamTable::Lapse(std::string_view aName, TimePoint aMayReturnUntil)
{
  const auto known = byName_.find(aName);
  if (known != byName_.end() && !rows_.at(known->second).lapsesAt) {
    rows_.at(known->second).lapsesAt = aMayReturnUntil;
  }
}

void
UpstreamTable::RecordDeparted(const Upstream& aUpstream, TimePoint aNow)
{
  departed_[aUpstream.entry.name] = { aUpstream.entry.incarnation,
                                      aUpstream.announcedLeaving,
                                      aNow };
}

void
UpstreamTable::ApplyDeparted(Upstream& aUpstream, TimePoint aNow) const
{
  const auto found = departed_.find(aUpstream.entry.name);
  if (found == departed_.end() ||
      found->second.incarnation != aUpstream.entry.incarnation) {
    return;
  }
  if (found->second.leaving) {
    aUpstream.announcedLeaving = true;
  } else if (restoredAt_ && found->second.at < *restoredAt_ &&
             aNow - *restoredAt_ < kRestoredEntryHold) {
    aUpstream.heldUntil = *restoredAt_ + kRestoredEntryHold;
  }
}

void
UpstreamTable::RecordLeaving(UpstreamId aId, TimePoint aNow)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->announcedLeaving = true;
    RecordDeparted(*upstream, aNow);
  }
}

void
UpstreamTable::RecordBackoff(UpstreamId aId, TimePoint aUntil)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->backoffUntil = std::max(upstream->backoffUntil, aUntil);
  }
}

bool
UpstreamTable::RecordRequestLimit(UpstreamId aId,
                                  std::optional<double> aPerSecond,
                                  TimePoint aStatedAt,
                                  LimitSource aSource)
{
  Upstream* upstream = Find(aId);
  if (!upstream || aStatedAt < upstream->limitStatedAt ||
      (!aPerSecond && !upstream->requestLimit)) {
    return false;
  }
  upstream->limitStatedAt = aStatedAt;
  upstream->limitSource = aSource;
  const bool changed =
    std::exchange(upstream->requestLimit, aPerSecond) != aPerSecond;
  limitChanges_ += changed ? 1 : 0;
  NotifyCapacity();
  return changed;
}

void
UpstreamTable::RecordRejection(UpstreamId aId, TimePoint aNow)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->rejectingUntil =
      aNow +
      kMinRejectionPause * (1U << std::min(upstream->consecutiveRejections,
                                           kMaxRejectionDoublings));
    ++upstream->consecutiveRejections;
  }
}

void
UpstreamTable::RecordAcceptance(UpstreamId aId)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->consecutiveRejections = 0;
  }
}

void
UpstreamTable::SetSendRate(UpstreamId aId, double aPerSecond, TimePoint aNow)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->pacer.SetRate(aPerSecond, aNow);
    NotifyCapacity();
  }
}

void
UpstreamTable::Sweep(TimePoint aNow)
{
  std::erase_if(departed_, [aNow](const auto& aDeparted) {
    return aNow - aDeparted.second.at > kDepartedMemory;
  });
  for (auto next = rows_.begin(); next != rows_.end();) {
    Upstream& upstream = next->second;
    if (upstream.requestLimit && upstream.pacer.Rate() <= 0 &&
        aNow - upstream.limitStatedAt > kUnheardLimitLifetime) {
      upstream.requestLimit.reset();
      ++limitChanges_;
    }
    if (!upstream.removed && upstream.lapsesAt && aNow >= *upstream.lapsesAt) {
      RecordDeparted(upstream, aNow);
      upstream.removed = true;
      byName_.erase(upstream.entry.name);
    }
    next = upstream.removed && upstream.inFlight == 0 ? rows_.erase(next)
                                                      : std::next(next);
  }
}

Upstream*
UpstreamTable::Find(UpstreamId aId)
{
  const auto found = rows_.find(aId);
  return found == rows_.end() ? nullptr : &found->second;
}

const Upstream*
UpstreamTable::Find(UpstreamId aId) const
{
  const auto found = rows_.find(aId);
  return found == rows_.end() ? nullptr : &found->second;
}

std::optional<UpstreamId>
UpstreamTable::FindByName(std::string_view aName) const
{
  const auto known = byName_.find(aName);
  if (known == byName_.end()) {
    return std::nullopt;
  }
  return known->second;
}

void
UpstreamTable::RecordSend(UpstreamId aId, double aPromptTokens, TimePoint aNow)
{
  if (Upstream* upstream = Find(aId)) {
    ++upstream->inFlight;
    upstream->pendingTokens += aPromptTokens;
    if (upstream->requestLimit) {
      upstream->pacer.RecordSend(aNow);
    }
    while (!upstream->recentSends.empty() &&
           aNow - upstream->recentSends.front() > Duration{ 1'000'000 }) {
      upstream->recentSends.pop_front();
    }
    if (aNow < upstream->coldUntil) {
      upstream->recentSends.push_back(aNow);
    }
  }
}

void
UpstreamTable::RecordFirstOutput(UpstreamId aId, double aPromptTokens)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->pendingTokens =
      std::max(0.0, upstream->pendingTokens - aPromptTokens);
  }
}

void
UpstreamTable::RecordEnd(UpstreamId aId)
{
  if (Upstream* upstream = Find(aId); upstream && upstream->inFlight > 0) {
    --upstream->inFlight;
    NotifyCapacity();
  }
}

void
UpstreamTable::RecordReportedLoad(UpstreamId aId,
                                  const ReportedLoad& aLoad,
                                  TimePoint aNow)
{
  if (Upstream* upstream = Find(aId)) {
    const double total = aLoad.running + aLoad.waiting;
    upstream->reportedPeerLoad = std::max(0.0, total - upstream->inFlight);
    upstream->reportedAt = aNow;
  }
}

void
UpstreamTable::RecordSlowdown(UpstreamId aId, double aSlowdown, TimePoint aNow)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->slowdown = aSlowdown;
    upstream->slowdownAt = aNow;
    if (!StatesSlowdown(upstream->entry.service)) {
      slowdownServices_.insert(upstream->entry.service);
    }
  }
}

void
UpstreamTable::RecordResponseTime(UpstreamId aId,
                                  double aObserved,
                                  double aExpected,
                                  TimePoint aNow)
{
  Upstream* upstream = Find(aId);
  if (!upstream || aExpected <= 0) {
    return;
  }
  upstream->ownSpeed.Add(aObserved, aExpected, aNow);
  meanResponse_ = meanResponse_.At(aNow);
  meanResponse_.observed += 1;
  meanResponse_.expected += aExpected;
  if (aNow - speedsUpdatedAt_ >= kSpeedUpdateInterval) {
    speedsUpdatedAt_ = aNow;
    UpdateSpeeds(aNow);
  }
}

void
UpstreamTable::RecordPeerSpeed(UpstreamId aId, const SpeedSums& aSums)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->peerSpeed = aSums;
  }
}

void
UpstreamTable::UpdateSpeeds(TimePoint aNow)
{
  struct ServiceSpeeds
  {
    std::vector<Upstream*> upstreams;
    std::vector<SpeedSums> sums;
  };
  std::map<std::string_view, ServiceSpeeds> services;
  for (auto& [id, upstream] : rows_) {
    if (upstream.removed) {
      continue;
    }
    SpeedSums sums = upstream.ownSpeed.At(aNow);
    const SpeedSums peers = upstream.peerSpeed.At(aNow);
    sums.observed += peers.observed;
    sums.expected += peers.expected;
    ServiceSpeeds& service = services[upstream.entry.service];
    service.upstreams.push_back(&upstream);
    service.sums.push_back(sums);
  }
  const double prior =
    kPriorResponses * meanResponse_.expected / meanResponse_.observed;
  for (const auto& [name, service] : services) {
    const std::vector<double> factors = SpeedFactors(service.sums, prior);
    for (std::size_t index = 0; index < factors.size(); ++index) {
      service.upstreams[index]->speed = factors[index];
    }
  }
}

std::optional<uint64_t>
UpstreamTable::RecordUnreadableLoad(TimePoint aNow)
{
  ++unreadableLoads_;
  if (unreadableLoadLoggedAt_ &&
      aNow - *unreadableLoadLoggedAt_ < kUnreadableLoadLogInterval) {
    return std::nullopt;
  }
  unreadableLoadLoggedAt_ = aNow;
  return std::exchange(unreadableLoads_, 0);
}

void
UpstreamTable::RecordOutcome(UpstreamId aId, bool aGood)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->failureRate +=
      kOutcomeEwmaWeight * ((aGood ? 0.0 : 1.0) - upstream->failureRate);
    upstream->outcomeCount =
      std::min(kMaxOutcomeCount, upstream->outcomeCount + 1);
  }
}

void
UpstreamTable::RecordUnreachable(UpstreamId aId,
                                 Duration aColdStart,
                                 TimePoint aNow)
{
  if (Upstream* upstream = Find(aId)) {
    const uint32_t doublings =
      std::min<uint32_t>(upstream->consecutiveFailures, 4);
    if (upstream->consecutiveFailures++ == 0) {
      upstream->failingSince = aNow;
    }
    upstream->suspectUntil =
      aNow + std::min(kMaxSuspicion, kInitialSuspicion * (1U << doublings));
    // It may have restarted unnoticed: treat it as cold when it returns.
    if (upstream->consecutiveFailures > 1) {
      upstream->coldUntil =
        std::max(upstream->coldUntil, upstream->suspectUntil + aColdStart);
    }
  }
}

void
UpstreamTable::RecordReachable(UpstreamId aId, TimePoint aBegunAt)
{
  Upstream* upstream = Find(aId);
  if (!upstream || upstream->consecutiveFailures == 0) {
    return;
  }
  if (aBegunAt < upstream->failingSince) {
    upstream->coldUntil = upstream->announcedColdUntil;
    return;
  }
  upstream->consecutiveFailures = 0;
  upstream->suspectUntil = TimePoint{};
}

void
UpstreamTable::ForgiveFailures(std::string_view aZone)
{
  NotifyCapacity();
  for (auto& [id, upstream] : rows_) {
    if (upstream.entry.zone == aZone && upstream.consecutiveFailures > 0) {
      upstream.consecutiveFailures = 0;
      upstream.suspectUntil = TimePoint{};
      upstream.coldUntil = upstream.announcedColdUntil;
    }
  }
}

void
UpstreamTable::RecordPeerLoad(UpstreamId aId,
                              uint32_t aRequests,
                              double aPendingTokens,
                              TimePoint aNow)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->peerRequests = aRequests;
    upstream->peerPendingTokens = aPendingTokens;
    upstream->peerReportAt = aNow;
    NotifyCapacity();
  }
}

double
UpstreamTable::PendingTokens(const Upstream& aUpstream, TimePoint aNow)
{
  const bool peerReportFresh =
    aNow - aUpstream.peerReportAt < kLoadReportLifetime;
  return aUpstream.pendingTokens +
         (peerReportFresh ? aUpstream.peerPendingTokens : 0);
}

double
UpstreamTable::Slowdown(const Upstream& aUpstream, TimePoint aNow)
{
  return aNow - aUpstream.slowdownAt < kSlowdownLifetime ? aUpstream.slowdown
                                                         : 1;
}

double
UpstreamTable::Load(const Upstream& aUpstream, TimePoint aNow)
{
  const double age = core::Seconds(aNow - aUpstream.reportedAt) /
                     core::Seconds(kLoadReportLifetime);
  const double reported = aUpstream.reportedPeerLoad / (1 + age * age);
  const bool peerReportFresh =
    aNow - aUpstream.peerReportAt < kLoadReportLifetime;
  return aUpstream.inFlight +
         std::max(reported,
                  peerReportFresh ? static_cast<double>(aUpstream.peerRequests)
                                  : 0.0);
}

} // namespace hibiscusnotch::routing
