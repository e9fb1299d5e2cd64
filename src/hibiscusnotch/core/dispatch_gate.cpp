#include "hibiscusnotch/core/dispatch_gate.hpp"

namespace hibiscusnotch::core {

bool
VersionAllowed(const DispatchContext& aContext,
               OrganisationId aOrganisation,
               VersionId aVersion,
               Reason& aLastReason)
{
  const Organisation& organisation = aContext.settings.At(aOrganisation);
  if (!Contains(std::span(organisation.versions), aVersion)) {
    aLastReason = Reason::ForbiddenVersion;
    return false;
  }
  if (aContext.configuration.withdrawn.contains(aVersion)) {
    aLastReason = Reason::VersionWithdrawn;
    return false;
  }
  if (aContext.halted.contains(aVersion)) {
    aLastReason = Reason::VersionHalted;
    return false;
  }
  return true;
}

bool
UpstreamAllowed(const DispatchContext& aContext,
                UpstreamId aUpstream,
                Reason& aLastReason)
{
  const UpstreamState& upstreamState = aContext.upstreams.At(aUpstream);
  if (aContext.configuration.zonesOut.contains(
        aContext.settings.At(aUpstream).zone)) {
    aLastReason = Reason::ZoneOut;
    return false;
  }
  if (upstreamState.leaving ||
      aContext.configuration.upstreamsLeaving.contains(aUpstream)) {
    aLastReason = Reason::UpstreamLeaving;
    return false;
  }
  if (aContext.now < upstreamState.suspectUntil) {
    aLastReason = Reason::UpstreamSuspect;
    return false;
  }
  if (upstreamState.running >=
      aContext.upstreams.LocalLimit(aContext.now, aUpstream)) {
    aLastReason = aContext.upstreams.IsWarm(aContext.now, aUpstream)
                    ? Reason::CapacityLimit
                    : Reason::ColdStartLimit;
    return false;
  }
  return true;
}

bool
DispatchAllowed(const DispatchContext& aContext,
                OrganisationId aOrganisation,
                VersionId aVersion,
                UpstreamId aUpstream,
                Reason& aLastReason)
{
  const Upstream& upstream = aContext.settings.At(aUpstream);
  if (!Contains(std::span(upstream.versions), aVersion)) {
    aLastReason = Reason::NoUpstream;
    return false;
  }
  return VersionAllowed(aContext, aOrganisation, aVersion, aLastReason) &&
         UpstreamAllowed(aContext, aUpstream, aLastReason);
}

} // namespace hibiscusnotch::core
