#include "attempt_planner.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/routing/cold_start_share.hpp"
#include "hibiscusnotch/routing/next_opening.hpp"
#include "hibiscusnotch/routing/request_limit.hpp"
#include "hibiscusnotch/routing/slot_share.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace hibiscusnotch::entry {

namespace {

/// Hash of what must stay on one software version during a roll-out.
uint64_t
VersionAffinityKey(const Exchange& aExchange)
{
  if (!aExchange.metadata.session.empty()) {
    return core::StableHash(aExchange.metadata.session);
  }
  if (!aExchange.metadata.promptSegments.empty()) {
    return core::StableHash(aExchange.metadata.promptSegments.back().id);
  }
  return core::StableHash(aExchange.metadata.requestId);
}

/// Sets the request's prompt and output.
void
SetWork(const RequestMetadata& aMetadata, routing::PlacementRequest& aRequest)
{
  aRequest.promptTokens = aMetadata.promptTokens;
  aRequest.outputTokens =
    std::min(aMetadata.outputTokensHint.value_or(aMetadata.maxOutputTokens),
             aMetadata.maxOutputTokens);
  const auto& segments = aMetadata.promptSegments;
  if (segments.size() > 1) {
    aRequest.affinityKey = segments[segments.size() - 2].id;
    for (std::size_t index = 0; index + 1 < segments.size(); ++index) {
      aRequest.sharedTokens += segments[index].tokens;
    }
  }
}

} // namespace

AttemptPlanner::AttemptPlanner(const RouterOptions& aOptions,
                               FleetState& aFleet,
                               const relay::Timers& aTimers)
  : options_(aOptions)
  , fleet_(aFleet)
  , timers_(aTimers)
{
}

std::string
AttemptPlanner::ChooseService(const Exchange& aExchange) const
{
  const auto& shares = aExchange.route.services;
  uint64_t total = 0;
  for (const routing::TrafficShare& share : shares) {
    total += share.weight;
  }
  if (total == 0) {
    return shares.empty() ? std::string() : shares.front().service;
  }
  uint64_t draw = core::StableHash(aExchange.metadata.requestId) % total;
  for (const routing::TrafficShare& share : shares) {
    if (draw < share.weight) {
      return share.service;
    }
    draw -= share.weight;
  }
  return shares.back().service;
}

