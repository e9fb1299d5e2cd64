/// @file
/// @brief What stand-ins and callers saw; the checker's only input.
#pragma once

#include "hibiscusnotch/core/live_configuration.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusnotch::standin {

using core::TimePoint;

/// @brief An upstream began to execute a request.
struct ExecutionStarted
{
  TimePoint at;
  core::UpstreamId upstream;
  core::VersionId version;
  core::OrganisationId organisation;
  std::string requestId;
  uint32_t running = 0; ///< This one included.
  uint32_t bears = 0;   ///< What it bears at its age.
  bool cold = false;
};

enum class CallerOutcome
{
  Answered,
  NotRun,
  MayHaveRun,
  ConnectionLost, ///< The connection ended without a final answer.
};

/// @brief One submission of a request, as its caller saw it.
struct SubmissionRecord
{
  TimePoint sent;
  TimePoint firstToken;
  TimePoint ended;
  std::string requestId;
  core::OrganisationId organisation;
  core::ClassId requestClass;
  std::string session;
  core::InstanceId instance;
  CallerOutcome outcome = CallerOutcome::ConnectionLost;
  core::Reason reason = core::Reason::None;
  core::VersionId version;
  uint32_t tokens = 0;
  bool contentRight = true; ///< Whole and its own, by the caller's check.
  bool good = true;         ///< Met the standard, by the true difficulty.
  bool badVersion = false;  ///< A version that had turned bad answered.
  bool pinBroken = false;
};

/// @brief A bill that the platform holds.
struct BillStored
{
  std::string key;
  uint64_t microUnits = 0;
};

/// @brief The platform accepted a configuration.
struct ConfigurationStored
{
  TimePoint at;
  core::LiveConfiguration state;
};

/// @brief An instance, asked from outside, named its revision.
struct RevisionObserved
{
  TimePoint at;
  core::InstanceId instance;
  uint64_t run = 0; ///< Which start of the instance.
  uint64_t revision = 0;
};

/// @brief A zone was cut off from the others and the platform.
struct ZoneCut
{
  TimePoint from;
  TimePoint to;
  core::ZoneId zone;
};

/// @brief The platform answered nothing.
struct PlatformOutage
{
  TimePoint from;
  TimePoint to;
};

/// @brief An instance ended after a drain with requests still open.
struct CutByShutdown
{
  TimePoint at;
  core::InstanceId instance;
  uint64_t open = 0;
};

/// @brief An upstream was told to leave.
struct UpstreamLeaveOrdered
{
  TimePoint at;
  core::UpstreamId upstream;
};

using Observation = std::variant<ExecutionStarted,
                                 SubmissionRecord,
                                 BillStored,
                                 ConfigurationStored,
                                 RevisionObserved,
                                 ZoneCut,
                                 PlatformOutage,
                                 CutByShutdown,
                                 UpstreamLeaveOrdered>;

using Observations = std::vector<Observation>;

} // namespace hibiscusnotch::standin
