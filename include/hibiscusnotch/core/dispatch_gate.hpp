/// @file
/// @brief Admission check before a request is sent to an upstream.
#pragma once

#include "hibiscusnotch/core/live_configuration.hpp"
#include "hibiscusnotch/core/upstream_table.hpp"

#include <set>

namespace hibiscusnotch::core {

/// @brief The state that a dispatch is checked against.
struct DispatchContext
{
  const Settings& settings;
  const LiveConfiguration& configuration;
  const std::set<VersionId>& halted;
  const UpstreamTable& upstreams;
  TimePoint now;
};

/// @brief True when the organisation may use the version, and it is neither
/// withdrawn nor halted.
bool
VersionAllowed(const DispatchContext& aContext,
               OrganisationId aOrganisation,
               VersionId aVersion,
               Reason& aLastReason);

/// @brief True when the upstream may receive one more request from this
/// instance.
bool
UpstreamAllowed(const DispatchContext& aContext,
                UpstreamId aUpstream,
                Reason& aLastReason);

/// @brief The check that every first attempt, retry, cascade step and resumed
/// stream must pass.
bool
DispatchAllowed(const DispatchContext& aContext,
                OrganisationId aOrganisation,
                VersionId aVersion,
                UpstreamId aUpstream,
                Reason& aLastReason);

} // namespace hibiscusnotch::core