double
AttemptPlanner::ColdStartRateLimit(const routing::Upstream& aUpstream) const
{
  const routing::Service* service =
    fleet_.configuration->FindService(aUpstream.entry.service);
  if (!service || service->coldRequestsPerSecond <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  if (timers_.Now() < fleet_.sharesFrom) {
    return 0;
  }
  constexpr double kBurstMargin = 0.85; // for requests that arrive in bursts
  const double rate =
    kBurstMargin * (service->coldRequestsPerSecond * options_.coldRateFactor +
                    options_.coldRateSlack);
  const auto [share, isNew] =
    coldStartShares_.try_emplace({ aUpstream.entry.name, rate }, 0);
  if (isNew) {
    share->second =
      routing::ColdStartShare(rate,
                              aUpstream.entry.name,
                              options_.instanceName,
                              SendersTo(fleet_, aUpstream.entry.zone));
  }
  return share->second;
}

std::optional<uint32_t>
AttemptPlanner::SlotShareOf(const routing::Upstream& aUpstream) const
{
  const routing::UpstreamEntry& entry = aUpstream.entry;
  if (!fleet_.brittleServices.contains(entry.service)) {
    return std::nullopt;
  }
  if (timers_.Now() < fleet_.sharesFrom) {
    return 0;
  }
  const auto [share, isNew] = slotShares_.try_emplace(entry.name, 0);
  if (isNew) {
    share->second = routing::SlotShare(entry.slots,
                                       entry.name,
                                       options_.instanceName,
                                       SendersTo(fleet_, entry.zone));
  }
  return share->second;
}

std::set<std::string>
AttemptPlanner::ShareHolders(const Exchange& aExchange,
                             std::size_t aModelIndex) const
{
  const auto plan = MakePlan(aExchange, aModelIndex);
  std::set<std::string> all;
  for (const core::UpstreamId id :
       routing::UpstreamsOfOthers(Context(), plan->request)) {
    const routing::Upstream& upstream = *fleet_.upstreams.Find(id);
    const auto senders = SendersTo(fleet_, upstream.entry.zone);
    const std::size_t count =
      upstream.requestLimit
        ? routing::LimitHolderCount(*upstream.requestLimit, senders.size())
        : routing::SlotHolderCount(upstream.entry.slots, senders.size());
    const auto [holders, isNew] =
      shareHolders_.try_emplace({ upstream.entry.name, count });
    if (isNew) {
      holders->second =
        routing::FirstSenders(upstream.entry.name, senders, count);
    }
    all.insert(holders->second.begin(), holders->second.end());
  }
  return all;
}

void
AttemptPlanner::RecordSessionVersion(const Exchange& aExchange,
                                     const Attempt& aAttempt) const
{
  if (!aExchange.metadata.session.empty()) {
    fleet_.rollouts.RecordSessionVersion(aAttempt.service,
                                         VersionAffinityKey(aExchange),
                                         aAttempt.softwareVersion,
                                         timers_.Now());
  }
}

double
AttemptPlanner::ServiceLoad(std::string_view aService) const
{
  struct LoadSum
  {
    double requests = 0;
    double slots = 0;
  };
  LoadSum zone;
  LoadSum all;
  const TimePoint now = timers_.Now();
  for (const auto& [id, upstream] : fleet_.upstreams.Rows()) {
    if (upstream.entry.service != aService || upstream.removed ||
        upstream.entry.leaving || upstream.announcedLeaving ||
        now < upstream.suspectUntil) {
      continue;
    }
    const double requests = routing::UpstreamTable::Load(upstream, now);
    all.requests += requests;
    all.slots += upstream.entry.slots;
    if (upstream.entry.zone == options_.zone) {
      zone.requests += requests;
      zone.slots += upstream.entry.slots;
    }
  }
  const LoadSum& load = zone.slots > 0 ? zone : all;
  return load.slots > 0 ? load.requests / load.slots : 0;
}

std::unique_ptr<AttemptPlanner::Plan>
AttemptPlanner::MakePlan(const Exchange& aExchange,
                         std::size_t aModelIndex) const
{
  auto plan = std::make_unique<Plan>();
  plan->service = ChooseService(aExchange);
  plan->model = ModelName(aExchange, aModelIndex);
  plan->constraint = fleet_.rollouts.ConstraintFor(
    plan->service, VersionAffinityKey(aExchange), timers_.Now());
  routing::PlacementRequest& request = plan->request;
  request.service = plan->service;
  request.model = plan->model;
  request.requiredVersion = plan->constraint.required;
  request.excludedVersion = plan->constraint.excluded;
  request.unprovenVersions = plan->constraint.unproven;
  request.tried = aExchange.tried;
  SetWork(aExchange.metadata, request);
  request.drawKey =
    core::MixHash(core::StableHash(aExchange.metadata.requestId), aModelIndex);
  return plan;
}

void
AttemptPlanner::RefreshShares() const
{
  const bool membersChanged = sharesMembership_ != fleet_.membership;
  const uint64_t limitChanges = fleet_.upstreams.LimitChanges();
  if (membersChanged) {
    sharesMembership_ = fleet_.membership;
    coldStartShares_.clear();
    slotShares_.clear();
    shareHolders_.clear();
  }
  if (membersChanged || limitChanges != sharesLimitChanges_) {
    sharesLimitChanges_ = limitChanges;
    ShareRequestLimits(options_.instanceName, fleet_, timers_.Now());
  }
}

routing::PlacementContext
AttemptPlanner::Context() const
{
  RefreshShares();
  routing::PlacementContext context{
    fleet_.upstreams,
    fleet_.evacuatedZones,
    options_.zone,
    [this](const routing::Upstream& aUpstream) {
      return ColdStartRateLimit(aUpstream);
    },
    timers_.Now(),
    [this](const routing::Upstream& aUpstream) {
      return SlotShareOf(aUpstream);
    },
    options_.placeByTime,
    &timings_
  };
  context.unreachableZones = &fleet_.unreachableZones;
  return context;
}

std::optional<uint64_t>
AttemptPlanner::WeighedMemory(std::string_view aService) const
{
  if (!options_.weighPromptCache || !fleet_.configuration) {
    return std::nullopt;
  }
  const routing::Service* service = fleet_.configuration->FindService(aService);
  return service && service->engine ? service->engine->memoryTokens
                                    : std::nullopt;
}

routing::PromptChain
AttemptPlanner::LookUpPrompt(const Exchange& aExchange,
                             std::string_view aModel) const
{
  const auto& segments = aExchange.metadata.promptSegments;
  std::vector<routing::SharedSegment> shared;
  for (std::size_t index = 0; index + 1 < segments.size(); ++index) {
    shared.push_back({ segments[index].id, segments[index].tokens });
  }
  return fleet_.promptCache.LookUp(aModel, shared);
}

std::optional<routing::SentPrompt>
AttemptPlanner::RecordPrompt(const Exchange& aExchange,
                             std::size_t aModelIndex,
                             core::UpstreamId aUpstream) const
{
  const routing::Upstream& upstream = *fleet_.upstreams.Find(aUpstream);
  const auto memory = WeighedMemory(upstream.entry.service);
  if (!memory) {
    return std::nullopt;
  }
  const auto plan = MakePlan(aExchange, aModelIndex);
  const routing::PlacementContext context = Context();
  return fleet_.promptCache.RecordSend(
    { aUpstream, upstream.entry.incarnation, *memory },
    plan->model,
    LookUpPrompt(aExchange, plan->model),
    routing::CacheOwnerRank(context, plan->request, aUpstream),
    aExchange.metadata.promptTokens,
    routing::UpstreamTable::PendingTokens(upstream, context.now),
    context.now);
}

std::optional<core::UpstreamId>
AttemptPlanner::ChooseUpstream(const Exchange& aExchange,
                               std::size_t aModelIndex,
                               core::Reason& aLastReason) const
{
  const auto plan = MakePlan(aExchange, aModelIndex);
  routing::PlacementContext context = Context();
  const auto memory = WeighedMemory(plan->service);
  routing::PromptChain chain;
  if (memory && !plan->request.affinityKey.empty()) {
    chain = LookUpPrompt(aExchange, plan->model);
    context.weighsPromptCache = true;
    context.savedTokens = [this, &chain, memory = *memory, now = context.now](
                            core::UpstreamId aId,
                            const routing::Upstream& aUpstream,
                            std::optional<std::size_t> aOwnerRank) {
      return fleet_.promptCache.SavedTokens(
        { aId, aUpstream.entry.incarnation, memory }, chain, aOwnerRank, now);
    };
  }
  if (plan->constraint.exposureUsedUp) {
    routing::PlacementRequest other = plan->request;
    other.requiredVersion = {};
    other.excludedVersion = plan->constraint.required;
    if (!routing::ChooseUpstream(context, other, aLastReason)) {
      aLastReason = core::Reason::ExposureLimit;
      return std::nullopt;
    }
  }
  auto chosen = routing::ChooseUpstream(context, plan->request, aLastReason);
  if (!chosen && !plan->constraint.required.empty()) {
    // The target version has no upstream yet; use the other versions.
    plan->request.requiredVersion = {};
    chosen = routing::ChooseUpstream(context, plan->request, aLastReason);
  }
  return chosen;
}

bool
AttemptPlanner::IsBeyondReach(const Exchange& aExchange) const
{
  if (fleet_.unreachableZones.empty()) {
    return false;
  }
  const std::string service = ChooseService(aExchange);
  bool hasUpstream = false;
  for (const auto& [id, upstream] : fleet_.upstreams.Rows()) {
    if (upstream.entry.service != service || upstream.removed ||
        upstream.entry.leaving || upstream.announcedLeaving ||
        fleet_.evacuatedZones.contains(upstream.entry.zone)) {
      continue;
    }
    if (!fleet_.unreachableZones.contains(upstream.entry.zone)) {
      return false;
    }
    hasUpstream = true;
  }
  return hasUpstream;
}

std::optional<routing::Opening>
AttemptPlanner::NextOpening(const Exchange& aExchange,
                            std::size_t aModelIndex) const
{
  const auto plan = MakePlan(aExchange, aModelIndex);
  plan->request.requiredVersion = {};
  return routing::NextOpening(Context(), plan->request);
}

void
AttemptPlanner::RecordSend(const Exchange& aExchange, Attempt& aAttempt) const
{
  const routing::Upstream* upstream = fleet_.upstreams.Find(aAttempt.upstream);
  if (upstream && !aAttempt.resumed &&
      (options_.placeByTime ||
       fleet_.upstreams.StatesSlowdown(aAttempt.service))) {
    routing::PlacementRequest request;
    SetWork(aExchange.metadata, request);
    aAttempt.sent = routing::ObserveSend(*upstream, request, timers_.Now());
  }
}

void
AttemptPlanner::RecordHead(Attempt& aAttempt)
{
  const TimePoint now = timers_.Now();
  aAttempt.headAt = now;
  if (!aAttempt.sent) {
    return;
  }
  if (const auto expected = timings_.ExpectedHead(
        aAttempt.service, aAttempt.model, *aAttempt.sent)) {
    fleet_.upstreams.RecordResponseTime(
      aAttempt.upstream, core::Seconds(now - aAttempt.sentAt), *expected, now);
  }
  timings_.RecordHead(aAttempt.service,
                      aAttempt.model,
                      *aAttempt.sent,
                      now - aAttempt.sentAt,
                      now);
}

Duration
AttemptPlanner::AtUsualSpeed(const Attempt& aAttempt, Duration aTook) const
{
  const routing::Upstream* upstream = fleet_.upstreams.Find(aAttempt.upstream);
  if (!upstream) {
    return aTook;
  }
  const double slowdown = upstream->speed * routing::UpstreamTable::Slowdown(
                                              *upstream, timers_.Now());
  return core::FromSeconds(core::Seconds(aTook) / slowdown);
}

void
AttemptPlanner::RecordComplete(const Attempt& aAttempt)
{
  const TimePoint now = timers_.Now();
  if (aAttempt.headAt && aAttempt.sent) {
    timings_.RecordEnd(aAttempt.service,
                       aAttempt.model,
                       *aAttempt.sent,
                       now - *aAttempt.headAt,
                       now - aAttempt.sentAt,
                       now);
  }
}

std::optional<TimePoint>
AttemptPlanner::NextKnownOpening(std::string_view aService) const
{
  return routing::NextKnownOpening(Context(), aService);
}

std::string
ModelName(const Exchange& aExchange, std::size_t aModelIndex)
{
  return aModelIndex < aExchange.route.models.size()
           ? aExchange.route.models[aModelIndex]
           : aExchange.metadata.model;
}

Duration
ConnectTimeout(const Exchange& aExchange)
{
  constexpr Duration kMaxTimeout{ 250'000 }; // many round trips in a region
  constexpr Duration kMinTimeout{ 60'000 };
  return std::clamp(
    aExchange.route.latencyTarget / 8, kMinTimeout, kMaxTimeout);
}

Duration
SilenceLimit(const Exchange& aExchange)
{
  constexpr Duration kMinTimeout{ 150'000 };
  constexpr Duration kMaxTimeout{ 500'000 }; // exceeds a loaded engine's step
  return std::clamp(
    aExchange.route.latencyTarget / 2, kMinTimeout, kMaxTimeout);
}

Duration
MaxSilence(const Exchange& aExchange)
{
  // Sound upstreams pause for about a second.
  constexpr Duration kIfRetried{ 1'300'000 };
  // A lost attempt that cannot be retried is lost for the caller.
  constexpr Duration kOtherwise{ 2'000'000 };
  return aExchange.route.RetrySafe() ? kIfRetried : kOtherwise;
}

} // namespace hibiscusnotch::entry
