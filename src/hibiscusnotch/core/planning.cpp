#include "planning.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr std::size_t kGlobalPinHomes = 2;

/// A hash-based number from 0 to 1 that is constant for a session, so that its
/// requests fall on the same side of a version's exposure.
double
ExposureDraw(const RequestState& aRequest, const std::string& aModel)
{
  const uint64_t drawKey =
    aRequest.session != 0 ? aRequest.session : StableHash(aRequest.key);
  const uint64_t mixed = MixHash(drawKey, StableHash(aModel));
  return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

bool
IsOnTrial(const RouterState& aState, VersionId aVersion)
{
  return aState.rolloutGuard.Exposure(aState.configuration.live, aVersion) <
           1 ||
         !aState.rolloutGuard.HasPassedTrial(aVersion);
}

/// Chooses between a model's proven version and those on trial.
VersionId
ChooseVersionOfModel(const RouterState& aState,
                     const RequestState& aRequest,
                     const std::vector<VersionId>& aVersions)
{
  const bool critical =
    aState.settings.At(aRequest.arrival.requestClass).critical;
  const double draw =
    ExposureDraw(aRequest, aState.settings.At(aVersions.front()).model);
  VersionId proven;
  double exposureTaken = 0;
  for (const VersionId version : aVersions) {
    const double exposure =
      aState.rolloutGuard.Exposure(aState.configuration.live, version);
    if (exposure <= 0) {
      continue;
    }
    if (critical && !aState.rolloutGuard.IsMature(version)) {
      continue;
    }
    if (!IsOnTrial(aState, version)) {
      proven = version;
      continue;
    }
    if (draw >= exposureTaken && draw < exposureTaken + exposure) {
      return version;
    }
    exposureTaken += exposure;
  }
  return proven;
}

} // namespace

std::vector<VersionId>
EligibleVersions(const RouterState& aState,
                 const RequestState& aRequest,
                 Reason& aLastReason)
{
  const RequestClass& requestClass =
    aState.settings.At(aRequest.arrival.requestClass);
  std::vector<std::vector<VersionId>> models;
  for (const VersionId version : requestClass.versions) {
    if (!VersionAllowed(aState.MakeDispatchContext(),
                        aRequest.arrival.organisation,
                        version,
                        aLastReason)) {
      continue;
    }
    const std::string& model = aState.settings.At(version).model;
    const auto same =
      std::find_if(models.begin(), models.end(), [&](const auto& aVersions) {
        return aState.settings.At(aVersions.front()).model == model;
      });
    if (same == models.end()) {
      models.push_back({ version });
    } else {
      same->push_back(version);
    }
  }
  std::vector<VersionId> eligible;
  for (const auto& versions : models) {
    const VersionId chosen = ChooseVersionOfModel(aState, aRequest, versions);
    if (chosen.Valid()) {
      eligible.push_back(chosen);
    }
  }
  if (eligible.empty() && aLastReason == Reason::None) {
    aLastReason = Reason::NoUpstream;
  }
  return eligible;
}

VersionId
SessionVersion(RouterState& aState,
               const RequestState& aRequest,
               Reason& aLastReason)
{
  const std::vector<VersionId> eligible =
    EligibleVersions(aState, aRequest, aLastReason);
  if (eligible.empty()) {
    return VersionId{};
  }
  const ServiceId service =
    aState.settings.At(aRequest.arrival.requestClass).service;
  std::size_t chosen = 0;
  for (uint32_t i = 0; i < aState.settings.classes.size(); ++i) {
    if (aState.settings.classes[i].service != service) {
      continue;
    }
    const Plan plan = aState.cascade.MakePlan(
      ClassId{ i }, aRequest.arrival.organisation, eligible, true);
    const auto found =
      std::find(eligible.begin(), eligible.end(), plan.front().version);
    chosen =
      std::max<std::size_t>(chosen, std::distance(eligible.begin(), found));
  }
  return eligible[chosen];
}

PinReply
ResolvePin(RouterState& aState, const PinRequest& aRequest)
{
  PinReply reply{ aRequest.session, aRequest.proposal, aRequest.request };
  const auto known = aState.pins.Find(aRequest.session);
  const auto& withdrawn = aState.configuration.live.withdrawn;
  if (known && !withdrawn.contains(*known)) {
    reply.version = *known;
    return reply;
  }
  reply.broken = known.has_value();
  aState.pins.Replace(aRequest.session, aRequest.proposal);
  return reply;
}

InstanceId
PinHome(const RouterState& aState, uint64_t aSession, ZoneId aZone)
{
  std::vector<InstanceId> inZone;
  for (const InstanceId id : aState.members.Live()) {
    if (aState.settings.At(id).zone == aZone) {
      inZone.push_back(id);
    }
  }
  return HomeOf(aSession, inZone);
}

std::set<InstanceId>
PinHomes(const RouterState& aState, uint64_t aSession)
{
  const auto ranked = RankInstances(aSession, aState.members.Live());
  const std::size_t next = std::min(kGlobalPinHomes, ranked.size());
  std::set<InstanceId> homes(
    ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(next));
  for (uint32_t i = 0; i < aState.settings.zones.size(); ++i) {
    const InstanceId home = PinHome(aState, aSession, ZoneId{ i });
    if (home.Valid()) {
      homes.insert(home);
    }
  }
  return homes;
}

void
ReplicatePin(RouterState& aState, const PinReply& aReply)
{
  const PinReply copy{ aReply.session, aReply.version, 0, aReply.broken };
  for (const InstanceId home : PinHomes(aState, aReply.session)) {
    if (home != aState.options.self) {
      aState.Send(home, copy);
    }
  }
}

} // namespace hibiscusnotch::core
