/// @file
/// @brief Whether a refused request may have been executed, and why it was
/// refused.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <string_view>

namespace hibiscusnotch::core {

/// @brief What is known about the execution of a request.
enum class Verdict
{
  NotRun,     ///< No byte can have reached an upstream that may execute it.
  MayHaveRun, ///< An upstream may have executed it; the outcome is unknown.
  Ran,        ///< An upstream executed it.
};

/// @brief Why a request was refused or an attempt failed.
enum class Reason
{
  None,
  UnknownKey,
  MalformedRequest,
  ForbiddenVersion,
  VersionWithdrawn,
  VersionHalted,
  NoUpstream,
  ZoneOut,
  UpstreamLeaving,
  ColdStartLimit,
  CapacityLimit,
  UpstreamSuspect,
  QueueFull,
  DeadlineTooShort,
  DeadlinePassed,
  RetryBudget,
  AttemptLost,
  Quarantined,
  ClaimUnavailable,
  ClaimInProgress,
  OutcomeUnknown,
  Starting,
  ShuttingDown,
  CallerGone,
  UnknownRoute,
  KeysTooOld,
  NoConfiguration,
  AttemptsUsedUp,
  UpstreamBackoff, ///< The upstream asked for no requests for a while.
  ExposureLimit,   ///< Only an unproven version could serve it.
  UpstreamFailed,
  NoReach,      ///< Neither upstreams nor instances that reach them.
  RequestLimit, ///< The upstreams' limits on all instances are used up.
};

/// @brief The response to a request that gets no upstream's answer.
struct Refusal
{
  Verdict verdict = Verdict::NotRun;
  Reason reason = Reason::None;
  Duration retryAfter{ 0 }; ///< Zero: a retry is pointless.
};

/// @brief The name of a verdict in responses, e.g. "not_run".
std::string_view
ToString(Verdict aVerdict);

/// @brief The name of a reason in responses and metrics, e.g. "queue_full".
std::string_view
ToString(Reason aReason);

} // namespace hibiscusnotch::core
