/// @file
/// @brief Events observed by stand-ins and callers; the checker's only input.
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
  uint32_t running = 0; ///< Running and queued, including this request.
  uint32_t effectiveCapacity = 0; ///< At its process age.
  bool cold = false;
};

enum class CallerOutcome
{
  Answered,
  NotRun,
  MayHaveRun,
  ConnectionLost, ///< The connection ended before a final response.
};

/// @brief One submission of a request, as its caller observed it.
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
  bool contentCorrect = true; ///< Complete, and this request's.
  bool good = true;           ///< By AnswerIsGood.
  bool badVersion = false;    ///< The answering version was bad.
  bool pinBroken = false;
};

/// @brief A bill stored on the platform.
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

/// @brief A status poll returned the revision that an instance applies.
struct RevisionObserved
{
  TimePoint at;
  core::InstanceId instance;
  uint64_t incarnation = 0; ///< Distinguishes restarts.
  uint64_t revision = 0;
};

/// @brief A network partition cut a zone off from the others and the platform.
struct ZoneCut
{
  TimePoint from;
  TimePoint to;
  core::ZoneId zone;
};

/// @brief The platform responded to no call.
struct PlatformOutage
{
  TimePoint from;
  TimePoint to;
};

/// @brief The requests still open when an instance exited after a drain.
struct CutByShutdown
{
  TimePoint at;
  core::InstanceId instance;
  uint64_t open = 0;
};

/// @brief An upstream was told to leave, that is to accept no new work.
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
