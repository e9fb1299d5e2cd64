#include "hibiscusnotch/core/verdict.hpp"

namespace hibiscusnotch::core {

std::string_view
ToString(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::NotRun:
      return "not_run";
    case Verdict::MayHaveRun:
      return "may_have_run";
    case Verdict::Ran:
      return "ran";
  }
  return "may_have_run";
}

std::string_view
ToString(Reason aReason)
{
  switch (aReason) {
    case Reason::None:
      return "none";
    case Reason::UnknownKey:
      return "unknown_key";
    case Reason::MalformedRequest:
      return "malformed_request";
    case Reason::ForbiddenVersion:
      return "forbidden_version";
    case Reason::VersionWithdrawn:
      return "version_withdrawn";
    case Reason::VersionHalted:
      return "version_halted";
    case Reason::NoUpstream:
      return "no_upstream";
    case Reason::ZoneOut:
      return "zone_out";
    case Reason::UpstreamLeaving:
      return "upstream_leaving";
    case Reason::ColdStartLimit:
      return "cold_start_limit";
    case Reason::CapacityLimit:
      return "capacity_limit";
    case Reason::UpstreamSuspect:
      return "upstream_suspect";
    case Reason::QueueFull:
      return "queue_full";
    case Reason::DeadlineTooShort:
      return "deadline_too_short";
    case Reason::DeadlinePassed:
      return "deadline_passed";
    case Reason::RetryBudget:
      return "retry_budget";
    case Reason::AttemptLost:
      return "attempt_lost";
    case Reason::Quarantined:
      return "quarantined";
    case Reason::ClaimUnavailable:
      return "claim_unavailable";
    case Reason::ClaimInProgress:
      return "claim_in_progress";
    case Reason::OutcomeUnknown:
      return "outcome_unknown";
    case Reason::Starting:
      return "starting";
    case Reason::ShuttingDown:
      return "shutting_down";
    case Reason::CallerGone:
      return "caller_gone";
    case Reason::UnknownRoute:
      return "unknown_route";
    case Reason::KeysTooOld:
      return "keys_too_old";
    case Reason::NoConfiguration:
      return "no_configuration";
    case Reason::UpstreamBackoff:
      return "upstream_backoff";
    case Reason::ExposureLimit:
      return "exposure_limit";
    case Reason::AttemptsUsedUp:
      return "attempts_used_up";
    case Reason::NoReach:
      return "no_reach";
    case Reason::RequestLimit:
      return "request_limit";
    case Reason::UpstreamFailed:
      return "upstream_failed";
  }
  return "none";
}

} // namespace hibiscusnotch::core
