#include "attempt_planner.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/routing/cold_start_share.hpp"
#include "hibiscusnotch/routing/placement.hpp"

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
  constexpr double kBurstMargin = 0.85; // for requests that arrive in bursts
  std::vector<routing::ColdStartSender> senders;
  for (const auto& [name, instance] : fleet_.instances) {
    senders.push_back({ name, instance.zone == aUpstream.entry.zone });
  }
  return routing::ColdStartShare(
    kBurstMargin * (service->coldRequestsPerSecond * options_.coldRateFactor +
                    options_.coldRateSlack),
    aUpstream.entry.name,
    options_.instanceName,
    senders);
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
        upstream.entry.leaving || now < upstream.suspectUntil) {
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

std::optional<core::UpstreamId>
AttemptPlanner::ChooseUpstream(const Exchange& aExchange,
                               std::size_t aModelIndex,
                               core::Reason& aLastReason) const
{
  const std::string service = ChooseService(aExchange);
  const routing::VersionConstraint constraint = fleet_.rollouts.ConstraintFor(
    service, VersionAffinityKey(aExchange), timers_.Now());
  routing::PlacementRequest placement;
  placement.service = service;
  const std::string model = ModelName(aExchange, aModelIndex);
  placement.model = model;
  placement.requiredVersion = constraint.required;
  placement.excludedVersion = constraint.excluded;
  placement.unprovenVersions = constraint.unproven;
  placement.tried = aExchange.tried;
  const auto& segments = aExchange.metadata.promptSegments;
  if (segments.size() > 1) {
    placement.affinityKey = segments[segments.size() - 2].id;
    for (std::size_t index = 0; index + 1 < segments.size(); ++index) {
      placement.sharedTokens += segments[index].tokens;
    }
  }
  const routing::PlacementContext view{ fleet_.upstreams,
                                        fleet_.evacuatedZones,
                                        options_.zone,
                                        [this](
                                          const routing::Upstream& aUpstream) {
                                          return ColdStartRateLimit(aUpstream);
                                        },
                                        timers_.Now() };
  auto chosen = routing::ChooseUpstream(view, placement, aLastReason);
  if (!chosen && !constraint.required.empty()) {
    // The target version has no upstream yet; use the other versions.
    placement.requiredVersion = {};
    chosen = routing::ChooseUpstream(view, placement, aLastReason);
  }
  return chosen;
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

} // namespace hibiscusnotch::entry
